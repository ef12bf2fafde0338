//! Attempts under their own timeouts, hedges, the retry budget, and effects counted at the servers.

use mintshelf_test_support::{
    connect, free_address, full_listener, get, metric, ok_response, read_to_close, send_request,
    wait_until, Daemon, Message, Peer, Server,
};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A server that can be frozen (it reads and does not respond) or dead (it closes connections).
struct FaultyServer {
    peer: Peer,
    frozen: Arc<AtomicBool>,
    dead: Arc<AtomicBool>,
}

impl FaultyServer {
    fn start() -> Self {
        let (frozen, dead) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (is_frozen, is_dead) = (frozen.clone(), dead.clone());
        let peer = Peer::start(move |mut stream| {
            while Message::read(&mut stream).is_some() {
                while is_frozen.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(5));
                }
                if is_dead.load(Ordering::SeqCst) || stream.write_all(&ok_response("good")).is_err()
                {
                    return;
                }
            }
        });
        FaultyServer { peer, frozen, dead }
    }
}

fn endpoints(servers: &[SocketAddr]) -> String {
    let addresses: Vec<String> = servers.iter().map(|at| format!("\"{at}\"")).collect();
    format!("endpoints = [{}]", addresses.join(", "))
}

/// A file with a class, a cluster of these servers, and a route of the class to the cluster.
fn file(
    at: SocketAddr,
    admin: SocketAddr,
    servers: &[SocketAddr],
    class: &str,
    cluster: &str,
) -> String {
    format!(
        "listen = \"{at}\"\n[limits]\nsockets = 512\n[admin]\naddress = \"{admin}\"\n\
         [classes.c]\n{class}\n[clusters.c]\n{}\n{cluster}\n\
         [[routes]]\nclass = \"c\"\ncluster = \"c\"\n",
        endpoints(servers)
    )
}

fn daemon(servers: &[SocketAddr], class: &str, cluster: &str) -> (Daemon, SocketAddr) {
    let (at, admin) = (free_address(), free_address());
    (Daemon::start(PROGRAM, at, &file(at, admin, servers, class, cluster), &[]), admin)
}

/// Starts clients that send one request after another until they are stopped; each returns the
/// statuses of its responses and the longest latency.
fn start_clients(
    at: SocketAddr,
    clients: usize,
    stopped: &Arc<AtomicBool>,
    completed: &Arc<AtomicUsize>,
) -> Vec<thread::JoinHandle<(Vec<u16>, Duration)>> {
    let client = move |stopped: Arc<AtomicBool>, completed: Arc<AtomicUsize>| {
        let (mut statuses, mut max_latency) = (Vec::new(), Duration::ZERO);
        let mut stream = connect(at).unwrap();
        while !stopped.load(Ordering::SeqCst) {
            let sent_at = Instant::now();
            stream.write_all(&get("/devices/7")).unwrap();
            statuses.push(Message::read(&mut stream).expect("a response").status());
            max_latency = max_latency.max(sent_at.elapsed());
            completed.fetch_add(1, Ordering::SeqCst);
        }
        (statuses, max_latency)
    };
    let start = |_| {
        let (stopped, completed) = (stopped.clone(), completed.clone());
        thread::spawn(move || client(stopped, completed))
    };
    (0..clients).map(start).collect()
}

