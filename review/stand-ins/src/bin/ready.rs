//! `ready ADDRESS`: exits with 0 if `GET /-/ready` there is answered 200.

use review_stand_ins::{argument, Peer};
use std::io::Write;
use std::net::TcpStream;
use std::process::exit;

fn main() {
    let Ok(stream) = TcpStream::connect(argument(1)) else { exit(1) };
    let mut peer = Peer::new(stream);
    let sent = peer.stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: sidecar\r\n\r\n");
    let status = sent.and_then(|()| peer.read()).ok().flatten().map_or(0, |answer| answer.status());
    exit(i32::from(status != 200));
}
