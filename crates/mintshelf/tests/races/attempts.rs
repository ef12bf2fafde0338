//! Attempts that cross the end of a deduplication window, the close of an idle connection, or a wait
//! in the accept queue.

use crate::fixture::{ids, slow_connect_config, while_stopped, LateServer, PROGRAM};
use mintshelf_test_support::{
    config, connect, entry, ok_response, request, request_with_timeout, send_request,
    start_with_server, wait_until, Discovery, Latch, Message, Peer, Process as _, Server, Sidecar,
};
use serde_json::json;
use std::collections::HashSet;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Deduplication window: shorter than a late connection takes.
const WINDOW: Duration = Duration::from_millis(700);

#[test]
fn an_idempotent_request_is_not_retried_on_a_connection_established_after_its_window() {
    // The first server receives the request and breaks off when the latch opens.
    let latch = Latch::closed();
    let server_latch = latch.clone();
    let first = Server::start(move |_, _| {
        server_latch.wait();
        Some(b"nonsense\r\n\r\n".to_vec())
    });
    let late = LateServer::start();
    let discovery = Discovery::start(1, vec![first.entry("a")]);
    let mut config = slow_connect_config(discovery.address, vec![first.entry("a")]);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["memory-span"] = json!(WINDOW.as_nanos() as u64);
    }
    let sidecar = Sidecar::start(PROGRAM, config);
    discovery.wait_for_first_call();
    let mut client = connect(sidecar.address).unwrap();
    client.write_all(&request("keyed", "k")).unwrap();
    wait_until("the first attempt has arrived", || ids(&first) == ["k"]);
    let arrived_at = Instant::now();
    let calls = discovery.call_count();
    let mut draining = first.entry("a");
    draining["state"] = json!("DRAINING");
    discovery.set(vec![draining, late.entry("b")]);
    wait_until("the other server is notified", || discovery.call_count() > calls);
    latch.open();
    // The connection of the retry is being established, which takes a second.
    thread::sleep(Duration::from_millis(200));
    let received = late.accept_requests(|_| ok_response("served"));
    let response = Message::read(&mut client).unwrap();
    let elapsed = arrived_at.elapsed();
    thread::sleep(Duration::from_millis(1_500).saturating_sub(elapsed));
    assert_eq!(
        received.ids(),
        Vec::<String>::new(),
        "sent again after its window; {}",
        response.head
    );
    // It may have run, and its client could retry only after the window: it is not rejected.
    assert_eq!(response.status(), 502, "{}", response.head);
    assert!(elapsed < WINDOW + Duration::from_secs(2), "{elapsed:?}");
}

#[test]
fn an_idempotent_request_is_retried_within_its_window_on_a_late_connection() {
    let first = Server::start(move |_, _| Some(b"nonsense\r\n\r\n".to_vec()));
    let late = LateServer::start();
    let discovery = Discovery::start(1, vec![first.entry("a"), late.entry("b")]);
    let known = vec![first.entry("a"), late.entry("b")];
    let sidecar = Sidecar::start(PROGRAM, slow_connect_config(discovery.address, known));
    let client = thread::spawn({
        let address = sidecar.address;
        move || send_request(address, &request("keyed", "k")).unwrap()
    });
    thread::sleep(Duration::from_millis(200));
    let received = late.accept_requests(|_| ok_response("served"));
    // Whichever server was first, the late one serves it.
    assert_eq!(client.join().unwrap().status(), 200);
    assert_eq!(received.ids(), ["k"]);
}

/// A server does something with its idle connection at the moment at which the next request is
/// written to the sidecar: that request is served once, on another connection.
fn check_idle_connection_is_not_reused(server_action: impl Fn(TcpStream)) {
    let idle_connections = Arc::new(Mutex::new(Vec::new()));
    let connections = idle_connections.clone();
    let received_ids = Arc::new(Mutex::new(Vec::new()));
    let ids = received_ids.clone();
    let peer = Peer::start(move |mut stream| {
        while let Some(request) = Message::read(&mut stream) {
            ids.lock().unwrap().push(request.header("x-txn").unwrap().to_string());
            stream.write_all(&ok_response("served")).unwrap();
            connections.lock().unwrap().push(stream.try_clone().unwrap());
        }
    });
    let entries = vec![entry("a", peer.address)];
    let discovery = Discovery::start(1, entries.clone());
    let sidecar = Sidecar::start(PROGRAM, config(discovery.address, entries));
    assert_eq!(sidecar.send_request(&request("unsafe", "first")).unwrap().status(), 200);
    // The sidecar finds the next request and what the server did at once.
    let mut client = connect(sidecar.address).unwrap();
    while_stopped(&sidecar, || {
        client.write_all(&request("unsafe", "second")).unwrap();
        idle_connections.lock().unwrap().drain(..).for_each(&server_action);
    });
    let response = Message::read(&mut client).unwrap();
    let outcome = (response.status(), &response.body[..]);
    assert_eq!(outcome, (200, &b"served"[..]), "{}", response.head);
    assert_eq!(*received_ids.lock().unwrap(), ["first", "second"]);
}

#[test]
fn a_connection_that_was_closed_while_idle_carries_no_request() {
    check_idle_connection_is_not_reused(|stream| drop(stream.shutdown(Shutdown::Both)));
}

