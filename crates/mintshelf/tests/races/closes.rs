//! Closes of client connections: during a graceful shutdown, when idle, when descriptors run short.

use crate::fixture::{ids, while_stopped, PROGRAM};
use mintshelf_test_support::{
    config, connect, free_address, ok_response, read_some, request, start_with_server, wait_until,
    Discovery, Message, Process as _, Server, Sidecar,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

fn start() -> (Server, Discovery, Sidecar) {
    start_with_server(PROGRAM, |_, _| Some(ok_response("served")))
}

/// Opens a connection, and is served a request on it: it is idle then.
fn open_idle_connection(address: SocketAddr, id: &str) -> TcpStream {
    let mut stream = connect(address).unwrap();
    stream.write_all(&request("safe", id)).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    stream
}

/// Writes a request after the other side has closed its sending side, as a client does whose
/// request crosses the close: the second write fails if the first was answered by a reset.
fn is_reset_by_writes(stream: &mut TcpStream) -> bool {
    let bytes = request("unsafe", "crossing");
    let (first_half, second_half) = bytes.split_at(bytes.len() / 2);
    stream.write_all(first_half).unwrap();
    thread::sleep(Duration::from_millis(100));
    stream.write_all(second_half).is_err()
}

#[test]
fn a_request_that_crosses_a_close_at_shutdown_is_neither_reset_nor_forwarded() {
    let (server, _discovery, sidecar) = start();
    let mut idle = open_idle_connection(sidecar.address, "first");
    sidecar.signal("TERM");
    assert_eq!(read_some(&mut idle, &mut [0; 16]).unwrap(), 0, "closed in good order");
    assert!(!is_reset_by_writes(&mut idle));
    assert_eq!(read_some(&mut idle, &mut [0; 16]).unwrap(), 0);
    assert_eq!(ids(&server), ["first"]);
}

#[test]
fn requests_that_arrive_together_with_sigterm_are_served() {
    let (server, _discovery, sidecar) = start();
    let mut idle = open_idle_connection(sidecar.address, "first");
    for (round, signal_first) in [(0, true), (1, false)] {
        let id = format!("with-{round}");
        let mut fresh = connect(sidecar.address).unwrap();
        let other = format!("fresh-{round}");
        while_stopped(&sidecar, || {
            if signal_first && round == 0 {
                sidecar.signal("TERM");
            }
            if round == 0 {
                idle.write_all(&request("unsafe", &id)).unwrap();
            }
            fresh.write_all(&request("unsafe", &other)).unwrap();
        });
        if round == 0 {
            let response = Message::read(&mut idle).unwrap();
            assert_eq!(response.status(), 200, "{}", response.head);
            assert_eq!(response.header("connection"), Some("close"), "{}", response.head);
        }
        let response = Message::read(&mut fresh).unwrap();
        assert_eq!(response.status(), 200, "{}", response.head);
    }
    assert_eq!(ids(&server).len(), 4);
}

#[test]
fn a_request_unread_when_idle_connections_are_closed_is_served() {
    let (server, _discovery, sidecar) = start();
    let mut idle = open_idle_connection(sidecar.address, "first");
    sidecar.signal("TERM");
    // Stopped at the moment when idle connections would be closed.
    thread::sleep(Duration::from_millis(300));
    while_stopped(&sidecar, || {
        thread::sleep(Duration::from_millis(400));
        idle.write_all(&request("unsafe", "unread")).unwrap();
    });
    assert_eq!(Message::read(&mut idle).unwrap().status(), 200);
    assert_eq!(ids(&server), ["first", "unread"]);
}

#[test]
fn an_evicted_connection_is_closed_without_a_reset() {
    let (server, _discovery, sidecar) = start();
    let mut idle = open_idle_connection(sidecar.address, "first");
    // More than it may accept: idle ones are evicted.
    let connections: Vec<_> = (0..200).filter_map(|_| connect(sidecar.address)).collect();
    assert_eq!(read_some(&mut idle, &mut [0; 16]).unwrap(), 0, "closed in good order");
    drop(connections);
    assert_eq!(sidecar.send_request(&request("safe", "after")).unwrap().status(), 200);
    assert_eq!(ids(&server), ["first", "after"]);
}

#[test]
fn idle_clients_leave_descriptors_for_discovery() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    // Discovery is down while clients use all connections that are accepted.
    let address = free_address();
    let sidecar = Sidecar::start(PROGRAM, config(address, vec![]));
    let mut connections: Vec<_> = (0..300).filter_map(|_| connect(sidecar.address)).collect();
    for stream in &mut connections {
        // A part of a request.
        let _ = stream.write_all(b"GET /api HTTP/1.1\r\n");
    }
    thread::sleep(Duration::from_millis(300));
    assert!(sidecar.descriptors() <= 128, "{}", sidecar.descriptors());
    let discovery = Discovery::start_at(address, 2, vec![server.entry("a")]);
    wait_until("discovery is polled", || discovery.call_count() > 0);
    let response = sidecar.send_request(&request("safe", "served")).unwrap();
    assert_eq!(response.status(), 200, "{}", response.head);
    drop(connections);
}
