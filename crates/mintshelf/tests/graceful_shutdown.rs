//! Graceful shutdown of the platform's sidecar: clients go on sending on connections that stay open,
//! some servers never respond, and a supervisor sends SIGKILL as soon as it may.

use mintshelf_test_support::{
    config, connect, ok_response, request_with_timeout, set_deadlines, wait_until, Discovery,
    Message, Process as _, Server, Sidecar,
};
use serde_json::json;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
/// Deadline of every class.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Time from SIGTERM to SIGKILL: the longest deadline and 0.7 s at least, somewhat more on a busy
/// machine.
const SIGKILL_DELAY: Duration = Duration::from_millis(1_500 + 700 + 300);

/// A configuration whose classes have [`DEADLINE`], and `Retry-After` is forwarded.
fn short_deadline_config(
    discovery: SocketAddr,
    known: Vec<serde_json::Value>,
) -> serde_json::Value {
    let mut config = config(discovery, known);
    set_deadlines(&mut config, DEADLINE);
    config["settings"]["limits"]["max-retry-after"] = json!(2_000_000_000u64);
    config
}

/// Client timeout in milliseconds: longer than any process runs.
const CLIENT_TIMEOUT_MS: u64 = 60_000;

/// A request and its response.
#[derive(Debug)]
struct Exchange {
    sent_at: Instant,
    /// With the time when it was complete; none if the connection ended without one.
    response: Option<(Message, Instant)>,
}

/// A client that sends one request after another on one connection for as long as that stays
/// open. What it sends on a connection that is being closed does not count as accepted.
fn send_until_closed(
    address: SocketAddr,
    name: &str,
    stopped: &AtomicBool,
    exchanges: &Mutex<HashMap<String, Exchange>>,
) {
    let Some(mut stream) = connect(address) else { return };
    for number in 0.. {
        // Rejected at once it would only spin.
        thread::sleep(Duration::from_millis(2));
        let id = format!("{name}-{number}");
        let sent_at = Instant::now();
        if stopped.load(Ordering::Relaxed)
            || stream.write_all(&request_with_timeout("safe", &id, CLIENT_TIMEOUT_MS)).is_err()
        {
            return;
        }
        let response = Message::read(&mut stream).map(|response| (response, Instant::now()));
        let is_last = match &response {
            Some((response, _)) => response.header("connection") == Some("close"),
            None => true,
        };
        exchanges.lock().unwrap().insert(id, Exchange { sent_at, response });
        if is_last {
            return;
        }
    }
}

#[test]
fn requests_accepted_after_sigterm_are_answered_before_sigkill() {
    // Every fourth request gets no response, the others get one after 40 ms.
    let server = Server::start(|request, _| {
        let id = request.header("x-txn").unwrap();
        let number = id.rsplit('-').next().unwrap().parse::<u32>().unwrap();
        if number % 4 == 3 {
            return None;
        }
        thread::sleep(Duration::from_millis(40));
        Some(ok_response("served"))
    });
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let mut sidecar =
        Sidecar::start(PROGRAM, short_deadline_config(discovery.address, vec![server.entry("a")]));
    let (stopped, exchanges) =
        (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(HashMap::new())));
    let clients: Vec<_> = (0..24)
        .map(|client| {
            // Spread over the time that one request may wait.
            thread::sleep(Duration::from_millis(60));
            let (stopped, exchanges, address) =
                (stopped.clone(), exchanges.clone(), sidecar.address);
            thread::spawn(move || {
                send_until_closed(address, &format!("c{client}"), &stopped, &exchanges);
            })
        })
        .collect();
    let signalled_at = Instant::now();
    sidecar.signal("TERM");
    thread::sleep(SIGKILL_DELAY.saturating_sub(signalled_at.elapsed()));
    let _ = sidecar.child.kill();
    stopped.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let exchanges = exchanges.lock().unwrap();
    let after: Vec<_> =
        exchanges.iter().filter(|(_, exchange)| exchange.sent_at > signalled_at).collect();
    for (id, exchange) in exchanges.iter() {
        let (response, completed_at) = exchange.response.as_ref().unwrap_or_else(|| {
            let late = exchange.sent_at.saturating_duration_since(signalled_at);
            panic!("{id}, sent {late:?} after the signal, has no response: {exchange:?}")
        });
        assert!(*completed_at < signalled_at + SIGKILL_DELAY, "{id}");
        assert!([200, 502, 503].contains(&response.status()), "{id}: {}", response.head);
        if *completed_at > signalled_at + Duration::from_millis(50) {
            assert_eq!(response.header("connection"), Some("close"), "{id}: {}", response.head);
        }
    }
    assert!(!after.is_empty(), "nothing was sent after the signal");
    assert!(exchanges.len() > 48, "{} requests", exchanges.len());
}

/// Writes a request and returns its connection.
fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

#[test]
fn final_responses_reject_only_requests_that_cannot_have_run() {
    let server = Server::start(|_, _| None);
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let mut config = short_deadline_config(discovery.address, vec![server.entry("a")]);
    // Longer than what is left: their deadlines would come after the kill.
    set_deadlines(&mut config, Duration::from_secs(30));
    let mut sidecar = Sidecar::start(PROGRAM, config);
    let classes = ["safe", "keyed", "unsafe"];
    let mut streams = classes
        .map(|class| send(sidecar.address, &request_with_timeout(class, class, CLIENT_TIMEOUT_MS)));
    wait_until("all have arrived", || server.requests().len() == 3);
    // An incomplete request does not count as accepted.
    let incomplete = send(sidecar.address, b"GET /api HTTP/1.1\r\nHost: a\r\n");
    let signalled_at = Instant::now();
    sidecar.signal("TERM");
    let responses = streams.each_mut().map(|stream| Message::read(stream).unwrap());
    let elapsed = signalled_at.elapsed();
    assert!(elapsed < Duration::from_millis(4_500), "{elapsed:?}");
    assert!(
        elapsed > Duration::from_millis(3_000),
        "{elapsed:?}: servers were given too little time"
    );
    assert_eq!(responses.each_ref().map(Message::status), [503, 502, 502]);
    assert!(responses[0].header("retry-after").is_some(), "{}", responses[0].head);
    // None of them was retried.
    assert_eq!(server.requests().len(), 3);
    // No time is left for another: it is rejected at once, without an attempt.
    let late_sent_at = Instant::now();
    let late =
        sidecar.send_request(&request_with_timeout("unsafe", "late", CLIENT_TIMEOUT_MS)).unwrap();
    assert_eq!(late.status(), 503, "{}", late.head);
    assert!(late_sent_at.elapsed() < Duration::from_secs(1));
    assert_eq!(server.requests().len(), 3);
    drop(incomplete);
    assert!(sidecar.is_running(), "it goes on until its clients have had time to leave");
}
