//! A server breaks off in the middle of a response of which it has not stated the length: can a client
//! that speaks HTTP/1.0 tell that what it got is not whole?

use crate::harness::{free_address, listens, sleep_ms, wait_for, Run};
use crate::http::{ask, serve, Answer};
use crate::Outcome;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

const PARTS: usize = 20;

pub fn play(run: &Arc<Run>) -> Outcome {
    let (listener, server) = (free_address(), free_address());
    let server_run = run.clone();
    let trouble = run.trouble;
    serve(server, move |_, out| {
        let head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = out.write_all(head.as_bytes());
        let line = "2026-12-05 step finished, 0 failures\n".repeat(100);
        for part in 0..PARTS {
            if trouble && part == PARTS / 2 {
                server_run.log(format!("server: ends its connection after part {part} of {PARTS}"));
                return false;
            }
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            if out.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            sleep_ms(20);
        }
        server_run.log("server: sent the whole response");
        out.write_all(b"0\r\n\r\n").is_ok()
    });
    let config = format!(
        "listen = \"{listener}\"\n\
         [classes.run-logs]\neffect = \"safe\"\naim = \"750ms\"\ndeadline = \"3s\"\n\
         [clusters.bench]\nendpoints = [\"{server}\"]\n\
         [[routes]]\nprefix = \"/runs\"\nmethods = [\"GET\", \"HEAD\"]\nclass = \"run-logs\"\ncluster = \"bench\"\n"
    );
    let file = run.write("daemon.toml", &config);
    let command = format!("exec target/release/mintshelf run --config {}", file.display());
    let _daemon = run.start("daemon", &command, &[]);
    if !wait_for(Duration::from_secs(10), || listens(listener)) {
        return Err(format!("the daemon does not listen: {}", run.output_of("daemon")));
    }
    let whole = "2026-12-05 step finished, 0 failures\n".len() * 100 * PARTS;
    let mut taken_for_whole = 0;
    for version in ["1.1", "1.0"] {
        let message = format!("GET /runs/7/log HTTP/{version}\r\nHost: bench\r\n\r\n");
        run.log(format!("client: asks with HTTP/{version}"));
        match ask(listener, message.as_bytes(), Duration::from_secs(10)) {
            Answer::Whole { status, headers, body } => {
                run.log(format!(
                    "client, HTTP/{version}: a whole {status} of {} bytes (the log has {whole}); headers {headers:?}",
                    body.len()
                ));
                if status == 200 && body.len() != whole {
                    taken_for_whole += 1;
                }
            }
            other => run.log(format!("client, HTTP/{version}: {}", other.text())),
        }
    }
    Ok(taken_for_whole == 0)
}