#[test]
fn a_connection_that_was_reset_while_idle_carries_no_request() {
    check_idle_connection_is_not_reused(|stream| {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream.shutdown(Shutdown::Write));
    });
}

#[test]
fn a_connection_with_an_unread_partial_line_carries_no_request() {
    check_idle_connection_is_not_reused(|mut stream| stream.write_all(b"HTTP/1.1 2").unwrap());
}

#[test]
fn a_connection_with_an_unread_second_response_carries_no_request() {
    check_idle_connection_is_not_reused(|mut stream| {
        stream.write_all(&ok_response("surplus")).unwrap();
    });
}

/// Opens all connections that the sidecar accepts. They can't be evicted: each has had a response
/// and has begun a further request.
fn use_up_connections(sidecar: &Sidecar) -> Vec<TcpStream> {
    const ACCEPT_TIMEOUT: Duration = Duration::from_millis(400);
    let mut connections = Vec::new();
    loop {
        let mut stream = connect(sidecar.address).unwrap();
        stream.set_read_timeout(Some(ACCEPT_TIMEOUT)).unwrap();
        stream.write_all(&request("safe", &format!("crowd-{}", connections.len()))).unwrap();
        let Some(response) = Message::read(&mut stream) else { return connections };
        assert_eq!(response.status(), 200, "{}", response.head);
        stream.write_all(b"GET /api HT").unwrap();
        connections.push(stream);
        assert!(connections.len() < 128, "more connections are accepted than descriptors exist");
    }
}

#[test]
fn a_request_that_waited_in_the_accept_queue_states_the_time_it_has_left() {
    const CLIENT_TIMEOUT: Duration = Duration::from_secs(6);
    const QUEUE_TIME: Duration = Duration::from_millis(800);
    // The first attempt of each request that was queued fails.
    let failed = Mutex::new(HashSet::new());
    let (server, _discovery, sidecar) = start_with_server(PROGRAM, move |request, _| {
        let id = request.header("x-txn").unwrap().to_string();
        if id.starts_with("held") && failed.lock().unwrap().insert(id) {
            return Some(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".to_vec());
        }
        Some(ok_response("served"))
    });
    let connections = use_up_connections(&sidecar);
    let connected_at = Instant::now();
    let mut queued: Vec<_> = (0..3).map(|_| connect(sidecar.address).unwrap()).collect();
    for (number, stream) in queued.iter_mut().enumerate() {
        let id = format!("held-{number}");
        let timeout_ms = CLIENT_TIMEOUT.as_millis() as u64;
        stream.write_all(&request_with_timeout("safe", &id, timeout_ms)).unwrap();
    }
    let written_at = Instant::now();
    thread::sleep(QUEUE_TIME);
    let waited = written_at.elapsed();
    drop(connections);
    for stream in &mut queued {
        assert_eq!(Message::read(stream).unwrap().status(), 200);
    }
    let elapsed = connected_at.elapsed();
    for number in 0..3 {
        let id = format!("held-{number}");
        let received = server.requests();
        let attempts: Vec<_> =
            received.iter().filter(|message| message.header("x-txn") == Some(&id)).collect();
        assert!(attempts.len() > 1, "{id} was retried");
        for attempt in attempts {
            let remaining_ms = attempt.header("x-remaining-ms").unwrap().parse().unwrap();
            let remaining = Duration::from_millis(remaining_ms);
            let max = CLIENT_TIMEOUT - waited;
            assert!(remaining <= max, "{id}: {remaining:?} stated after {waited:?}");
            // Nor much less than there is.
            let min = CLIENT_TIMEOUT - elapsed - Duration::from_secs(1);
            assert!(remaining >= min, "{id}: {remaining:?} stated, {elapsed:?} in all");
        }
    }
}

#[test]
fn an_incomplete_request_that_waited_in_the_accept_queue_is_ended_in_time() {
    /// A client that stops in the midst of a request gets an error or a close within this time.
    const END_WITHIN: Duration = Duration::from_secs(3);
    const QUEUE_TIME: Duration = Duration::from_millis(1_200);
    let (_server, _discovery, sidecar) =
        start_with_server(PROGRAM, |_, _| Some(ok_response("served")));
    let connections = use_up_connections(&sidecar);
    let mut client = connect(sidecar.address).unwrap();
    client.write_all(b"GET /api HTTP/1.1\r\nHost: a\r\nX-Tx").unwrap();
    let written_at = Instant::now();
    thread::sleep(QUEUE_TIME);
    drop(connections);
    let _ = Message::read(&mut client);
    assert!(written_at.elapsed() < END_WITHIN, "{:?}", written_at.elapsed());
}

#[test]
fn a_request_behind_400_idle_connections_is_accepted_at_once() {
    let (_server, _discovery, sidecar) =
        start_with_server(PROGRAM, |_, _| Some(ok_response("served")));
    let idle_connections: Vec<_> = (0..400).filter_map(|_| connect(sidecar.address)).collect();
    let sent_at = Instant::now();
    assert_eq!(sidecar.send_request(&request("safe", "behind")).unwrap().status(), 200);
    let elapsed = sent_at.elapsed();
    // At one eviction in 20 ms it would be 3.8 s.
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    assert!(sidecar.descriptors() <= 128, "{}", sidecar.descriptors());
    drop(idle_connections);
}
