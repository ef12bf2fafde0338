//! Attempts: a keyed window that ends while a connection comes up, connections that die at rest.

use crate::fixture::{ids, slow_connects, while_stopped, Unreached, PROGRAM};
use mintshelf_test_support::{
    config, connect, entry, ok_response, request, request_with_timeout, send_request, wait_until,
    Discovery, Latch, Message, Peer, Process as _, Server, Sidecar,
};
use serde_json::json;
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// How long servers remember a key here: less than a connection takes that comes up late.
const WINDOW: Duration = Duration::from_millis(700);

#[test]
fn a_keyed_request_is_not_sent_again_when_its_connection_comes_up_after_the_window() {
    // The first server takes the request and breaks off at the latch.
    let latch = Latch::closed();
    let wait = latch.clone();
    let first = Server::start(move |_, _| {
        wait.wait();
        Some(b"nonsense\r\n\r\n".to_vec())
    });
    let late = Unreached::start();
    let discovery = Discovery::start(1, vec![first.entry("a")]);
    let mut config = slow_connects(discovery.at, vec![first.entry("a")]);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["memory-span"] = json!(WINDOW.as_nanos() as u64);
    }
    let sidecar = Sidecar::start(PROGRAM, config);
    wait_until("the first watch", || *discovery.calls.lock().unwrap() > 0);
    let mut client = connect(sidecar.at).unwrap();
    client.write_all(&request("keyed", "k")).unwrap();
    wait_until("the first attempt is there", || ids(&first) == ["k"]);
    let ran = Instant::now();
    let calls = *discovery.calls.lock().unwrap();
    let mut gone = first.entry("a");
    gone["state"] = json!("DRAINING");
    discovery.set(vec![gone, late.entry("b")]);
    wait_until("the other server is told", || *discovery.calls.lock().unwrap() > calls);
    latch.open();
    // Its connection is on the way now, and comes up a second after it was begun.
    thread::sleep(Duration::from_millis(200));
    let seen = late.accept(|_| ok_response("served"));
    let got = Message::read(&mut client).unwrap();
    let took = ran.elapsed();
    thread::sleep(Duration::from_millis(1_500).saturating_sub(took));
    assert_eq!(seen.ids(), Vec::<String>::new(), "sent again after its window; {}", got.head);
    // It may have run, and its client could come again only after the window: no refusal.
    assert_eq!(got.status(), 502, "{}", got.head);
    assert!(took < WINDOW + Duration::from_secs(2), "{took:?}");
}

#[test]
fn within_its_window_a_keyed_request_goes_on_to_a_server_that_comes_up_late() {
    let first = Server::start(move |_, _| Some(b"nonsense\r\n\r\n".to_vec()));
    let late = Unreached::start();
    let discovery = Discovery::start(1, vec![first.entry("a"), late.entry("b")]);
    let known = vec![first.entry("a"), late.entry("b")];
    let sidecar = Sidecar::start(PROGRAM, slow_connects(discovery.at, known));
    let asked = thread::spawn({
        let at = sidecar.at;
        move || send_request(at, &request("keyed", "k")).unwrap()
    });
    thread::sleep(Duration::from_millis(200));
    let seen = late.accept(|_| ok_response("served"));
    // At either server first: the other's answer, or that it may not be resent, comes whole.
    assert_eq!(asked.join().unwrap().status(), 200);
    assert_eq!(seen.ids(), ["k"]);
}

/// What a server does with a connection at rest.
fn at_rest(act: impl Fn(std::net::TcpStream) + Send + Sync + 'static) {
    let held = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let noted = held.clone();
    let seen = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let ids = seen.clone();
    let peer = Peer::start(move |mut stream| {
        while let Some(request) = Message::read(&mut stream) {
            ids.lock().unwrap().push(request.header("x-txn").unwrap().to_string());
            stream.write_all(&ok_response("served")).unwrap();
            noted.lock().unwrap().push(stream.try_clone().unwrap());
        }
    });
    let entries = vec![entry("a", peer.at)];
    let discovery = Discovery::start(1, entries.clone());
    let sidecar = Sidecar::start(PROGRAM, config(discovery.at, entries));
    assert_eq!(sidecar.send_request(&request("unsafe", "first")).unwrap().status(), 200);
    // The next request and what its server does come to the sidecar at one moment.
    let mut client = connect(sidecar.at).unwrap();
    while_stopped(&sidecar, || {
        client.write_all(&request("unsafe", "second")).unwrap();
        held.lock().unwrap().drain(..).for_each(&act);
    });
    let got = Message::read(&mut client).unwrap();
    assert_eq!((got.status(), &got.body[..]), (200, &b"served"[..]), "{}", got.head);
    assert_eq!(*seen.lock().unwrap(), ["first", "second"]);
}

