//! Rows played at the real sidecar, between stand-ins on loopback sockets.

use super::{ClockRow, End, EndingRow, Given, MembersRow, Met, Seen, State, Trouble};
use mintshelf_test_support::{
    config, connect, ok_response, read_to_close, request, request_with_timeout, reset_connection,
    set_deadlines, wait_until, Discovery, Message, Peer, Process as _, Server, Sidecar,
    TEST_TIMEOUT,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");
/// What a busy machine may add to an answer's time. Unbounded patience would add more.
const BUSY: Duration = Duration::from_millis(300);
/// Rule 3 allows so much after a change is told, and 50 ms more on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300);

/// A server that meets its first requests so, and serves the rest; it counts them.
fn server_with_reactions(met: Vec<Met>) -> (Peer, Arc<AtomicUsize>) {
    let seen = Arc::new(AtomicUsize::new(0));
    let count = seen.clone();
    let peer = Peer::start(move |mut stream| {
        while Message::read(&mut stream).is_some() {
            let number = count.fetch_add(1, Ordering::SeqCst);
            let empty = "Content-Length: 0\r\n\r\n";
            let written = match met.get(number) {
                None => stream.write_all(&ok_response("served")),
                Some(Met::Error) => write!(stream, "HTTP/1.1 500 Oops\r\n{empty}"),
                Some(Met::TurnedAway) => {
                    write!(stream, "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\n{empty}")
                }
                Some(Met::Spoilt) => write!(stream, "HTTP/1.1 2x0 OK\r\nContent-Le"),
                Some(Met::Silence) => Ok(()),
                Some(Met::Reset | Met::NoConnection) => return reset_connection(stream),
            };
            if written.is_err() {
                return;
            }
        }
    });
    (peer, seen)
}

fn entry(at: std::net::SocketAddr, uid: &str, state: State) -> Value {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let condition = match state {
        State::Draining => "DRAINING",
        State::Gone => "DELETED",
        _ => "SERVING",
    };
    let boot = if state == State::Cold { now } else { 0 };
    json!({"uid": uid, "endpoint": at.to_string(), "state": condition, "boot_ms": boot})
}

pub fn outcome(given: &Given) -> Seen {
    let (server, seen) = server_with_reactions(given.met.clone());
    let servers = vec![entry(server.at, "a", State::Ready)];
    let discovery = Discovery::start(1, servers.clone());
    let sidecar = Sidecar::start(PROGRAM, config(discovery.at, servers));
    let waits = if given.met.contains(&Met::Silence) { 600 } else { 8_000 };
    let got = sidecar.send_request(&request_with_timeout(&given.class, "a", waits)).unwrap();
    let end = match got.status() {
        200 if got.body == b"served" => End::Served,
        429 | 503 => End::Refused,
        _ => End::Failed,
    };
    Seen { end, sent: seen.load(Ordering::SeqCst) }
}

/// How many of 300 requests, one after another, go to each server.
pub fn members(row: &MembersRow) -> Vec<usize> {
    let servers: Vec<_> =
        row.servers.iter().map(|_| Server::start(|_, _| Some(ok_response("")))).collect();
    let entries: Vec<_> = (0..servers.len())
        .map(|n| entry(servers[n].at, &format!("s{n}"), row.servers[n]))
        .collect();
    let discovery = Discovery::start(1, entries.clone());
    let mut config = config(discovery.at, entries);
    config["settings"]["invariants"]["cold"] = json!(8_000_000_000u64);
    let sidecar = Sidecar::start(PROGRAM, config);
    thread::sleep(DRAIN_GRACE);
    let mut stream = connect(sidecar.at).unwrap();
    for number in 0..300 {
        stream.write_all(&request("safe", &number.to_string())).unwrap();
        assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    }
    servers.iter().map(|server| server.requests().len()).collect()
}

/// Discovery that falls into trouble: what it does with its calls from then on.
struct FaultyDiscovery {
    peer: Peer,
    open: Arc<Mutex<Vec<TcpStream>>>,
    broken: Arc<AtomicBool>,
    list: Arc<Mutex<(u64, Vec<Value>)>>,
}

impl FaultyDiscovery {
    fn start(trouble: Trouble, entries: Vec<Value>) -> Self {
        let open = Arc::new(Mutex::new(Vec::new()));
        let broken = Arc::new(AtomicBool::new(false));
        let list = Arc::new(Mutex::new((1, entries)));
        let (streams, is_broken, list_state) = (open.clone(), broken.clone(), list.clone());
        let peer = Peer::start(move |mut stream| {
            let begun_broken = is_broken.load(Ordering::SeqCst);
            streams.lock().unwrap().push(stream.try_clone().unwrap());
            while let Some(call) = Message::read(&mut stream) {
                let after = call.after();
                // A watch waits; an agent answers at once.
                let until = Instant::now() + Duration::from_secs(10);
                let waits =
                    || after == Some(list_state.lock().unwrap().0) && Instant::now() < until;
                while trouble != Trouble::AgentOutage && waits() {
                    thread::sleep(Duration::from_millis(5));
                }
                let now_broken = is_broken.load(Ordering::SeqCst);
                match trouble {
                    // A watch that has fallen silent stays so; a new connection is sound.
                    Trouble::Silent if now_broken && !begun_broken => {
                        return thread::sleep(TEST_TIMEOUT)
                    }
                    Trouble::Fails if now_broken => {
                        let fails = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
                        let _ = stream.write_all(fails.as_bytes());
                        continue;
                    }
                    Trouble::AgentOutage if now_broken => {
                        while is_broken.load(Ordering::SeqCst) {
                            thread::sleep(Duration::from_millis(5));
                        }
                    }
                    _ => {}
                }
                let (rev, entries) = list_state.lock().unwrap().clone();
                let text = json!({"rev": rev, "all": true, "targets": entries}).to_string();
                if stream.write_all(&ok_response(&text)).is_err() {
                    return;
                }
            }
        });
        FaultyDiscovery { peer, open, broken, list }
    }

    fn set(&self, entries: Vec<Value>) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, entries);
    }
}

