//! The relay does to a link what it says, each way by itself.

use mintshelf_test_support::relay::{Relay, Way};
use mintshelf_test_support::{connect, wait_until, Peer};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Notes what comes, and sends it back.
fn echo() -> (Peer, Arc<Mutex<Vec<u8>>>) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let notes = seen.clone();
    let peer = Peer::start(move |mut stream| {
        let mut buffer = [0; 1024];
        while let Ok(n @ 1..) = stream.read(&mut buffer) {
            notes.lock().unwrap().extend_from_slice(&buffer[..n]);
            if stream.write_all(&buffer[..n]).is_err() {
                return;
            }
        }
    });
    (peer, seen)
}

fn through(relay: &Relay) -> TcpStream {
    connect(relay.at).expect("the relay listens")
}

fn back(stream: &mut TcpStream, n: usize) -> Vec<u8> {
    let mut bytes = vec![0; n];
    stream.read_exact(&mut bytes).expect("an echo");
    bytes
}

#[test]
fn one_way_is_held_while_the_other_goes_and_nothing_is_lost() {
    let (peer, seen) = echo();
    let relay = Relay::start(peer.at);
    let mut stream = through(&relay);
    relay.hold(Way::Back);
    stream.write_all(b"heard").unwrap();
    wait_until("it is heard", || seen.lock().unwrap().as_slice() == b"heard");
    assert_eq!(relay.gone(Way::Back), 0, "no word comes back");
    relay.let_go(Way::Back);
    assert_eq!(back(&mut stream, 5), b"heard");
    relay.hold(Way::There);
    stream.write_all(b" late").unwrap();
    std::thread::sleep(Duration::from_millis(30));
    assert_eq!(seen.lock().unwrap().len(), 5);
    relay.heal();
    assert_eq!(back(&mut stream, 5), b" late");
}

#[test]
fn a_delayed_way_takes_its_time_and_keeps_the_order() {
    let (peer, _seen) = echo();
    let relay = Relay::start(peer.at);
    let mut stream = through(&relay);
    let delay = Duration::from_millis(150);
    relay.delay(Way::There, delay);
    let begin = Instant::now();
    for part in [b"one", b"two"] {
        stream.write_all(part).unwrap();
    }
    assert_eq!(back(&mut stream, 6), b"onetwo");
    assert!(begin.elapsed() >= delay);
}

#[test]
fn a_frame_is_cut_at_any_byte_and_the_next_connection_goes() {
    for cut in [0, 1, 7] {
        let (peer, seen) = echo();
        let relay = Relay::start(peer.at);
        relay.break_after(Way::There, cut);
        let mut stream = through(&relay);
        stream.write_all(b"one frame").unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.len() as u64 <= cut);
        wait_until("the part is there", || seen.lock().unwrap().len() as u64 == cut);
        let mut again = through(&relay);
        again.write_all(b"whole").unwrap();
        assert_eq!(back(&mut again, 5), b"whole");
    }
}

#[test]
fn bytes_are_garbled_links_cut_and_connections_broken() {
    let (peer, _seen) = echo();
    let relay = Relay::start(peer.at);
    let mut stream = through(&relay);
    relay.garble_after(Way::Back, 2);
    stream.write_all(b"abcd").unwrap();
    assert_eq!(back(&mut stream, 4), [b'a', b'b', b'c' ^ 0xff, b'd']);
    relay.break_all();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty());
    relay.cut();
    let mut refused = through(&relay);
    let _ = refused.write_all(b"nobody");
    assert!(!matches!(refused.read(&mut [0; 8]), Ok(1..)), "a cut link carries nothing");
    relay.heal();
    let mut whole = through(&relay);
    whole.write_all(b"again").unwrap();
    assert_eq!(back(&mut whole, 5), b"again");
    assert_eq!(relay.carried(), 2);
}
