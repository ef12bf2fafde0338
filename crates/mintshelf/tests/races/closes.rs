//! Closes of clients' connections, and the planned end.

use crate::fixture::{ids, while_stopped, PROGRAM};
use mintshelf_test_support::{
    config, connect, free_address, ok_response, read_some, request, wait_until, Discovery, Message,
    Process as _, Server, Sidecar,
};
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

fn start() -> (Server, Discovery, Sidecar) {
    let server = Server::start(|_, _| Some(ok_response("served")));
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let sidecar = Sidecar::start(PROGRAM, config(discovery.at, vec![server.entry("a")]));
    (server, discovery, sidecar)
}

fn connect_and_send(at: std::net::SocketAddr, id: &str) -> TcpStream {
    let mut stream = connect(at).unwrap();
    stream.write_all(&request("safe", id)).unwrap();
    assert_eq!(Message::read(&mut stream).unwrap().status(), 200);
    stream
}

/// Writes after the other side has ended its sending, as a client does whose request crosses
/// that end: the second write fails if the first was met by a reset.
fn is_reset_by_writes(stream: &mut TcpStream) -> bool {
    let half = request("unsafe", "crossing");
    let (one, other) = half.split_at(half.len() / 2);
    stream.write_all(one).unwrap();
    thread::sleep(Duration::from_millis(100));
    stream.write_all(other).is_err()
}

#[test]
fn a_request_that_crosses_the_close_at_the_planned_end_is_not_reset_nor_sent_on() {
    let (server, _discovery, sidecar) = start();
    let mut resting = connect_and_send(sidecar.at, "first");
    sidecar.signal("TERM");
    assert_eq!(read_some(&mut resting, &mut [0; 16]).unwrap(), 0, "closed in good order");
    assert!(!is_reset_by_writes(&mut resting));
    assert_eq!(read_some(&mut resting, &mut [0; 16]).unwrap(), 0);
    assert_eq!(ids(&server), ["first"]);
}

#[test]
fn a_request_that_comes_with_the_signal_on_a_resting_connection_is_served() {
    let (server, _discovery, sidecar) = start();
    let mut resting = connect_and_send(sidecar.at, "first");
    for (round, signal_first) in [(0, true), (1, false)] {
        let id = format!("with-{round}");
        let mut fresh = connect(sidecar.at).unwrap();
        let other = format!("fresh-{round}");
        while_stopped(&sidecar, || {
            if signal_first && round == 0 {
                sidecar.signal("TERM");
            }
            if round == 0 {
                resting.write_all(&request("unsafe", &id)).unwrap();
            }
            fresh.write_all(&request("unsafe", &other)).unwrap();
        });
        if round == 0 {
            let got = Message::read(&mut resting).unwrap();
            assert_eq!(got.status(), 200, "{}", got.head);
            assert_eq!(got.header("connection"), Some("close"), "{}", got.head);
        }
        let got = Message::read(&mut fresh).unwrap();
        assert_eq!(got.status(), 200, "{}", got.head);
    }
    assert_eq!(ids(&server).len(), 4);
}

#[test]
fn a_request_that_waits_unread_when_idle_connections_are_closed_is_served() {
    let (server, _discovery, sidecar) = start();
    let mut resting = connect_and_send(sidecar.at, "first");
    sidecar.signal("TERM");
    // Stopped over the moment in which resting connections are closed.
    thread::sleep(Duration::from_millis(300));
    while_stopped(&sidecar, || {
        thread::sleep(Duration::from_millis(400));
        resting.write_all(&request("unsafe", "unread")).unwrap();
    });
    assert_eq!(Message::read(&mut resting).unwrap().status(), 200);
    assert_eq!(ids(&server), ["first", "unread"]);
}

#[test]
fn a_connection_that_makes_room_ends_in_good_order() {
    let (server, _discovery, sidecar) = start();
    let mut resting = connect_and_send(sidecar.at, "first");
    // More than it has places for: idle ones have to go.
    let connections: Vec<_> = (0..200).filter_map(|_| connect(sidecar.at)).collect();
    assert_eq!(read_some(&mut resting, &mut [0; 16]).unwrap(), 0, "closed in good order");
    drop(connections);
    assert_eq!(sidecar.send_request(&request("safe", "after")).unwrap().status(), 200);
    assert_eq!(ids(&server), ["first", "after"]);
}

#[test]
fn idle_clients_do_not_shut_out_discovery() {
    let server = Server::start(|_, _| Some(ok_response("served")));
    // Discovery is down while clients take every place that there is.
    let at = free_address();
    let sidecar = Sidecar::start(PROGRAM, config(at, vec![]));
    let mut connections: Vec<_> = (0..300).filter_map(|_| connect(sidecar.at)).collect();
    for stream in &mut connections {
        // Some have said the half of something.
        let _ = stream.write_all(b"GET /api HTTP/1.1\r\n");
    }
    thread::sleep(Duration::from_millis(300));
    assert!(sidecar.descriptors() <= 128, "{}", sidecar.descriptors());
    let discovery = Discovery::start_at(at, 2, vec![server.entry("a")]);
    wait_until("discovery is asked", || *discovery.calls.lock().unwrap() > 0);
    let got = sidecar.send_request(&request("safe", "served")).unwrap();
    assert_eq!(got.status(), 200, "{}", got.head);
    drop(connections);
}