#[test]
fn a_connection_that_ends_at_rest_carries_no_request() {
    at_rest(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
}

#[test]
fn nor_one_that_is_reset_at_rest() {
    at_rest(|stream| {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        drop(stream.shutdown(std::net::Shutdown::Write));
    });
}

#[test]
fn nor_one_on_which_half_a_line_stands() {
    at_rest(|mut stream| stream.write_all(b"HTTP/1.1 2").unwrap());
}

#[test]
fn nor_one_on_which_a_second_answer_stands() {
    at_rest(|mut stream| stream.write_all(&ok_response("surplus")).unwrap());
}

/// Clients that take every place and can't be evicted: each has had an answer and has begun a
/// further request.
fn take_all_places(sidecar: &Sidecar) -> Vec<std::net::TcpStream> {
    const NO_PLACE: Duration = Duration::from_millis(400);
    let mut crowd = Vec::new();
    loop {
        let mut stream = connect(sidecar.at).unwrap();
        stream.set_read_timeout(Some(NO_PLACE)).unwrap();
        stream.write_all(&request("safe", &format!("crowd-{}", crowd.len()))).unwrap();
        let Some(got) = Message::read(&mut stream) else { return crowd };
        assert_eq!(got.status(), 200, "{}", got.head);
        stream.write_all(b"GET /api HT").unwrap();
        crowd.push(stream);
        assert!(crowd.len() < 128, "there are more places than descriptors");
    }
}

#[test]
fn a_request_that_waited_to_be_accepted_tells_what_is_left_of_its_time() {
    const PATIENCE: Duration = Duration::from_secs(6);
    const HELD: Duration = Duration::from_millis(800);
    // The first attempt of each held request fails.
    let failed = std::sync::Mutex::new(std::collections::HashSet::new());
    let server = Server::start(move |request, _| {
        let id = request.header("x-txn").unwrap().to_string();
        if id.starts_with("held") && failed.lock().unwrap().insert(id) {
            return Some(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n".to_vec());
        }
        Some(ok_response("served"))
    });
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let sidecar = Sidecar::start(PROGRAM, config(discovery.at, vec![server.entry("a")]));
    let crowd = take_all_places(&sidecar);
    let begun = Instant::now();
    let mut held: Vec<_> = (0..3).map(|_| connect(sidecar.at).unwrap()).collect();
    for (number, stream) in held.iter_mut().enumerate() {
        let id = format!("held-{number}");
        stream.write_all(&request_with_timeout("safe", &id, PATIENCE.as_millis() as u64)).unwrap();
    }
    let written = Instant::now();
    thread::sleep(HELD);
    let waited = written.elapsed();
    drop(crowd);
    for stream in &mut held {
        assert_eq!(Message::read(stream).unwrap().status(), 200);
    }
    let took = begun.elapsed();
    for number in 0..3 {
        let id = format!("held-{number}");
        let seen = server.requests();
        let told: Vec<_> =
            seen.iter().filter(|message| message.header("x-txn") == Some(&id)).collect();
        assert!(told.len() > 1, "{id} had a further attempt");
        for attempt in told {
            let told = attempt.header("x-remaining-ms").unwrap().parse().unwrap();
            let told = Duration::from_millis(told);
            assert!(told <= PATIENCE - waited, "{id}: {told:?} told after {waited:?}");
            // Nor much less than there is.
            let least = PATIENCE - took - Duration::from_secs(1);
            assert!(told >= least, "{id}: {told:?} told, {took:?} in all");
        }
    }
}

#[test]
fn an_incomplete_request_that_waited_to_be_accepted_is_ended_in_time() {
    /// Clients that stop in the midst of a request are owed an error or a close by then.
    const OWED: Duration = Duration::from_secs(3);
    const HELD: Duration = Duration::from_millis(1_200);
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let sidecar = Sidecar::start(PROGRAM, config(discovery.at, vec![server.entry("a")]));
    let crowd = take_all_places(&sidecar);
    let mut client = connect(sidecar.at).unwrap();
    client.write_all(b"GET /api HTTP/1.1\r\nHost: a\r\nX-Tx").unwrap();
    let written = Instant::now();
    thread::sleep(HELD);
    drop(crowd);
    let _ = Message::read(&mut client);
    assert!(written.elapsed() < OWED, "{:?}", written.elapsed());
}

#[test]
fn a_request_behind_an_idle_crowd_is_accepted_at_once() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let sidecar = Sidecar::start(PROGRAM, config(discovery.at, vec![server.entry("a")]));
    let crowd: Vec<_> = (0..400).filter_map(|_| connect(sidecar.at)).collect();
    let begun = Instant::now();
    assert_eq!(sidecar.send_request(&request("safe", "behind")).unwrap().status(), 200);
    let took = begun.elapsed();
    // At one eviction in 20 ms it would be 3.8 s.
    assert!(took < Duration::from_secs(2), "{took:?}");
    assert!(sidecar.descriptors() <= 128, "{}", sidecar.descriptors());
    drop(crowd);
}
