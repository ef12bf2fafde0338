//! The remaining time that is stated to a server when a body is read late, or waits for memory.

use crate::fixture::{while_stopped, PROGRAM};
use mintshelf_test_support::{
    config, connect, ok_response, start_with_server, wait_until, Discovery, Latch, Message, Server,
    Sidecar,
};
use serde_json::json;
use std::io::Write;
use std::thread;
use std::time::Duration;

const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the body waits.
const BODY_DELAY: Duration = Duration::from_millis(700);
/// How much more than the time left may be stated, by the platform's rule.
const SLACK: Duration = Duration::from_millis(150);
/// Size of a body that uses up a small budget.
const BODY_BUDGET: usize = 64 << 10;

fn post_head(id: &str, body_length: usize) -> Vec<u8> {
    format!(
        "POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: unsafe\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {}\r\nContent-Length: {body_length}\r\n\r\n",
        CLIENT_TIMEOUT.as_millis()
    )
    .into_bytes()
}

/// The remaining time of a request as it was stated to the server.
fn stated_time(server: &Server, id: &str) -> Duration {
    let requests = server.requests();
    let request = requests.iter().find(|request| request.header("x-txn") == Some(id)).unwrap();
    Duration::from_millis(request.header("x-remaining-ms").unwrap().parse().unwrap())
}

#[test]
fn the_remaining_time_is_reduced_by_the_delay_of_a_late_body() {
    let (server, _discovery, sidecar) =
        start_with_server(PROGRAM, |_, _| Some(ok_response("served")));
    let mut client = connect(sidecar.address).unwrap();
    client.write_all(&post_head("late", 4)).unwrap();
    // The head is read by itself.
    thread::sleep(BODY_DELAY);
    while_stopped(&sidecar, || {
        client.write_all(b"work").unwrap();
        thread::sleep(BODY_DELAY);
    });
    assert_eq!(Message::read(&mut client).unwrap().status(), 200);
    let remaining = stated_time(&server, "late");
    assert!(remaining <= CLIENT_TIMEOUT - BODY_DELAY + SLACK, "{remaining:?}");
}

#[test]
fn the_remaining_time_is_reduced_by_the_wait_for_body_memory() {
    let latch = Latch::closed();
    let server_latch = latch.clone();
    let server = Server::start(move |request, _| {
        if request.header("x-txn") == Some("first") {
            server_latch.wait();
        }
        Some(ok_response("served"))
    });
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let mut config = config(discovery.address, vec![server.entry("a")]);
    config["limits"]["memory_mb"] = json!(0);
    let sidecar = Sidecar::start(PROGRAM, config);
    let mut first = connect(sidecar.address).unwrap();
    first.write_all(&post_head("first", BODY_BUDGET)).unwrap();
    first.write_all(&vec![b'w'; BODY_BUDGET]).unwrap();
    wait_until("the first one has arrived", || server.requests().len() == 1);
    let mut second = connect(sidecar.address).unwrap();
    second.write_all(&post_head("second", 4)).unwrap();
    second.write_all(b"work").unwrap();
    thread::sleep(BODY_DELAY);
    latch.open();
    assert_eq!(Message::read(&mut second).unwrap().status(), 200);
    let remaining = stated_time(&server, "second");
    assert!(remaining <= CLIENT_TIMEOUT - BODY_DELAY + SLACK, "{remaining:?}");
}
