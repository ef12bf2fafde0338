//! Endpoints that die or freeze under load.

use crate::fixture::daemon;
use mintshelf_test_support::{connect, get, metric, ok_response, wait_until, Message, Peer};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

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

/// Starts clients that send one request after another until they are stopped; each returns the
/// statuses of its responses and the longest latency.
fn start_clients(
    address: SocketAddr,
    clients: usize,
    stopped: &Arc<AtomicBool>,
    completed: &Arc<AtomicUsize>,
) -> Vec<thread::JoinHandle<(Vec<u16>, Duration)>> {
    let client = move |stopped: Arc<AtomicBool>, completed: Arc<AtomicUsize>| {
        let (mut statuses, mut max_latency) = (Vec::new(), Duration::ZERO);
        let mut stream = connect(address).unwrap();
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
    let addresses = servers.each_ref().map(|server| server.peer.address);
    let (daemon, admin) = daemon(&addresses, "aim = \"1s\"\ndeadline = \"20s\"", "");
    let (stopped, completed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients = start_clients(daemon.address, 64, &stopped, &completed);
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
