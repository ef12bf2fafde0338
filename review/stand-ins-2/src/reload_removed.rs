//! A reload removes an endpoint while requests wait in the cluster's queue: does the endpoint get any
//! of them afterwards?

use crate::harness::{free_address, listens, sleep_ms, wait_for, Run, SIGHUP};
use crate::http::{ask, respond, serve};
use crate::Outcome;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub fn play(run: &Arc<Run>) -> Outcome {
    let listener = free_address();
    let servers: Vec<_> =
        ["c1", "c2", "a1"].into_iter().map(|name| (name, free_address())).collect();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    for (name, address) in &servers {
        let (name, run, arrivals) = (*name, run.clone(), arrivals.clone());
        serve(*address, move |request, out| {
            let id = request.header("x-request").unwrap_or("?").to_string();
            run.log(format!("{name}: {id} arrives"));
            arrivals.lock().expect("arrivals").push((run.ms(), name, id.clone()));
            sleep_ms(1_000);
            respond(out, "200 OK", "", &format!("{id} at {name}\n"))
        });
    }
    let config = |removed: bool| {
        let endpoints: Vec<String> = servers
            .iter()
            .filter(|(name, _)| !(removed && *name == "a1"))
            .map(|(name, address)| {
                let zone = if *name == "a1" { "ariana" } else { "charguia" };
                format!("    {{ name = \"{name}\", address = \"{address}\", zone = \"{zone}\" }},")
            })
            .collect();
        format!(
            "listen = \"{listener}\"\n\
             [classes.flash-device]\neffect = \"unsafe\"\naim = \"1.2s\"\ndeadline = \"30s\"\n\
             [clusters.bench]\nconcurrency = 6\nqueue = 60\nendpoints = [\n{}\n]\n\
             [[routes]]\nprefix = \"/devices\"\nmethods = [\"POST\"]\nclass = \"flash-device\"\ncluster = \"bench\"\n",
            endpoints.join("\n")
        )
    };
    let file = run.write("daemon.toml", &config(false));
    let command = format!("exec target/release/mintshelf run --config {}", file.display());
    let daemon = run.start("daemon", &command, &[]);
    if !wait_for(Duration::from_secs(10), || listens(listener)) {
        return Err(format!("the daemon does not listen: {}", run.output_of("daemon")));
    }
    let clients: Vec<_> = (0..48)
        .map(|number| {
            let run = run.clone();
            thread::spawn(move || {
                let message = format!(
                    "POST /devices/{number}/flash HTTP/1.1\r\nHost: bench\r\nX-Request: r{number}\r\n\
                     Content-Length: 5\r\n\r\nimage"
                );
                let answer = ask(listener, message.as_bytes(), Duration::from_secs(40));
                run.log(format!("client: r{number}: {}", answer.text()));
                answer.status()
            })
        })
        .collect();
    sleep_ms(2_500);
    let mut told_at = u128::MAX;
    if run.trouble {
        run.write("daemon.toml", &config(true));
        run.log("SIGHUP: the file no longer has a1, the only endpoint in ariana");
        daemon.signal(SIGHUP);
        if !wait_for(Duration::from_secs(5), || {
            run.output_of("daemon").contains("configuration applied")
        }) {
            return Err(format!("not applied: {}", run.output_of("daemon")));
        }
        told_at = run.ms();
        run.log("the daemon logs: configuration applied");
    }
    let statuses: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let served = statuses.iter().filter(|status| **status == Some(200)).count();
    // The grace of 250 ms and the 50 ms of slack that each time limit has on sockets.
    let grace_over = told_at.saturating_add(300);
    let arrivals = arrivals.lock().expect("arrivals");
    let at_a1 = arrivals.iter().filter(|(_, name, _)| *name == "a1");
    let late: Vec<_> = at_a1.clone().filter(|(at, _, _)| *at > grace_over).collect();
    run.log(format!("{served} of {} served; a1 got {}", statuses.len(), at_a1.count()));
    for (at, _, id) in &late {
        run.log(format!("a1 got {id} {} ms after the reload was applied", at - told_at));
    }
    if run.trouble && late.is_empty() && served == 0 {
        return Err("nothing was served".into());
    }
    Ok(late.is_empty())
}
