//! The relay holds, delays, cuts and corrupts what it carries, each direction by itself.

use mintshelf_test_support::relay::{Direction, Relay};
use mintshelf_test_support::{connect, wait_until, Peer};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server that records what it receives and sends it back.
fn echo() -> (Peer, Arc<Mutex<Vec<u8>>>) {
    let received = Arc::new(Mutex::new(Vec::new()));
    let recorded = received.clone();
    let peer = Peer::start(move |mut stream| {
        let mut buffer = [0; 1024];
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            recorded.lock().unwrap().extend_from_slice(&buffer[..count]);
            if stream.write_all(&buffer[..count]).is_err() {
                return;
            }
        }
    });
    (peer, received)
}

fn connect_through(relay: &Relay) -> TcpStream {
    connect(relay.address).expect("the relay listens")
}

fn read_exactly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).expect("an echo");
    bytes
}

#[test]
fn one_direction_is_held_while_the_other_is_carried_without_loss() {
    let (peer, received) = echo();
    let relay = Relay::start(peer.address);
    let mut stream = connect_through(&relay);
    relay.hold(Direction::Backward);
    stream.write_all(b"heard").unwrap();
    wait_until("it has arrived", || received.lock().unwrap().as_slice() == b"heard");
    assert_eq!(relay.carried_bytes(Direction::Backward), 0, "nothing is carried back");
    relay.release(Direction::Backward);
    assert_eq!(read_exactly(&mut stream, 5), b"heard");
    relay.hold(Direction::Forward);
    stream.write_all(b" late").unwrap();
    std::thread::sleep(Duration::from_millis(30));
    assert_eq!(received.lock().unwrap().len(), 5);
    relay.heal();
    assert_eq!(read_exactly(&mut stream, 5), b" late");
}

#[test]
fn a_delayed_direction_keeps_the_order() {
    let (peer, _received) = echo();
    let relay = Relay::start(peer.address);
    let mut stream = connect_through(&relay);
    let delay = Duration::from_millis(150);
    relay.delay(Direction::Forward, delay);
    let started = Instant::now();
    for part in [b"one", b"two"] {
        stream.write_all(part).unwrap();
    }
    assert_eq!(read_exactly(&mut stream, 6), b"onetwo");
    assert!(started.elapsed() >= delay);
}

#[test]
fn a_connection_breaks_at_any_byte_and_the_next_is_carried() {
    for cut in [0, 1, 7] {
        let (peer, received) = echo();
        let relay = Relay::start(peer.address);
        relay.break_after(Direction::Forward, cut);
        let mut stream = connect_through(&relay);
        stream.write_all(b"one frame").unwrap();
        let mut remaining = Vec::new();
        let _ = stream.read_to_end(&mut remaining);
        assert!(remaining.len() as u64 <= cut);
        wait_until("the part has arrived", || received.lock().unwrap().len() as u64 == cut);
        let mut next_stream = connect_through(&relay);
        next_stream.write_all(b"whole").unwrap();
        assert_eq!(read_exactly(&mut next_stream, 5), b"whole");
    }
}

#[test]
fn bytes_are_corrupted_links_cut_and_connections_broken() {
    let (peer, _received) = echo();
    let relay = Relay::start(peer.address);
    let mut stream = connect_through(&relay);
    relay.corrupt_after(Direction::Backward, 2);
    stream.write_all(b"abcd").unwrap();
    assert_eq!(read_exactly(&mut stream, 4), [b'a', b'b', b'c' ^ 0xff, b'd']);
    relay.break_all();
    let mut remaining = Vec::new();
    let _ = stream.read_to_end(&mut remaining);
    assert!(remaining.is_empty());
    relay.cut();
    let mut rejected = connect_through(&relay);
    let _ = rejected.write_all(b"nobody");
    assert!(!matches!(rejected.read(&mut [0; 8]), Ok(1..)), "a cut link carries nothing");
    relay.heal();
    let mut healed = connect_through(&relay);
    healed.write_all(b"again").unwrap();
    assert_eq!(read_exactly(&mut healed, 5), b"again");
    assert_eq!(relay.connections(), 2);
}