/// How many requests went to a draining server after it had to be known.
pub fn count_late_requests(row: &ClockRow) -> usize {
    let servers = [0, 1].map(|_| Server::start(|_, _| Some(ok_response(""))));
    let entries =
        |second| vec![entry(servers[0].at, "a", State::Ready), entry(servers[1].at, "b", second)];
    let discovery = FaultyDiscovery::start(row.trouble, entries(State::Ready));
    let moved = FaultyDiscovery::start(Trouble::None, entries(State::Draining));
    let mut config = config(discovery.peer.at, entries(State::Ready));
    if row.trouble == Trouble::AgentOutage {
        config["settings"]["registry-mode"] = json!("automatic");
    }
    let mut sidecar = Sidecar::start(PROGRAM, config.clone());
    let mut asked = 0;
    let mut send_one = || {
        asked += 1;
        let got = sidecar.send_request(&request("safe", &asked.to_string())).unwrap();
        assert_eq!(got.status(), 200);
    };
    wait_until("both serve", || {
        send_one();
        servers.iter().all(|server| !server.requests().is_empty())
    });
    wait_until("discovery is called", || !discovery.open.lock().unwrap().is_empty());
    // A watch is open by now.
    thread::sleep(Duration::from_millis(200));
    discovery.broken.store(true, Ordering::SeqCst);
    discovery.set(entries(State::Draining));
    match row.trouble {
        Trouble::Reset => {
            discovery.open.lock().unwrap().drain(..).for_each(reset_connection);
        }
        Trouble::Sighup => {
            let mut new = sidecar.config.clone();
            new["discovery"] = json!(moved.peer.at.to_string());
            sidecar.reload(&new.to_string());
        }
        // As long as its calls fail it can know nothing; then it has four spans.
        Trouble::Fails | Trouble::AgentOutage => {
            thread::sleep(Duration::from_millis(1_500));
            discovery.broken.store(false, Ordering::SeqCst);
        }
        Trouble::None | Trouble::Silent => {}
    }
    thread::sleep(Duration::from_millis(row.told_ms) + DRAIN_GRACE);
    let before = servers[1].requests().len();
    for number in 0..60 {
        let got = sidecar.send_request(&request("safe", &format!("late-{number}"))).unwrap();
        assert_eq!(got.status(), 200);
    }
    servers[1].requests().len() - before
}

/// Sends a request round SIGTERM and looks at its answer.
pub fn ending(row: &EndingRow) -> Result<(), String> {
    let (serves, seen) = (row.served_ms, Arc::new(AtomicUsize::new(0)));
    let count = seen.clone();
    let server = Peer::start(move |mut stream| {
        while Message::read(&mut stream).is_some() {
            count.fetch_add(1, Ordering::SeqCst);
            let Some(ms) = serves else { continue };
            thread::sleep(Duration::from_millis(ms));
            if stream.write_all(&ok_response("served")).is_err() {
                return;
            }
        }
    });
    let servers = vec![entry(server.at, "a", State::Ready)];
    let discovery = Discovery::start(1, servers.clone());
    let mut config = config(discovery.at, servers);
    set_deadlines(&mut config, Duration::from_millis(1_500));
    let sidecar = Sidecar::start(PROGRAM, config);
    let send_after = |delay: i64| {
        thread::sleep(Duration::from_millis(delay.max(0) as u64));
        let mut stream = connect(sidecar.at).unwrap();
        stream.write_all(&request_with_timeout(&row.class, "a", 60_000)).unwrap();
        stream
    };
    let (mut stream, signalled_at) = if row.sent_ms < 0 {
        let stream = send_after(0);
        wait_until("it is at the server", || seen.load(Ordering::SeqCst) == 1);
        let signalled_at = Instant::now();
        sidecar.signal("TERM");
        (stream, signalled_at)
    } else {
        let signalled_at = Instant::now();
        sidecar.signal("TERM");
        (send_after(row.sent_ms), signalled_at)
    };
    let got = Message::read(&mut stream).ok_or("no answer")?;
    let took = signalled_at.elapsed();
    let tried = seen.load(Ordering::SeqCst) > 0;
    let last = got.header("connection") == Some("close");
    let rest = read_to_close(&mut stream);
    let what = format!("{took:?} after SIGTERM, tried {tried}: {}", got.head);
    let holds = got.status() == row.status
        && took < Duration::from_millis(row.by_ms) + BUSY
        && tried != row.untried
        && last
        && rest.is_empty();
    if holds {
        Ok(())
    } else {
        Err(what)
    }
}
