//! Requests that are rejected before their bodies are read: is any part of such a body taken for a
//! request? First at the platform's sidecar, with bad clients; then at the daemon, with uploads over a
//! route's rate.

use crate::harness::{free_address, listens, sleep_ms, wait_for, Run};
use crate::http::{ask, ask_on, respond, serve, Answer, Reader};
use crate::platform::{
    answer_probe, config as sidecar_config, message, start_sidecar, Discovery, Settings, Target,
};
use crate::Outcome;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const UPLOADS: usize = 8;
const BLANK_LINES: usize = 8_000;

/// A run's log as a runner uploads it: text, blank lines, and a recorded call in HTTP's own words.
fn log_text(number: usize) -> String {
    format!(
        "{}POST /devices/7/flash HTTP/1.1\r\nHost: bench\r\nX-Request: recorded{number}\r\nContent-Length: 0\r\n\r\n",
        "\r\n".repeat(BLANK_LINES)
    )
}

pub fn play(run: &Arc<Run>) -> Outcome {
    let sidecar = play_sidecar(run)?;
    let daemon = play_daemon(run)?;
    Ok(sidecar && daemon)
}

const BAD_CLIENTS: usize = 12;

/// Bad clients name a class that does not exist, a deadline that is no number, or no id.
fn play_sidecar(run: &Arc<Run>) -> Outcome {
    let (listen, node) = (free_address(), free_address());
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let (node_run, node_arrived) = (run.clone(), arrived.clone());
    serve(node, move |request, out| {
        if let Some(goes_on) = answer_probe(&request, out) {
            return goes_on;
        }
        let id = request.header("x-txn").unwrap_or("none").to_string();
        let length = request.body.len();
        node_run.log(format!(
            "node: runs {} {} of {id}, body of {length} bytes",
            request.method, request.target
        ));
        node_arrived.lock().expect("arrived").push(id.clone());
        respond(out, "200 OK", "", &format!("answer to {id}\n"))
    });
    let targets = vec![Target {
        uid: "s-1".into(),
        endpoint: node,
        zone: "charguia",
        cell: 1,
        state: "SERVING",
    }];
    let discovery = Discovery::start(run, targets);
    let text =
        sidecar_config(listen, discovery.address, &discovery.known(), 0x5be2, &Settings::default());
    let _sidecar = start_sidecar(run, "sidecar", listen, discovery.address, &text)?;
    let mut sent = Vec::new();
    for number in 0..BAD_CLIENTS {
        let usual = format!("usual{number:04}");
        sent.push(usual.clone());
        let answer = ask(
            listen,
            &message("flash-device", &usual, 6_000, "", "image"),
            Duration::from_secs(7),
        );
        run.log(format!("usual client: {usual} is answered {}", answer.text()));
        // What is recorded in the body is data: no client sends it as a request.
        let recorded = message("flash-device", &format!("recorded{number:04}"), 6_000, "", "image");
        let body = format!("{}{}", "\r\n".repeat(BLANK_LINES), String::from_utf8_lossy(&recorded));
        let bad = format!("bad{number:04}");
        let mut request =
            String::from_utf8_lossy(&message("flash-device", &bad, 6_000, "", &body)).to_string();
        if run.trouble {
            request = match number % 3 {
                0 => request.replacen("X-Lane: flash-device", "X-Lane: no-such-class", 1),
                1 => request.replacen("X-Remaining-Ms: 6000", "X-Remaining-Ms: soon", 1),
                _ => request.replacen(&format!("X-Txn: {bad}\r\n"), "", 1),
            };
        }
        // Without the disruption this is a usual request with the same body.
        sent.push(bad.clone());
        let answer = ask(listen, request.as_bytes(), Duration::from_secs(7));
        run.log(format!(
            "bad client: {bad}, {} bytes, is answered {}",
            request.len(),
            answer.text()
        ));
        sleep_ms(50);
    }
    sleep_ms(300);
    let arrived = arrived.lock().expect("arrived");
    let unsent = arrived.iter().filter(|id| !sent.contains(id)).count();
    run.log(format!("sidecar: requests that the node ran and no client sent: {unsent}"));
    Ok(unsent == 0)
}

