//! Violations of the protocol by clients and servers.

use crate::echo_server::EchoServer;
use crate::fixture::{default_setup, open, read_close, Setup, PROGRAM};
use crate::raw_client::{accept_of, close_of, handshake, masked, ACCEPTED};
use mintshelf_test_support::{read_to_close, wait_until, Daemon, Message, Peer};
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tungstenite::Message as WsMessage;

#[test]
fn a_client_that_violates_the_protocol_gets_the_close_code_and_its_server_is_closed() {
    let server = EchoServer::start("a");
    let setup = Setup { class: "longest-message = \"64KiB\"", ..default_setup() };
    let _daemon = setup.start(&[&server]);
    let huge = [&[0x82, 0xff][..], &60_000_000u64.to_be_bytes(), &[0; 4]].concat();
    let endless = [masked(0x01, b"a"), masked(0x00, b"").repeat(1100)].concat();
    for (bytes, code) in [
        (vec![0x81, 1, b'x'], 1002),
        (masked(0xf1, b"x"), 1002),
        (masked(0x83, b"x"), 1002),
        (masked(0x80, b"x"), 1002),
        (masked(0x88, &[3]), 1002),
        (masked(0x88, &[0x03, 0xee]), 1002),
        (masked(0x88, &[0x03, 0xe8, 0xff]), 1007),
        (huge, 1009),
        (endless, 1008),
    ] {
        let (response, mut stream) = handshake(setup.address, &[], b"");
        assert_eq!(response.status(), 101);
        stream.write_all(&bytes).unwrap();
        assert_eq!(close_of(&mut stream).map(|close| close.0), Some(code), "{:x?}", &bytes[..7]);
    }
    wait_until("the server's connections are closed", || server.open.load(Ordering::SeqCst) == 0);
    assert_eq!(server.opened.load(Ordering::SeqCst), 9);
}

#[test]
fn a_server_that_violates_the_protocol_is_closed_and_its_client_gets_1011() {
    let received = Arc::new(std::sync::Mutex::new(Vec::new()));
    let recorded = received.clone();
    let server = Peer::start(move |mut stream| {
        let request = Message::read(&mut stream).unwrap();
        let head = format!("{ACCEPTED}Sec-WebSocket-Accept: {}\r\n\r\n", accept_of(&request));
        stream.write_all(&[head.as_bytes(), &[0x81, 2, b'o', b'k', 0x83, 0]].concat()).unwrap();
        *recorded.lock().unwrap() = read_to_close(&mut stream);
    });
    let setup = default_setup();
    let _daemon = Daemon::start(PROGRAM, setup.address, &setup.text(&[server.address]), &[]);
    let mut socket = open(setup.address);
    assert_eq!(socket.read().unwrap(), WsMessage::text("ok"), "what was sent before is not lost");
    assert_eq!(read_close(&mut socket).0, 1011);
    wait_until("the server receives the close frame", || {
        let received = received.lock().unwrap();
        let Some(frame) = received.get(..8) else { return false };
        let code = u16::from_be_bytes([frame[6] ^ frame[2], frame[7] ^ frame[3]]);
        frame[0] == 0x88 && code == 1002
    });
}
