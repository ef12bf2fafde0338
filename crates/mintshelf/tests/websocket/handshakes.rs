//! Handshakes: which are accepted, rejected and retried.

use crate::fixture::{open, open_with, send_and_receive, setup, Setup, Socket, PROGRAM};
use crate::node::Node;
use crate::raw_client::{accept_of, handshake, ACCEPTED};
use mintshelf_test_support::{get, Daemon, Message, Peer};
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tungstenite::Message as WsMessage;

#[test]
fn handshakes_must_meet_the_terms_of_their_route_and_are_rejected_in_plain_http() {
    let node = Node::start("a");
    let websocket = "{ origins = [\"https://lab.example\"], subprotocols = [\"v2\"] }";
    let setup = Setup { websocket, ..setup() };
    let _daemon = setup.start(&[&node]);
    let status = |headers: &[(&str, &str)]| handshake(setup.at, headers, b"").0.status();
    assert_eq!(status(&[("Origin", "https://evil.example")]), 403);
    assert_eq!(status(&[("Sec-WebSocket-Key", "short")]), 400);
    let (old, _) = handshake(setup.at, &[("Sec-WebSocket-Version", "8")], b"");
    assert_eq!(old.status(), 426);
    assert_eq!(old.header("sec-websocket-version"), Some("13"));
    assert_eq!(node.opened.load(Ordering::SeqCst), 0, "no server was asked");
    let offer = [
        ("Origin", "https://lab.example"),
        ("Sec-WebSocket-Protocol", "v1, v2"),
        ("Sec-WebSocket-Extensions", "permessage-deflate"),
    ];
    let (good, _stream) = handshake(setup.at, &offer, b"");
    assert_eq!(good.status(), 101);
    assert_eq!(good.header("sec-websocket-accept"), Some("s3pPLMBiTxaQ9kYGzzhZRbK+xOo="));
    assert_eq!(good.header("sec-websocket-protocol"), Some("v2"), "the one that is let through");
    assert_eq!(good.header("sec-websocket-extensions"), None);
    // A request that asks for no upgrade is one like any other.
    let plain = handshake(setup.at, &[("Connection", "close")], b"");
    assert_ne!(plain.0.status(), 101);
}

#[test]
fn bytes_sent_right_after_a_handshake_are_not_lost() {
    let node = Node::start("a");
    let first = setup();
    let _daemon = first.start(&[&node]);
    // "hi", masked with zeros.
    let early = [0x81, 0x82, 0, 0, 0, 0, b'h', b'i'];
    let (answer, mut stream) = handshake(first.at, &[], &early);
    assert_eq!(answer.status(), 101);
    let mut said = [0; 7];
    std::io::Read::read_exact(&mut stream, &mut said).unwrap();
    assert_eq!(&said, &[0x81, 5, b'a', b':', b' ', b'h', b'i']);
    // And what a server says in one go with its 101.
    let node = Peer::start(|mut stream| {
        let request = Message::read(&mut stream).unwrap();
        let head = format!("{ACCEPTED}Sec-WebSocket-Accept: {}\r\n\r\n", accept_of(&request));
        stream.write_all(&[head.as_bytes(), &[0x81, 2, b'y', b'o']].concat()).unwrap();
        while Message::read(&mut stream).is_some() {}
    });
    let setup = setup();
    let _daemon = Daemon::start(PROGRAM, setup.at, &setup.text(&[node.at]), &[]);
    let mut socket = open(setup.at);
    assert_eq!(socket.read().unwrap(), WsMessage::text("yo"));
}

#[test]
fn invalid_handshake_responses_open_no_socket() {
    let asked = Arc::new(AtomicUsize::new(0));
    let bad = |head: fn(&Message) -> String| {
        let asked = asked.clone();
        Peer::start(move |mut stream| {
            let Some(request) = Message::read(&mut stream) else { return };
            asked.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(head(&request).as_bytes());
            while Message::read(&mut stream).is_some() {}
        })
    };
    let wrong_accept = bad(|_| format!("{ACCEPTED}Sec-WebSocket-Accept: wrong\r\n\r\n"));
    let uninvited = bad(|request| {
        let accept = accept_of(request);
        format!("{ACCEPTED}Sec-WebSocket-Protocol: chat\r\nSec-WebSocket-Accept: {accept}\r\n\r\n")
    });
    let declines = bad(|_| "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".into());
    let again = bad(|_| format!("{ACCEPTED}Sec-WebSocket-Accept: wrong\r\n\r\n"));
    let no = bad(|_| "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".into());
    for (node, other, status) in
        [(&wrong_accept, &again, 502), (&uninvited, &again, 502), (&declines, &no, 200)]
    {
        let one = setup();
        // There is somebody else to ask, who would answer as wrongly.
        let _daemon = Daemon::start(PROGRAM, one.at, &one.text(&[node.at, other.at]), &[]);
        let before = asked.load(Ordering::SeqCst);
        assert_eq!(open_with(one.at, &[]).err(), Some(status));
        assert_eq!(asked.load(Ordering::SeqCst), before + 1, "once a 101 has come, nobody else");
    }
    // 101 to a plain request: nothing of it may reach the client.
    let eager = bad(|_| format!("{ACCEPTED}\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let setup = setup();
    let daemon = Daemon::start(PROGRAM, setup.at, &setup.text(&[eager.at]), &[]);
    assert!((500..=504).contains(&daemon.send_request(&get("/plain")).unwrap().status()));
}

#[test]
fn a_handshake_is_retried_at_another_server_until_a_101_arrives() {
    let (dead, good) = (Node::start("dead"), Node::start("good"));
    dead.dead.store(true, Ordering::SeqCst);
    let setup = setup();
    let _daemon = setup.start(&[&dead, &good]);
    let mut all: Vec<Socket> = (0..8).map(|_| open(setup.at)).collect();
    assert!(all.iter_mut().all(|socket| send_and_receive(socket, "x") == "good: x"));
}
