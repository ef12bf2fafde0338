//! Handshakes: which are accepted, rejected and retried.

use crate::echo_server::EchoServer;
use crate::fixture::{default_setup, open, open_with, send_and_receive, Setup, Socket, PROGRAM};
use crate::raw_client::{accept_of, handshake, ACCEPTED};
use mintshelf_test_support::{get, read_to_close, Daemon, Message, Peer};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tungstenite::Message as WsMessage;

#[test]
fn handshakes_must_meet_the_terms_of_their_route_and_are_rejected_in_plain_http() {
    let server = EchoServer::start("a");
    let websocket = "{ origins = [\"https://lab.example\"], subprotocols = [\"v2\"] }";
    let setup = Setup { websocket, ..default_setup() };
    let _daemon = setup.start(&[&server]);
    let status = |headers: &[(&str, &str)]| handshake(setup.address, headers, b"").0.status();
    assert_eq!(status(&[("Origin", "https://evil.example")]), 403);
    assert_eq!(status(&[("Sec-WebSocket-Key", "short")]), 400);
    let (old, _) = handshake(setup.address, &[("Sec-WebSocket-Version", "8")], b"");
    assert_eq!(old.status(), 426);
    assert_eq!(old.header("sec-websocket-version"), Some("13"));
    assert_eq!(server.opened.load(Ordering::SeqCst), 0, "no request was forwarded");
    let offer = [
        ("Origin", "https://lab.example"),
        ("Sec-WebSocket-Protocol", "v1, v2"),
        ("Sec-WebSocket-Extensions", "permessage-deflate"),
    ];
    let (good, _stream) = handshake(setup.address, &offer, b"");
    assert_eq!(good.status(), 101);
    assert_eq!(good.header("sec-websocket-accept"), Some("s3pPLMBiTxaQ9kYGzzhZRbK+xOo="));
    assert_eq!(good.header("sec-websocket-protocol"), Some("v2"), "the one that is allowed");
    assert_eq!(good.header("sec-websocket-extensions"), None);
    // Without an upgrade it is an ordinary request.
    let plain = handshake(setup.address, &[("Connection", "close")], b"");
    assert_ne!(plain.0.status(), 101);
}

#[test]
fn bytes_sent_right_after_a_handshake_are_not_lost() {
    let server = EchoServer::start("a");
    let first = default_setup();
    let _daemon = first.start(&[&server]);
    // "hi", masked with zeros.
    let early = [0x81, 0x82, 0, 0, 0, 0, b'h', b'i'];
    let (response, mut stream) = handshake(first.address, &[], &early);
    assert_eq!(response.status(), 101);
    let mut frame = [0; 7];
    std::io::Read::read_exact(&mut stream, &mut frame).unwrap();
    assert_eq!(&frame, &[0x81, 5, b'a', b':', b' ', b'h', b'i']);
    // The same for what a server writes together with its 101.
    let server = Peer::start(|mut stream| {
        let request = Message::read(&mut stream).unwrap();
        let head = format!("{ACCEPTED}Sec-WebSocket-Accept: {}\r\n\r\n", accept_of(&request));
        stream.write_all(&[head.as_bytes(), &[0x81, 2, b'y', b'o']].concat()).unwrap();
        while Message::read(&mut stream).is_some() {}
    });
    let setup = default_setup();
    let _daemon = Daemon::start(PROGRAM, setup.address, &setup.text(&[server.address]), &[]);
    let mut socket = open(setup.address);
    assert_eq!(socket.read().unwrap(), WsMessage::text("yo"));
}

// Guards against the rest of a handshake's body being relayed to the server as frames: its server
// responds with a 101 at once.
#[test]
fn a_handshake_whose_body_has_not_arrived_is_rejected() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let counted = request_count.clone();
    let server = Peer::start(move |mut stream| {
        let Some(request) = Message::read_head(&mut stream) else { return };
        counted.fetch_add(1, Ordering::SeqCst);
        let accept = accept_of(&request);
        let _ = write!(stream, "{ACCEPTED}Sec-WebSocket-Accept: {accept}\r\n\r\n");
        while stream.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
    });
    let setup = default_setup();
    let _daemon = Daemon::start(PROGRAM, setup.address, &setup.text(&[server.address]), &[]);
    let started = b"x".repeat(80_000);
    for (framing, body) in [
        (("Content-Length", "100000"), &started[..]),
        (("Transfer-Encoding", "chunked"), b"1\r\nx\r\n"),
    ] {
        let (response, mut stream) = handshake(setup.address, &[framing], body);
        let answer = (response.status(), response.header("connection"));
        assert_eq!(answer, (400, Some("close")), "{framing:?}");
        assert!(read_to_close(&mut stream).is_empty());
    }
    assert_eq!(request_count.load(Ordering::SeqCst), 0, "no request was forwarded");
}

#[test]
fn invalid_handshake_responses_open_no_socket() {
    let request_count = Arc::new(AtomicUsize::new(0));
    let scripted_server = |head: fn(&Message) -> String| {
        let request_count = request_count.clone();
        Peer::start(move |mut stream| {
            let Some(request) = Message::read(&mut stream) else { return };
            request_count.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(head(&request).as_bytes());
            while Message::read(&mut stream).is_some() {}
        })
    };
    let wrong_accept =
        scripted_server(|_| format!("{ACCEPTED}Sec-WebSocket-Accept: wrong\r\n\r\n"));
    let unrequested_protocol = scripted_server(|request| {
        let accept = accept_of(request);
        format!("{ACCEPTED}Sec-WebSocket-Protocol: chat\r\nSec-WebSocket-Accept: {accept}\r\n\r\n")
    });
    let declining = scripted_server(|_| "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".into());
    let second_wrong_accept =
        scripted_server(|_| format!("{ACCEPTED}Sec-WebSocket-Accept: wrong\r\n\r\n"));
    let second_declining =
        scripted_server(|_| "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno".into());
    for (server, other, status) in [
        (&wrong_accept, &second_wrong_accept, 502),
        (&unrequested_protocol, &second_wrong_accept, 502),
        (&declining, &second_declining, 200),
    ] {
        let setup = default_setup();
        // Another server is there, whose response would be as wrong.
        let _daemon = Daemon::start(
            PROGRAM,
            setup.address,
            &setup.text(&[server.address, other.address]),
            &[],
        );
        let before = request_count.load(Ordering::SeqCst);
        assert_eq!(open_with(setup.address, &[]).err(), Some(status));
        assert_eq!(request_count.load(Ordering::SeqCst), before + 1, "no other server after a 101");
    }
    // 101 to an ordinary request: nothing of it may reach the client.
    let switching =
        scripted_server(|_| format!("{ACCEPTED}\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let setup = default_setup();
    let daemon = Daemon::start(PROGRAM, setup.address, &setup.text(&[switching.address]), &[]);
    assert!((500..=504).contains(&daemon.send_request(&get("/plain")).unwrap().status()));
}

#[test]
fn a_handshake_is_retried_at_another_server_until_a_101_arrives() {
    let (dead, good) = (EchoServer::start("dead"), EchoServer::start("good"));
    dead.dead.store(true, Ordering::SeqCst);
    let setup = default_setup();
    let _daemon = setup.start(&[&dead, &good]);
    let mut sockets: Vec<Socket> = (0..8).map(|_| open(setup.address)).collect();
    assert!(sockets.iter_mut().all(|socket| send_and_receive(socket, "x") == "good: x"));
}
