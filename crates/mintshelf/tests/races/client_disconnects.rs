//! Clients that leave: no attempt begins for one that has gone.

use crate::fixture::{ids, settle, slow_connects, while_stopped, Unreached, PROGRAM};
use mintshelf_test_support::{
    config, connect, ok_response, request, wait_until, Discovery, Latch, Server, Sidecar,
};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// A server that holds its answer to `held_response` until the gate is open, and gives this one then; a
/// sidecar in front.
fn start_with_held_response(held_response: Vec<u8>) -> (Latch, Server, Discovery, Sidecar) {
    let latch = Latch::closed();
    let waiting = latch.clone();
    let server = Server::start(move |request, _| {
        if request.header("x-txn") == Some("held") {
            waiting.wait();
            return Some(held_response.clone());
        }
        Some(ok_response("served"))
    });
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let sidecar = Sidecar::start(PROGRAM, config(discovery.at, vec![server.entry("a")]));
    (latch, server, discovery, sidecar)
}

fn start() -> (Latch, Server, Discovery, Sidecar) {
    start_with_held_response(ok_response("served"))
}

fn send(sidecar: &Sidecar, requests: &[Vec<u8>]) -> TcpStream {
    let mut stream = connect(sidecar.at).unwrap();
    stream.write_all(&requests.concat()).unwrap();
    stream
}

#[test]
fn a_request_behind_another_is_not_sent_once_its_client_has_gone() {
    let (latch, server, _discovery, sidecar) = start();
    let client = send(&sidecar, &[request("safe", "held"), request("safe", "behind")]);
    wait_until("the first is at the server", || ids(&server) == ["held"]);
    drop(client);
    settle(&sidecar, "after the close");
    latch.open();
    settle(&sidecar, "after the answer");
    assert_eq!(ids(&server), ["held"]);
}

#[test]
fn a_request_and_its_clients_close_at_one_moment_send_nothing() {
    let (_gate, server, _discovery, sidecar) = start();
    for round in 0..3 {
        while_stopped(&sidecar, || drop(send(&sidecar, &[request("unsafe", "gone")])));
        settle(&sidecar, &format!("round {round}"));
    }
    assert!(server.requests().is_empty(), "{:?}", ids(&server));
    // One that stays is served.
    assert_eq!(sidecar.send_request(&request("unsafe", "stays")).unwrap().status(), 200);
}

#[test]
fn a_flood_of_those_who_have_gone_costs_no_server() {
    let (_gate, server, _discovery, sidecar) = start();
    while_stopped(&sidecar, || {
        for number in 0..100 {
            let id = format!("gone-{number}");
            drop(send(&sidecar, &[request("safe", &id), request("safe", &format!("{id}-b"))]));
        }
    });
    settle(&sidecar, "after the flood");
    assert!(server.requests().is_empty(), "{:?}", ids(&server));
    assert_eq!(sidecar.send_request(&request("safe", "stays")).unwrap().status(), 200);
}

/// One request whose only server's connection comes up a second late; its client leaves
/// meanwhile, seen by the HTTP library or hidden from it by bytes behind the request.
fn leaves_during_a_late_connect(behind: &[u8]) {
    let server = Unreached::start();
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let known = vec![server.entry("a")];
    let sidecar = Sidecar::start(PROGRAM, slow_connects(discovery.at, known));
    let client = send(&sidecar, &[request("safe", "gone"), behind.to_vec()]);
    settle(&sidecar, "it connects");
    drop(client);
    settle(&sidecar, "its client has gone");
    let seen = server.accept(|_| ok_response("served"));
    // Another request finds the server up: the first one's connection has had its time.
    assert_eq!(sidecar.send_request(&request("safe", "stays")).unwrap().status(), 200);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(seen.ids(), ["stays"]);
}

#[test]
fn a_connection_that_comes_up_after_its_client_has_gone_carries_nothing() {
    leaves_during_a_late_connect(b"");
}

#[test]
fn nor_where_bytes_behind_the_request_hide_its_clients_end() {
    leaves_during_a_late_connect(b"GET /api HT");
}

#[test]
fn a_further_attempt_is_not_begun_for_a_client_that_has_gone() {
    let broken = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
    let (latch, server, _discovery, sidecar) = start_with_held_response(broken.to_vec());
    // The library does not look for an end behind bytes that it has read.
    let client = send(&sidecar, &[request("safe", "held"), request("safe", "behind")]);
    wait_until("the first attempt is there", || ids(&server) == ["held"]);
    drop(client);
    settle(&sidecar, "its client has gone");
    latch.open();
    settle(&sidecar, "the attempt has ended");
    assert_eq!(ids(&server), ["held"]);
}

#[test]
fn a_request_that_waits_for_a_server_is_dropped_with_its_client() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = Discovery::start(1, vec![]);
    let mut config = config(discovery.at, vec![]);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["goal-time"] = json!(7_000_000_000u64);
    }
    let sidecar = Sidecar::start(PROGRAM, config);
    let client = send(&sidecar, &[request("safe", "gone"), request("safe", "behind")]);
    settle(&sidecar, "it waits");
    drop(client);
    settle(&sidecar, "its client has gone");
    discovery.set(vec![server.entry("a")]);
    wait_until("the list is told", || {
        sidecar.send_request(&request("safe", "stays")).unwrap().status() == 200
    });
    settle(&sidecar, "all that waited has been looked at");
    assert!(ids(&server).iter().all(|id| id == "stays"), "{:?}", ids(&server));
}
