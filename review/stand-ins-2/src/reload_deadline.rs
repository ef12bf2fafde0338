//! A class's deadline is raised by a reload: does a request that is answered within the new deadline
//! get its answer?

use crate::harness::{free_address, listens, sleep_ms, wait_for, Run, SIGHUP};
use crate::http::{ask, respond, serve, Answer};
use crate::Outcome;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub fn play(run: &Arc<Run>) -> Outcome {
    let (listener, server) = (free_address(), free_address());
    let server_run = run.clone();
    serve(server, move |request, out| {
        let id = request.header("x-request").unwrap_or("?").to_string();
        let work: u64 = request.header("x-work-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        server_run.log(format!("server: {id} runs, {work} ms"));
        sleep_ms(work);
        let written = respond(out, "200 OK", "", &format!("flashed {id}\n"));
        server_run.log(format!("server: {id} answered 200, written: {written}"));
        written
    });
    let config = |deadline: &str| {
        format!(
            "listen = \"{listener}\"\n\
             [classes.flash-device]\neffect = \"unsafe\"\naim = \"1.2s\"\ndeadline = \"{deadline}\"\n\
             [clusters.bench]\nendpoints = [\"{server}\"]\n\
             [[routes]]\nprefix = \"/devices\"\nmethods = [\"POST\"]\nclass = \"flash-device\"\ncluster = \"bench\"\n"
        )
    };
    // With the disruption the deadline comes with a reload, without it from the start.
    let file = run.write("daemon.toml", &config(if run.trouble { "6s" } else { "60s" }));
    let command = format!("exec target/release/mintshelf run --config {}", file.display());
    let mut daemon = run.start("daemon", &command, &[]);
    if !wait_for(Duration::from_secs(10), || listens(listener)) {
        return Err(format!("the daemon does not listen: {}", run.output_of("daemon")));
    }
    sleep_ms(1_500);
    if run.trouble {
        run.write("daemon.toml", &config("60s"));
        run.log("SIGHUP: the deadline of flash-device is 60s instead of 6s");
        daemon.signal(SIGHUP);
        if !wait_for(Duration::from_secs(5), || {
            run.output_of("daemon").contains("configuration applied")
        }) {
            return Err(format!("not applied: {}", run.output_of("daemon")));
        }
        run.log("the daemon logs: configuration applied");
    }
    sleep_ms(500);
    let clients: Vec<_> = [2_000u64, 20_000, 50_000]
        .into_iter()
        .map(|work| {
            let run = run.clone();
            thread::spawn(move || {
                let message = format!(
                    "POST /devices/7/flash HTTP/1.1\r\nHost: bench\r\nX-Request: r{work}\r\nX-Work-Ms: {work}\r\n\
                     Content-Length: 5\r\n\r\nimage"
                );
                run.log(format!("client: sends r{work}, waits for 65 s"));
                let answer = ask(listener, message.as_bytes(), Duration::from_secs(65));
                run.log(format!("client: r{work}: {}", answer.text()));
                (work, answer)
            })
        })
        .collect();
    let answers: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    if daemon.has_ended() {
        run.log("the daemon has ended");
    }
    let lost = answers.iter().filter(|(_, answer)| !matches!(answer, Answer::Whole { .. })).count();
    run.log(format!("{lost} of {} accepted requests have no answer", answers.len()));
    Ok(lost == 0)
}