fn play_daemon(run: &Arc<Run>) -> Outcome {
    let (listener, server) = (free_address(), free_address());
    let arrived = Arc::new(Mutex::new(Vec::new()));
    let (server_run, server_arrived) = (run.clone(), arrived.clone());
    serve(server, move |request, out| {
        let id = request.header("x-request").unwrap_or("none").to_string();
        let length = request.body.len();
        server_run.log(format!(
            "server: runs {} {} of {id}, body of {length} bytes",
            request.method, request.target
        ));
        server_arrived.lock().expect("arrived").push(id.clone());
        respond(out, "200 OK", "", &format!("answer to {id}\n"))
    });
    let config = format!(
        "listen = \"{listener}\"\n\
         [classes.device-status]\neffect = \"safe\"\naim = \"400ms\"\ndeadline = \"1.2s\"\n\
         [classes.flash-device]\neffect = \"unsafe\"\naim = \"1.2s\"\ndeadline = \"6s\"\n\
         [clusters.bench]\nendpoints = [\"{server}\"]\n\
         [[routes]]\nname = \"uploads\"\npath = \"/runs\"\nmethods = [\"POST\"]\nclass = \"flash-device\"\n\
         cluster = \"bench\"\nlimits = {{ rate = \"1/s\", burst = 2 }}\n\
         [[routes]]\nname = \"status\"\nprefix = \"/devices\"\nmethods = [\"GET\"]\nclass = \"device-status\"\ncluster = \"bench\"\n\
         [[routes]]\nname = \"flash\"\nregex = \"/devices/[^/]+/flash\"\nmethods = [\"POST\"]\nclass = \"flash-device\"\ncluster = \"bench\"\n"
    );
    let file = run.write("daemon.toml", &config);
    let command = format!("exec target/release/mintshelf run --config {}", file.display());
    let _daemon = run.start("daemon", &command, &[]);
    if !wait_for(Duration::from_secs(10), || listens(listener)) {
        return Err(format!("the daemon does not listen: {}", run.output_of("daemon")));
    }
    let connect =
        || TcpStream::connect(listener).map(Reader::new).map_err(|error| error.to_string());
    let mut reader = connect()?;
    let mut sent = Vec::new();
    let (mut foreign, mut limited) = (0, 0);
    for number in 0..UPLOADS {
        // With the disruption the uploads exceed the route's rate, without it they keep to it.
        sleep_ms(if run.trouble { 50 } else { 1_100 });
        let body = log_text(number);
        let upload = format!("upload{number}");
        let status = format!("status{number}");
        let messages = [
            (&upload, format!(
                "POST /runs HTTP/1.1\r\nHost: bench\r\nX-Request: {upload}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )),
            (&status, format!("GET /devices/7 HTTP/1.1\r\nHost: bench\r\nX-Request: {status}\r\n\r\n")),
        ];
        for (id, message) in messages {
            sent.push(id.clone());
            let answer = ask_on(&mut reader, message.as_bytes(), Duration::from_secs(5));
            run.log(format!(
                "client: sends {id}, {} bytes; is answered {}",
                message.len(),
                answer.text()
            ));
            limited += u32::from(answer.status() == Some(429));
            if let Answer::Whole { status: 200, body, .. } = &answer {
                let body = String::from_utf8_lossy(body);
                foreign += u32::from(body != format!("answer to {id}\n"));
            }
            let closes = answer
                .header("connection")
                .is_some_and(|value| value.eq_ignore_ascii_case("close"));
            if closes || answer.status().is_none() {
                reader = connect()?;
            }
        }
    }
    sleep_ms(300);
    let arrived = arrived.lock().expect("arrived");
    let unsent = arrived.iter().filter(|id| !sent.contains(id)).count();
    run.log(format!(
        "{UPLOADS} uploads, {limited} over the rate; requests that the server ran and no client sent: {unsent}; \
         answers 200 to another request: {foreign}"
    ));
    if run.trouble && limited == 0 {
        return Err("no upload was over the rate".into());
    }
    Ok(unsent == 0 && foreign == 0)
}