#[test]
fn a_dead_and_a_frozen_endpoint_cost_no_request_its_response() {
    let servers = [FaultyServer::start(), FaultyServer::start(), FaultyServer::start()];
    let at = servers.each_ref().map(|server| server.peer.at);
    let (daemon, admin) = daemon(&at, "aim = \"1s\"\ndeadline = \"20s\"", "");
    let (stopped, completed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients = start_clients(daemon.at, 64, &stopped, &completed);
    let wait_for_more = |what: &str, count: usize| {
        let from = completed.load(Ordering::SeqCst);
        wait_until(what, || completed.load(Ordering::SeqCst) >= from + count);
    };
    wait_for_more("it is served", 3_000);
    servers[0].dead.store(true, Ordering::SeqCst);
    wait_for_more("it is served without the first", 3_000);
    // It stays frozen to the end: a request that waited for it would reach its deadline.
    servers[1].frozen.store(true, Ordering::SeqCst);
    wait_for_more("it is served by the last", 6_000);
    stopped.store(true, Ordering::SeqCst);
    let results: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    servers[1].frozen.store(false, Ordering::SeqCst);
    let failures: Vec<u16> = results
        .iter()
        .flat_map(|(statuses, _)| statuses)
        .filter(|status| **status != 200)
        .copied()
        .collect();
    let max_latency = results.iter().map(|(_, latency)| *latency).max().unwrap();
    assert!(
        failures.is_empty() && max_latency < Duration::from_secs(19),
        "{failures:?} {max_latency:?}"
    );
    assert!(metric(admin, "mintshelf_tries_cut_total") >= 1.0);
}

/// When servers executed each request, by its id: time since the start of the test.
type Effects = Arc<Mutex<HashMap<String, Vec<Duration>>>>;

/// A server that fails in every way in turn, and records each effect.
fn failing_server(effects: &Effects, started_at: Instant, number: usize) -> Peer {
    let (effects, count) = (effects.clone(), AtomicUsize::new(number * 7));
    Peer::start(move |mut stream| loop {
        let turn = count.fetch_add(1, Ordering::SeqCst);
        if turn % 17 == 3 {
            // Closed before anything is read: what was written may not have been.
            return;
        }
        let Some(request) = Message::read(&mut stream) else { return };
        let id = request.header("x-id").unwrap_or("").to_string();
        effects.lock().unwrap().entry(id).or_default().push(started_at.elapsed());
        let written = match turn % 400 {
            n if n % 23 == 5 => return,
            n if n % 29 == 7 => {
                // Half of a response.
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
                return;
            }
            n if n % 31 == 11 => {
                let _ = stream.write_all(b"HTTP/1.1 200 O");
                return;
            }
            n if n % 37 == 13 => stream.write_all(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"),
            111 => {
                // Silent until the other side gives up.
                let _ = read_to_close(&mut stream);
                return;
            }
            _ => stream.write_all(&ok_response("done")),
        };
        if written.is_err() {
            return;
        }
    })
}

/// Sends `count` requests from many clients; the status of each by its id.
fn send_all(at: SocketAddr, count: usize, with_keys: bool) -> HashMap<String, u16> {
    const CLIENTS: usize = 24;
    let client = move |first: usize| {
        let one = |n: usize| {
            let key = if with_keys { format!("Idempotency-Key: k{n}\r\n") } else { String::new() };
            let request = format!(
                "POST /devices/7/flash HTTP/1.1\r\nHost: h\r\nX-Id: {n}\r\n{key}Content-Length: 4\r\n\r\nbody"
            );
            let response =
                send_request(at, request.as_bytes()).unwrap_or_else(|| panic!("{n} was lost"));
            (n.to_string(), response.status())
        };
        (first..count).step_by(CLIENTS).map(one).collect::<Vec<_>>()
    };
    let clients: Vec<_> = (0..CLIENTS).map(|first| thread::spawn(move || client(first))).collect();
    clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
}

#[test]
fn ten_thousand_unsafe_requests_run_at_most_once_and_all_are_answered() {
    const COUNT: usize = 10_000;
    let effects = Effects::default();
    let peers: Vec<_> = (0..3).map(|n| failing_server(&effects, Instant::now(), n)).collect();
    let at: Vec<_> = peers.iter().map(|peer| peer.at).collect();
    let class = "effect = \"unsafe\"\naim = \"1s\"\ndeadline = \"2s\"";
    let (daemon, _) = daemon(&at, class, "max-attempts = 6\nreturn-ramp = \"0s\"");
    let statuses = send_all(daemon.at, COUNT, false);
    assert_eq!(statuses.len(), COUNT, "each has one response");
    let effects = effects.lock().unwrap();
    let repeated: Vec<_> = effects.iter().filter(|(_, ran)| ran.len() > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    for (id, status) in &statuses {
        // A rejection says that the request has not run, and it has not.
        assert!(*status != 503 || !effects.contains_key(id), "{id} ran, and is rejected");
        assert!(*status != 200 || effects.contains_key(id), "{id} did not run, and is served");
    }
    let count_of = |expected: u16| statuses.values().filter(|status| **status == expected).count();
    let (served, failed) = (count_of(200), count_of(502));
    assert!(served > COUNT / 2 && failed > 100 && count_of(500) > 50, "{served} {failed}");
}

#[test]
fn no_idempotent_request_reaches_a_server_after_its_deduplication_window() {
    const COUNT: usize = 3_000;
    let (effects, started_at) = (Effects::default(), Instant::now());
    let peers: Vec<_> = (0..3).map(|n| failing_server(&effects, started_at, n)).collect();
    let at: Vec<_> = peers.iter().map(|peer| peer.at).collect();
    let class = "effect = \"keyed\"\nwindow = \"6s\"\naim = \"500ms\"\ndeadline = \"3s\"\n\
                 per-try-timeout = \"700ms\"\nbackoff = { first = \"20ms\", most = \"80ms\" }";
    let (daemon, _) = daemon(&at, class, "return-ramp = \"0s\"");
    let statuses = send_all(daemon.at, COUNT, true);
    assert_eq!(statuses.len(), COUNT);
    let effects = effects.lock().unwrap();
    let retried = effects.values().filter(|ran| ran.len() > 1).count();
    assert!(retried > 100, "{retried} were retried");
    for (id, ran) in effects.iter() {
        let late = ran.iter().any(|at| *at - ran[0] >= Duration::from_secs(6));
        assert!(ran.len() <= 3 && !late, "{id}: {ran:?}");
    }
    let served = statuses.values().filter(|status| **status == 200).count();
    assert!(served * 100 > COUNT * 80, "{served} of {COUNT}");
}

#[test]
fn the_retry_budget_bounds_what_failing_servers_get_and_refills() {
    let down = Arc::new(AtomicBool::new(true));
    let servers: Vec<_> = (0..3)
        .map(|_| {
            let down = down.clone();
            Server::start(move |_, _| {
                let bad = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".to_vec();
                Some(if down.load(Ordering::SeqCst) { bad } else { ok_response("good") })
            })
        })
        .collect();
    let at: Vec<_> = servers.iter().map(|server| server.at).collect();
    let budget =
        "retry-budget = { ratio = 0.1, burst = 20 }\nmax-attempts = 6\nreturn-ramp = \"0s\"";
    let (daemon, _) = daemon(&at, "aim = \"5s\"\ndeadline = \"20s\"", budget);
    let attempts = || servers.iter().map(|server| server.requests().len()).sum::<usize>();
    for _ in 0..1_000 {
        let response = daemon.send_request(&get("/")).unwrap();
        assert!(response.status() == 500 || response.status() == 503, "{}", response.head);
    }
    let count = attempts();
    assert!(count <= 1_000 + 100 + 20, "{count} attempts of 1000 requests");
    assert!(count > 1_000, "some are retried: {count}");
    // Once the servers have recovered, requests refill the budget.
    down.store(false, Ordering::SeqCst);
    wait_until("service returns", || daemon.send_request(&get("/")).unwrap().status() == 200);
    for _ in 0..300 {
        assert_eq!(daemon.send_request(&get("/")).unwrap().status(), 200);
    }
    down.store(true, Ordering::SeqCst);
    let before = attempts();
    for _ in 0..3 {
        daemon.send_request(&get("/")).unwrap();
    }
    assert!(attempts() - before > 3, "the budget was refilled");
}

#[test]
fn hedges_overtake_a_slow_endpoint_and_keep_within_their_share() {
    let slow = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let servers: Vec<_> = (0..4)
        .map(|n| {
            let (slow, count) = (slow.clone(), count.clone());
            Server::start(move |_, _| {
                count.fetch_add(1, Ordering::SeqCst);
                // One response in ten is slow, at any server but the first.
                if n > 0 && slow.load(Ordering::SeqCst) && count.load(Ordering::SeqCst) % 10 == 0 {
                    thread::sleep(Duration::from_millis(400));
                }
                Some(ok_response("good"))
            })
        })
        .collect();
    let at: Vec<_> = servers.iter().map(|server| server.at).collect();
    let class = "aim = \"2s\"\ndeadline = \"20s\"\nper-try-timeout = \"none\"\n\
                 hedge = { after = \"60ms\", share = 0.05 }";
    let (daemon, admin) = daemon(&at, class, "second-copies = true");
    slow.store(true, Ordering::SeqCst);
    const REQUESTS: usize = 600;
    for _ in 0..REQUESTS {
        assert_eq!(daemon.send_request(&get("/")).unwrap().status(), 200);
    }
    let hedges = metric(admin, "mintshelf_second_copies_total");
    assert!(hedges >= 5.0, "{hedges}");
    let bound = REQUESTS as f64 * 0.05 + 5.0;
    assert!(hedges <= bound, "{hedges}");
    // Every attempt that servers received is a first one or a hedge.
    wait_until("all attempts have arrived", || {
        count.load(Ordering::SeqCst) <= REQUESTS + hedges as usize
    });
    assert_eq!(metric(admin, "mintshelf_open_requests"), 0.0);
}

#[test]
fn a_class_with_an_idle_timeout_reuses_only_recent_connections() {
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    let node = Peer::start(move |mut stream| {
        count.fetch_add(1, Ordering::SeqCst);
        while Message::read(&mut stream).is_some() && stream.write_all(&ok_response("good")).is_ok()
        {
        }
    });
    let at = free_address();
    let text = format!(
        "listen = \"{at}\"\n[classes.flash]\neffect = \"unsafe\"\nidle-timeout = \"0s\"\n\
         [clusters.c]\n{}\n[[routes]]\ncluster = \"c\"\n\
         [[routes]]\nprefix = \"/flash\"\nclass = \"flash\"\ncluster = \"c\"\n",
        endpoints(&[node.at])
    );
    let daemon = Daemon::start(PROGRAM, at, &text, &[]);
    let assert_served =
        |path: &str| assert_eq!(daemon.send_request(&get(path)).unwrap().status(), 200);
    assert_served("/a");
    assert_served("/a");
    assert_eq!(opened.load(Ordering::SeqCst), 1, "an idle connection is reused");
    assert_served("/flash");
    assert_eq!(opened.load(Ordering::SeqCst), 2, "but not by a class that wants a new one");
    assert_served("/a");
    assert_eq!(opened.load(Ordering::SeqCst), 2);
    assert_served("/flash");
    assert_eq!(opened.load(Ordering::SeqCst), 3);
}

#[test]
fn a_class_waits_for_a_connection_no_longer_than_its_connect_timeout() {
    let (listener, _queued) = full_listener();
    let unreachable = listener.local_addr().unwrap();
    let at = free_address();
    let text = format!(
        "listen = \"{at}\"\n[classes.patient]\ndeadline = \"50s\"\nmax-attempts = 1\n\
         [classes.hasty]\ndeadline = \"50s\"\nmax-attempts = 1\nconnect-timeout = \"20ms\"\n\
         [clusters.c]\nconnect-timeout = \"5s\"\n{}\n[[routes]]\nclass = \"patient\"\ncluster = \"c\"\n\
         [[routes]]\nprefix = \"/hasty\"\nclass = \"hasty\"\ncluster = \"c\"\n",
        endpoints(&[unreachable])
    );
    let daemon = Daemon::start(PROGRAM, at, &text, &[]);
    // The request with the long timeout is sent first and answered last: this shows the order.
    let mut long_timeout = connect(at).unwrap();
    long_timeout.write_all(&get("/a")).unwrap();
    let short_timeout = daemon.send_request(&get("/hasty")).unwrap();
    assert_eq!(short_timeout.status(), 503);
    long_timeout.set_nonblocking(true).unwrap();
    let early = std::io::Read::read(&mut long_timeout, &mut [0; 1]);
    assert_eq!(early.unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
    long_timeout.set_nonblocking(false).unwrap();
    assert_eq!(Message::read(&mut long_timeout).unwrap().status(), 503);
}
