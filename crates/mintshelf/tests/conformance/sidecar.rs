//! Rows at the real sidecar, between test servers on loopback sockets.

use super::faulty_discovery::FaultyDiscovery;
use super::rows::{
    AttemptResult, DiscoveryFault, EligibilityRow, GivenRequest, NotificationRow, RequestOutcome,
    ServerState, ShutdownRow,
};
use super::Observed;
use mintshelf_test_support::{
    config, connect, ok_response, read_to_close, request, request_with_timeout, reset_connection,
    set_deadlines, wait_until, Discovery, Message, Peer, Process as _, Server, Sidecar,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
/// What a busy machine may add to the time of a response; an unbounded timeout would add more.
const BUSY_MACHINE_DELAY: Duration = Duration::from_millis(300);
/// Grace period of rule 3 after a notification, with 50 ms more for the sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300);

/// A server whose first requests have these results, and which serves the rest; with the number of
/// requests received.
fn scripted_server(results: Vec<AttemptResult>) -> (Peer, Arc<AtomicUsize>) {
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    let peer = Peer::start(move |mut stream| {
        while Message::read(&mut stream).is_some() {
            let number = count.fetch_add(1, Ordering::SeqCst);
            let empty = "Content-Length: 0\r\n\r\n";
            let written = match results.get(number) {
                None => stream.write_all(&ok_response("served")),
                Some(AttemptResult::Error) => write!(stream, "HTTP/1.1 500 Oops\r\n{empty}"),
                Some(AttemptResult::Rejected) => {
                    write!(stream, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\n{empty}")
                }
                Some(AttemptResult::Malformed) => write!(stream, "HTTP/1.1 2x0 OK\r\nContent-Le"),
                Some(AttemptResult::TimedOut) => Ok(()),
                Some(AttemptResult::Reset | AttemptResult::ConnectFailed) => {
                    return reset_connection(stream)
                }
            };
            if written.is_err() {
                return;
            }
        }
    });
    (peer, received)
}

fn entry(address: SocketAddr, uid: &str, state: ServerState) -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let listed_state = match state {
        ServerState::Draining => "DRAINING",
        ServerState::Removed => "DELETED",
        _ => "SERVING",
    };
    let started_at_ms = if state == ServerState::WarmingUp { now } else { 0 };
    json!({"uid": uid, "endpoint": address.to_string(), "state": listed_state, "boot_ms": started_at_ms})
}

/// Sends one request whose first attempts have the results of the row.
pub fn outcome(given: &GivenRequest) -> Observed {
    let (server, received) = scripted_server(given.results.clone());
    let servers = vec![entry(server.address, "a", ServerState::Ready)];
    let discovery = Discovery::start(1, servers.clone());
    let sidecar = Sidecar::start(PROGRAM, config(discovery.address, servers));
    let timeout_ms = if given.results.contains(&AttemptResult::TimedOut) { 600 } else { 8_000 };
    let request = request_with_timeout(&given.class, "a", timeout_ms);
    let response = sidecar.send_request(&request).unwrap();
    let outcome = match response.status() {
        200 if response.body == b"served" => RequestOutcome::Served,
        429 | 503 => RequestOutcome::Rejected,
        _ => RequestOutcome::Failed,
    };
    Observed { outcome, attempts: received.load(Ordering::SeqCst) }
}

/// How many of 300 requests, one after another, go to each server.
pub fn request_counts(row: &EligibilityRow) -> Vec<usize> {
    let servers: Vec<_> =
        row.servers.iter().map(|_| Server::start(|_, _| Some(ok_response("")))).collect();
    let entries: Vec<_> = (0..servers.len())
        .map(|index| entry(servers[index].address, &format!("s{index}"), row.servers[index]))
        .collect();
    let discovery = Discovery::start(1, entries.clone());
    let mut config = config(discovery.address, entries);
    config["settings"]["invariants"]["cold"] = json!(8_000_000_000u64);
    let sidecar = Sidecar::start(PROGRAM, config);
    thread::sleep(DRAIN_GRACE);
    let mut stream = connect(sidecar.address).unwrap();
    for number in 0..300 {
        stream.write_all(&request("safe", &number.to_string())).unwrap();
        assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    }
    servers.iter().map(|server| server.requests().len()).collect()
}

/// How many requests were sent to a draining server after the change counts as notified.
pub fn count_late_requests(row: &NotificationRow) -> usize {
    let servers = [0, 1].map(|_| Server::start(|_, _| Some(ok_response(""))));
    let entries = |second| {
        vec![
            entry(servers[0].address, "a", ServerState::Ready),
            entry(servers[1].address, "b", second),
        ]
    };
    let discovery = FaultyDiscovery::start(row.fault, entries(ServerState::Ready));
    let new_discovery =
        FaultyDiscovery::start(DiscoveryFault::None, entries(ServerState::Draining));
    let mut config = config(discovery.peer.address, entries(ServerState::Ready));
    if row.fault == DiscoveryFault::AgentOutage {
        config["settings"]["registry-mode"] = json!("automatic");
    }
    let mut sidecar = Sidecar::start(PROGRAM, config.clone());
    let mut sent = 0;
    let mut send_one = || {
        sent += 1;
        let response = sidecar.send_request(&request("safe", &sent.to_string())).unwrap();
        assert_eq!(response.status(), 200);
    };
    wait_until("both serve", || {
        send_one();
        servers.iter().all(|server| !server.requests().is_empty())
    });
    wait_until("discovery is called", || discovery.is_called());
    // A watch is open by now.
    thread::sleep(Duration::from_millis(200));
    discovery.set_faulty(true);
    discovery.set_list(entries(ServerState::Draining));
    match row.fault {
        DiscoveryFault::Reset => discovery.reset_connections(),
        DiscoveryFault::Sighup => {
            let mut config = sidecar.config.clone();
            config["discovery"] = json!(new_discovery.peer.address.to_string());
            sidecar.reload(&config.to_string());
        }
        // While calls fail nothing can be notified; from then on it has four times the usual time.
        DiscoveryFault::Unavailable | DiscoveryFault::AgentOutage => {
            thread::sleep(Duration::from_millis(1_500));
            discovery.set_faulty(false);
        }
        DiscoveryFault::None | DiscoveryFault::Silent => {}
    }
    thread::sleep(Duration::from_millis(row.notified_ms) + DRAIN_GRACE);
    let before = servers[1].requests().len();
    for number in 0..60 {
        let response = sidecar.send_request(&request("safe", &format!("late-{number}"))).unwrap();
        assert_eq!(response.status(), 200);
    }
    servers[1].requests().len() - before
}

/// Sends a request around SIGTERM and checks its response.
pub fn check_shutdown(row: &ShutdownRow) -> Result<(), String> {
    let served_ms = row.served_ms;
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    let server = Peer::start(move |mut stream| {
        while Message::read(&mut stream).is_some() {
            count.fetch_add(1, Ordering::SeqCst);
            let Some(ms) = served_ms else { continue };
            thread::sleep(Duration::from_millis(ms));
            if stream.write_all(&ok_response("served")).is_err() {
                return;
            }
        }
    });
    let servers = vec![entry(server.address, "a", ServerState::Ready)];
    let discovery = Discovery::start(1, servers.clone());
    let mut config = config(discovery.address, servers);
    set_deadlines(&mut config, Duration::from_millis(1_500));
    let sidecar = Sidecar::start(PROGRAM, config);
    let send_after = |delay: i64| {
        thread::sleep(Duration::from_millis(delay.max(0) as u64));
        let mut stream = connect(sidecar.address).unwrap();
        stream.write_all(&request_with_timeout(&row.class, "a", 60_000)).unwrap();
        stream
    };
    let (mut stream, signalled_at) = if row.sent_ms < 0 {
        let stream = send_after(0);
        wait_until("it has arrived at the server", || received.load(Ordering::SeqCst) == 1);
        let signalled_at = Instant::now();
        sidecar.signal("TERM");
        (stream, signalled_at)
    } else {
        let signalled_at = Instant::now();
        sidecar.signal("TERM");
        (send_after(row.sent_ms), signalled_at)
    };
    let response = Message::read(&mut stream).ok_or("no response")?;
    let elapsed = signalled_at.elapsed();
    let is_attempted = received.load(Ordering::SeqCst) > 0;
    let closes_connection = response.header("connection") == Some("close");
    let surplus = read_to_close(&mut stream);
    let observed =
        format!("{elapsed:?} after SIGTERM, attempted {is_attempted}: {}", response.head);
    let is_met = response.status() == row.status
        && elapsed < Duration::from_millis(row.by_ms) + BUSY_MACHINE_DELAY
        && is_attempted != row.not_attempted
        && closes_connection
        && surplus.is_empty();
    if is_met {
        Ok(())
    } else {
        Err(observed)
    }
}
