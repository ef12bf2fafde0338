//! Keyed requests at a route that is split over two clusters by their key: a refused one is sent again
//! after a reload has shifted the weights. Does its effect happen twice?

use crate::harness::{free_address, listens, sleep_ms, wait_for, Run, SIGHUP};
use crate::http::{ask, respond, serve};
use crate::Outcome;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEYS: usize = 24;
const WINDOW: Duration = Duration::from_secs(20);

/// What the servers of one cluster remember together: the keys that they have run, and when.
type Memory = Arc<Mutex<HashMap<String, Instant>>>;

/// Starts a server of a cluster. It drops repeats of a key that its cluster has run within the window.
/// A server of a cluster in trouble runs a request and then breaks the connection.
fn start_server(
    run: &Arc<Run>,
    name: &'static str,
    memory: Memory,
    effects: Arc<Mutex<Vec<(String, &'static str)>>>,
    breaks: bool,
) -> SocketAddr {
    let address = free_address();
    let run = run.clone();
    serve(address, move |request, out| {
        let key = request.header("idempotency-key").unwrap_or("").to_string();
        let mut memory = memory.lock().expect("memory");
        let is_repeat = memory.get(&key).is_some_and(|at| at.elapsed() < WINDOW);
        if !is_repeat {
            memory.insert(key.clone(), Instant::now());
            effects.lock().expect("effects").push((key.clone(), name));
        }
        drop(memory);
        let what = if is_repeat { "drops a repeat of" } else { "queues the run of" };
        run.log(format!("{name}: {what} {key}"));
        sleep_ms(20);
        !breaks && respond(out, "200 OK", "", &format!("{key} is queued\n"))
    });
    address
}

pub fn play(run: &Arc<Run>) -> Outcome {
    let listener = free_address();
    let effects = Arc::new(Mutex::new(Vec::new()));
    let (old, new) = (Memory::default(), Memory::default());
    let start = |name, memory: &Memory, breaks| {
        start_server(run, name, memory.clone(), effects.clone(), breaks)
    };
    let olds = [start("old", &old, true), start("old", &old, true)];
    let news = [start("new", &new, false), start("new", &new, false)];
    let config = |old_weight: u32, new_weight: u32| {
        format!(
            "listen = \"{listener}\"\n\
             [classes.queue-run]\neffect = \"keyed\"\nwindow = \"20s\"\naim = \"750ms\"\ndeadline = \"4s\"\nclient-retries = 1\n\
             [clusters.old]\nmax-retry-after = \"5s\"\nendpoints = [\"{}\", \"{}\"]\n\
             [clusters.new]\nmax-retry-after = \"5s\"\nendpoints = [\"{}\", \"{}\"]\n\
             [[routes]]\npath = \"/runs\"\nmethods = [\"POST\"]\nclass = \"queue-run\"\n\
             clusters = {{ old = {old_weight}, new = {new_weight} }}\nsticky = \"header:idempotency-key\"\n",
            olds[0], olds[1], news[0], news[1]
        )
    };
    let file = run.write("daemon.toml", &config(9, 1));
    let command = format!("exec target/release/mintshelf run --config {}", file.display());
    let daemon = run.start("daemon", &command, &[]);
    if !wait_for(Duration::from_secs(10), || listens(listener)) {
        return Err(format!("the daemon does not listen: {}", run.output_of("daemon")));
    }
    sleep_ms(1_200);
    let clients: Vec<_> = (0..KEYS)
        .map(|number| {
            let run = run.clone();
            thread::spawn(move || {
                let key = format!("key{number:02}");
                let message = format!(
                    "POST /runs HTTP/1.1\r\nHost: bench\r\nIdempotency-Key: {key}\r\nContent-Length: 3\r\n\r\nrun"
                );
                sleep_ms(100 * number as u64);
                let first = ask(listener, message.as_bytes(), Duration::from_secs(5));
                run.log(format!(
                    "client: {key} is answered {}, Retry-After {:?}",
                    first.text(),
                    first.header("retry-after")
                ));
                // Only a refusal tells that trying again does no harm.
                let is_refused = matches!(first.status(), Some(429 | 503));
                let wait: Option<u64> = first.header("retry-after").and_then(|text| text.parse().ok());
                if !is_refused {
                    return (key, false);
                }
                sleep_ms(1_000 * wait.unwrap_or(1));
                let second = ask(listener, message.as_bytes(), Duration::from_secs(5));
                run.log(format!("client: {key}, sent again, is answered {}", second.text()));
                (key, true)
            })
        })
        .collect();
    sleep_ms(1_300);
    if run.trouble {
        run.write("daemon.toml", &config(1, 9));
        run.log("SIGHUP: the weights are old = 1, new = 9 instead of old = 9, new = 1");
        daemon.signal(SIGHUP);
        if !wait_for(Duration::from_secs(5), || {
            run.output_of("daemon").contains("configuration applied")
        }) {
            return Err(format!("not applied: {}", run.output_of("daemon")));
        }
    }
    let results: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let effects = effects.lock().expect("effects");
    let mut twice = 0;
    for (key, was_refused) in &results {
        let places: Vec<_> =
            effects.iter().filter(|(done, _)| done == key).map(|(_, name)| *name).collect();
        if places.len() > 1 && *was_refused {
            twice += 1;
            run.log(format!("{key} was refused, sent again, and has run at {places:?}"));
        }
    }
    let refused = results.iter().filter(|(_, was_refused)| *was_refused).count();
    run.log(format!(
        "{KEYS} keyed requests, {refused} refused; effects that happened twice: {twice}"
    ));
    if refused == 0 {
        return Err("nothing was refused".into());
    }
    Ok(twice == 0)
}
