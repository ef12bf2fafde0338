//! Effects at failing servers: nothing runs twice that must not.

use crate::fixture::daemon;
use mintshelf_test_support::{ok_response, read_to_close, send_request, Message, Peer};
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

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
fn send_all(address: SocketAddr, count: usize, with_keys: bool) -> HashMap<String, u16> {
    const CLIENTS: usize = 24;
    let client = move |first: usize| {
        let one = |n: usize| {
            let key = if with_keys { format!("Idempotency-Key: k{n}\r\n") } else { String::new() };
            let request = format!(
                "POST /devices/7/flash HTTP/1.1\r\nHost: h\r\nX-Id: {n}\r\n{key}Content-Length: 4\r\n\r\nbody"
            );
            let response =
                send_request(address, request.as_bytes()).unwrap_or_else(|| panic!("{n} was lost"));
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
    let addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
    let class = "effect = \"unsafe\"\naim = \"1s\"\ndeadline = \"2s\"";
    let (daemon, _) = daemon(&addresses, class, "max-attempts = 6\nreturn-ramp = \"0s\"");
    let statuses = send_all(daemon.address, COUNT, false);
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
    let addresses: Vec<_> = peers.iter().map(|peer| peer.address).collect();
    let class = "effect = \"keyed\"\nwindow = \"6s\"\naim = \"500ms\"\ndeadline = \"3s\"\n\
                 per-try-timeout = \"700ms\"\nbackoff = { first = \"20ms\", most = \"80ms\" }";
    let (daemon, _) = daemon(&addresses, class, "return-ramp = \"0s\"");
    let statuses = send_all(daemon.address, COUNT, true);
    assert_eq!(statuses.len(), COUNT);
    let effects = effects.lock().unwrap();
    let retried = effects.values().filter(|ran| ran.len() > 1).count();
    assert!(retried > 100, "{retried} were retried");
    for (id, ran) in effects.iter() {
        let late = ran.iter().any(|time| *time - ran[0] >= Duration::from_secs(6));
        assert!(ran.len() <= 3 && !late, "{id}: {ran:?}");
    }
    let served = statuses.values().filter(|status| **status == 200).count();
    assert!(served * 100 > COUNT * 80, "{served} of {COUNT}");
}
