//! A keyed request is refused after it may have run; its client's retry exceeds the member's rate and is
//! told when to come back. Has the advice an end within the window in which servers know the key?

use crate::harness::{free_address, listens, sleep_ms, wait_for, Run};
use crate::http::{ask, respond, serve, Answer};
use crate::Outcome;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEYS: usize = 6;
/// The member's burst, the number of its hourly rate.
const BURST: usize = 120;
const WINDOW: Duration = Duration::from_secs(20);
/// The servers break connections after they have run a request for so long.
const BREAKS: Duration = Duration::from_secs(8);

struct Bench {
    started: Instant,
    /// When a key was run; the servers of the cluster drop its repeats within the window.
    memory: Mutex<HashMap<String, Instant>>,
    effects: Mutex<Vec<(u128, String)>>,
}

pub fn play(run: &Arc<Run>) -> Outcome {
    let listener = free_address();
    let servers = [free_address(), free_address()];
    let bench = Arc::new(Bench {
        started: Instant::now(),
        memory: Mutex::default(),
        effects: Mutex::default(),
    });
    for address in servers {
        let (run, bench) = (run.clone(), bench.clone());
        serve(address, move |request, out| {
            let Some(key) = request.header("idempotency-key").map(str::to_string) else {
                return respond(out, "200 OK", "", "free\n");
            };
            let mut memory = bench.memory.lock().expect("memory");
            let is_repeat = memory.get(&key).is_some_and(|at| at.elapsed() < WINDOW);
            if !is_repeat {
                memory.insert(key.clone(), Instant::now());
                bench.effects.lock().expect("effects").push((run.ms(), key.clone()));
            }
            drop(memory);
            let what = if is_repeat { "drops a repeat of" } else { "queues the run of" };
            run.log(format!("server: {what} {key}"));
            sleep_ms(20);
            bench.started.elapsed() > BREAKS
                && respond(out, "200 OK", "", &format!("{key} is queued\n"))
        });
    }
    let config = format!(
        "listen = \"{listener}\"\ntenant-header = \"x-member\"\nrepeat-header = \"x-repeat\"\n\
         [tenants.medina-mobile]\nheader-values = [\"medina-mobile\"]\nrate = \"{BURST}/h\"\n\
         [classes.device-status]\neffect = \"safe\"\naim = \"400ms\"\ndeadline = \"1.2s\"\n\
         [classes.queue-run]\neffect = \"keyed\"\nwindow = \"20s\"\naim = \"750ms\"\ndeadline = \"4s\"\nclient-retries = 2\n\
         [clusters.bench]\nmax-retry-after = \"2s\"\nendpoints = [\"{}\", \"{}\"]\n\
         [[routes]]\nprefix = \"/devices\"\nmethods = [\"GET\"]\nclass = \"device-status\"\ncluster = \"bench\"\n\
         [[routes]]\npath = \"/runs\"\nmethods = [\"POST\"]\nclass = \"queue-run\"\ncluster = \"bench\"\n",
        servers[0], servers[1]
    );
    let file = run.write("daemon.toml", &config);
    let mut check =
        run.start("check", &format!("exec target/release/mintshelf check {}", file.display()), &[]);
    wait_for(Duration::from_secs(5), || check.has_ended());
    run.log(format!("check says: {:?}", run.output_of("check")));
    let command = format!("exec target/release/mintshelf run --config {}", file.display());
    let _daemon = run.start("daemon", &command, &[]);
    if !wait_for(Duration::from_secs(10), || listens(listener)) {
        return Err(format!("the daemon does not listen: {}", run.output_of("daemon")));
    }
    // The member's other requests. With the disruption they leave just enough of its burst for the
    // first tries, without it for the retries too.
    let others = BURST - KEYS - if run.trouble { 0 } else { 4 * KEYS };
    let status = b"GET /devices/7 HTTP/1.1\r\nHost: bench\r\nX-Member: medina-mobile\r\n\r\n";
    let answered = (0..others)
        .filter(|_| ask(listener, status, Duration::from_secs(2)).status() == Some(200))
        .count();
    run.log(format!("{answered} of {others} other requests of the member are served"));
    let clients: Vec<_> = (0..KEYS)
        .map(|number| {
            let run = run.clone();
            thread::spawn(move || play_client(&run, listener, number))
        })
        .collect();
    let refused: Vec<bool> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let effects = bench.effects.lock().expect("effects");
    let mut twice = 0;
    for number in 0..KEYS {
        let key = format!("key{number}");
        let at: Vec<u128> =
            effects.iter().filter(|(_, done)| *done == key).map(|(at, _)| *at).collect();
        if at.len() > 1 && refused.get(number) == Some(&true) {
            twice += 1;
            run.log(format!("{key} was refused each time before, and has run at {at:?} ms"));
        }
    }
    run.log(format!("{KEYS} keyed requests; effects that happened twice: {twice}"));
    if !refused.contains(&true) {
        return Err("nothing was refused".into());
    }
    Ok(twice == 0)
}

/// Sends a keyed request, and again after each refusal, at the time that the refusal states: twice at
/// most. Returns whether each answer but the last was a refusal.
fn play_client(run: &Run, listener: std::net::SocketAddr, number: usize) -> bool {
    let key = format!("key{number}");
    let mut refused = false;
    for attempt in 0..3 {
        let message = format!(
            "POST /runs HTTP/1.1\r\nHost: bench\r\nX-Member: medina-mobile\r\nX-Repeat: {attempt}\r\n\
             Idempotency-Key: {key}\r\nContent-Length: 3\r\n\r\nrun"
        );
        let answer = ask(listener, message.as_bytes(), Duration::from_secs(5));
        let wait: Option<u64> = answer.header("retry-after").and_then(|text| text.parse().ok());
        run.log(format!(
            "client: {key}, try {attempt}, is answered {}, Retry-After {wait:?}",
            answer.text()
        ));
        let is_refusal = matches!(answer.status(), Some(429 | 503));
        if !is_refusal || attempt == 2 || matches!(answer, Answer::None) {
            break;
        }
        refused = true;
        sleep_ms(1_000 * wait.unwrap_or(1));
    }
    refused
}
