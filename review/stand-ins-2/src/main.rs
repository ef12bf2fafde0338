//! The cases of the second review: `review-2 CASE FOLDER`. Exit code: 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run.

mod cut_response;
mod harness;
mod hidden_request;
mod http;
mod keyed_split;
mod limit_advice;
mod platform;
mod reload_deadline;

use harness::Run;
use std::path::PathBuf;
use std::process::exit;

/// The result of a case: whether the rule held, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    let run = match Run::new(&PathBuf::from(folder)) {
        Ok(run) => run,
        Err(error) => {
            eprintln!("{folder}: {error}");
            exit(2);
        }
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "reload-deadline" => reload_deadline::play(&run),
        "hidden-request" => hidden_request::play(&run),
        "keyed-split" => keyed_split::play(&run),
        "limit-advice" => limit_advice::play(&run),
        "cut-response" => cut_response::play(&run),
        _ => Err(format!("no case {case}")),
    }));
    let code = match played {
        Ok(Ok(true)) => {
            run.log("the rule held");
            0
        }
        Ok(Ok(false)) => {
            run.log("the rule was broken");
            1
        }
        Ok(Err(why)) => {
            run.log(format!("the case could not run: {why}"));
            2
        }
        Err(_) => {
            run.log("the case could not run: panic");
            2
        }
    };
    let _ = std::fs::remove_dir_all(&run.temp);
    exit(code);
}
