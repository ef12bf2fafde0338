//! What servers are told of a request's time when its body is read late, or finds no capacity.

use crate::fixture::{while_stopped, PROGRAM};
use mintshelf_test_support::{
    config, connect, ok_response, wait_until, Discovery, Latch, Message, Server, Sidecar,
};
use serde_json::json;
use std::io::Write;
use std::thread;
use std::time::Duration;

const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the body waits.
const HELD: Duration = Duration::from_millis(700);
/// How much more than is left the platform lets a server be told.
const SLACK: Duration = Duration::from_millis(150);
/// Size of a body that takes all of a small budget.
const WHOLE_BUDGET: usize = 64 << 10;

fn post_head(id: &str, body_length: usize) -> Vec<u8> {
    format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {}\r\nContent-Length: {body_length}\r\n\r\n",
        CLIENT_TIMEOUT.as_millis()
    )
    .into_bytes()
}

/// The time that a server was told is left of a request.
fn told(server: &Server, id: &str) -> Duration {
    let requests = server.requests();
    let request = requests.iter().find(|request| request.header("x-txn") == Some(id)).unwrap();
    Duration::from_millis(request.header("x-remaining-ms").unwrap().parse().unwrap())
}

#[test]
fn a_body_that_is_read_late_takes_from_the_time_that_is_told() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let sidecar = Sidecar::start(PROGRAM, config(discovery.at, vec![server.entry("a")]));
    let mut client = connect(sidecar.at).unwrap();
    client.write_all(&post_head("late", 4)).unwrap();
    // The head is read by itself.
    thread::sleep(HELD);
    while_stopped(&sidecar, || {
        client.write_all(b"work").unwrap();
        thread::sleep(HELD);
    });
    assert_eq!(Message::read(&mut client).unwrap().status(), 200);
    let told = told(&server, "late");
    assert!(told <= CLIENT_TIMEOUT - HELD + SLACK, "{told:?}");
}

#[test]
fn a_body_that_waits_for_capacity_takes_from_the_time_that_is_told() {
    let latch = Latch::closed();
    let opened = latch.clone();
    let server = Server::start(move |request, _| {
        if request.header("x-txn") == Some("first") {
            opened.wait();
        }
        Some(ok_response("served"))
    });
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let mut config = config(discovery.at, vec![server.entry("a")]);
    config["limits"]["memory_mb"] = json!(0);
    let sidecar = Sidecar::start(PROGRAM, config);
    let mut first = connect(sidecar.at).unwrap();
    first.write_all(&post_head("first", WHOLE_BUDGET)).unwrap();
    first.write_all(&vec![b'w'; WHOLE_BUDGET]).unwrap();
    wait_until("the first one is with the server", || server.requests().len() == 1);
    let mut second = connect(sidecar.at).unwrap();
    second.write_all(&post_head("second", 4)).unwrap();
    second.write_all(b"work").unwrap();
    thread::sleep(HELD);
    latch.open();
    assert_eq!(Message::read(&mut second).unwrap().status(), 200);
    let told = told(&server, "second");
    assert!(told <= CLIENT_TIMEOUT - HELD + SLACK, "{told:?}");
}
