//! Clients that disconnect: no attempt begins for them afterwards.

use crate::fixture::{
    ids, slow_connect_config, wait_until_settled, while_stopped, LateServer, PROGRAM,
};
use mintshelf_test_support::{
    config, connect, ok_response, request, start_with_server, wait_until, Discovery, Latch, Server,
    Sidecar,
};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// A server that delays its response to the request `held` until the latch opens, discovery, and a
/// sidecar.
fn start_with_delayed_response(delayed_response: Vec<u8>) -> (Latch, Server, Discovery, Sidecar) {
    let latch = Latch::closed();
    let server_latch = latch.clone();
    let (server, discovery, sidecar) = start_with_server(PROGRAM, move |request, _| {
        if request.header("x-txn") == Some("held") {
            server_latch.wait();
            return Some(delayed_response.clone());
        }
        Some(ok_response("served"))
    });
    (latch, server, discovery, sidecar)
}

fn start() -> (Latch, Server, Discovery, Sidecar) {
    start_with_delayed_response(ok_response("served"))
}

fn send(sidecar: &Sidecar, requests: &[Vec<u8>]) -> TcpStream {
    let mut stream = connect(sidecar.address).unwrap();
    stream.write_all(&requests.concat()).unwrap();
    stream
}

#[test]
fn a_pipelined_request_is_not_forwarded_after_its_client_disconnected() {
    let (latch, server, _discovery, sidecar) = start();
    let client = send(&sidecar, &[request("safe", "held"), request("safe", "behind")]);
    wait_until("the first has arrived", || ids(&server) == ["held"]);
    drop(client);
    wait_until_settled(&sidecar, "after the close");
    latch.open();
    wait_until_settled(&sidecar, "after the answer");
    assert_eq!(ids(&server), ["held"]);
}

#[test]
fn a_request_read_together_with_its_clients_close_is_not_forwarded() {
    let (_latch, server, _discovery, sidecar) = start();
    for round in 0..3 {
        while_stopped(&sidecar, || drop(send(&sidecar, &[request("unsafe", "gone")])));
        wait_until_settled(&sidecar, &format!("round {round}"));
    }
    assert!(server.requests().is_empty(), "{:?}", ids(&server));
    // One that stays is served.
    assert_eq!(sidecar.send_request(&request("unsafe", "stays")).unwrap().status(), 200);
}

#[test]
fn requests_of_a_hundred_disconnected_clients_are_not_forwarded() {
    let (_latch, server, _discovery, sidecar) = start();
    while_stopped(&sidecar, || {
        for number in 0..100 {
            let id = format!("gone-{number}");
            drop(send(&sidecar, &[request("safe", &id), request("safe", &format!("{id}-b"))]));
        }
    });
    wait_until_settled(&sidecar, "after the flood");
    assert!(server.requests().is_empty(), "{:?}", ids(&server));
    assert_eq!(sidecar.send_request(&request("safe", "stays")).unwrap().status(), 200);
}

/// A client disconnects while the connection to the only server is being established; `behind` is
/// what it wrote behind the request, which hides the disconnect from the HTTP library.
fn disconnect_during_late_connect(behind: &[u8]) {
    let server = LateServer::start();
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let known = vec![server.entry("a")];
    let sidecar = Sidecar::start(PROGRAM, slow_connect_config(discovery.address, known));
    let client = send(&sidecar, &[request("safe", "gone"), behind.to_vec()]);
    wait_until_settled(&sidecar, "it connects");
    drop(client);
    wait_until_settled(&sidecar, "its client has disconnected");
    let received = server.accept_requests(|_| ok_response("served"));
    // Another request is served: the connection of the first one has been established too.
    assert_eq!(sidecar.send_request(&request("safe", "stays")).unwrap().status(), 200);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(received.ids(), ["stays"]);
}

#[test]
fn a_connection_established_after_its_client_disconnected_carries_no_request() {
    disconnect_during_late_connect(b"");
}

#[test]
fn a_disconnect_hidden_by_bytes_behind_the_request_is_noticed_while_connecting() {
    disconnect_during_late_connect(b"GET /api HT");
}

#[test]
fn a_failed_attempt_is_not_retried_after_its_client_disconnected() {
    let broken = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
    let (latch, server, _discovery, sidecar) = start_with_delayed_response(broken.to_vec());
    // The HTTP library does not notice a close behind bytes that it has read.
    let client = send(&sidecar, &[request("safe", "held"), request("safe", "behind")]);
    wait_until("the first attempt has arrived", || ids(&server) == ["held"]);
    drop(client);
    wait_until_settled(&sidecar, "its client has disconnected");
    latch.open();
    wait_until_settled(&sidecar, "the attempt has ended");
    assert_eq!(ids(&server), ["held"]);
}

#[test]
fn a_request_that_waits_for_a_server_is_dropped_when_its_client_disconnects() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = Discovery::start(1, vec![]);
    let mut config = config(discovery.address, vec![]);
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["goal-time"] = json!(7_000_000_000u64);
    }
    let sidecar = Sidecar::start(PROGRAM, config);
    let client = send(&sidecar, &[request("safe", "gone"), request("safe", "behind")]);
    wait_until_settled(&sidecar, "it waits");
    drop(client);
    wait_until_settled(&sidecar, "its client has disconnected");
    discovery.set(vec![server.entry("a")]);
    wait_until("the list is notified", || {
        sidecar.send_request(&request("safe", "stays")).unwrap().status() == 200
    });
    wait_until_settled(&sidecar, "all waiting requests have been handled");
    assert!(ids(&server).iter().all(|id| id == "stays"), "{:?}", ids(&server));
}
