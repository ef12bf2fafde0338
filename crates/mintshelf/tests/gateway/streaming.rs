//! Large bodies pass with bounded memory.

use crate::fixture::daemon;
use mintshelf_test_support::{connect, get, ok_response, Message, Peer, Process as _};
use std::io::{Read, Write};

/// Bytes that differ by place, so that a swap or a loss shows.
fn pattern(at: usize) -> u8 {
    (at % 251) as u8
}

const BODY_BYTES: usize = 200 << 20;

#[test]
fn bodies_of_200_mb_stream_both_ways_in_32_mb_of_memory() {
    let server = Peer::start(|mut stream| {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).unwrap_or(0) == 0 {
                return;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let block: Vec<u8> = (0..251 * 256).map(pattern).collect();
        if head.starts_with("POST") {
            let (mut seen, mut buffer) = (0, vec![0; 64 << 10]);
            let mut right = true;
            while seen < BODY_BYTES {
                let count = stream.read(&mut buffer).unwrap_or(0);
                if count == 0 {
                    return;
                }
                right &= buffer[..count].iter().enumerate().all(|(n, b)| *b == pattern(seen + n));
                seen += count;
            }
            stream.write_all(&ok_response(&format!("{seen} {right}"))).unwrap();
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
            stream.write_all(head.as_bytes()).unwrap();
            let mut left = BODY_BYTES;
            while left > 0 {
                let part = &block[..left.min(block.len())];
                if stream.write_all(part).is_err() {
                    return;
                }
                left -= part.len();
            }
        }
    });
    let daemon = daemon(&[server.at], "");
    let block: Vec<u8> = (0..251 * 256).map(pattern).collect();
    let mut stream = connect(daemon.at).unwrap();
    let head = format!("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut left = BODY_BYTES;
    while left > 0 {
        let part = &block[..left.min(block.len())];
        stream.write_all(part).unwrap();
        left -= part.len();
    }
    let got = Message::read(&mut stream).unwrap();
    assert_eq!(String::from_utf8_lossy(&got.body), format!("{BODY_BYTES} true"));
    let mut stream = connect(daemon.at).unwrap();
    stream.write_all(&get("/down")).unwrap();
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    let (mut seen, mut buffer) = (0, vec![0; 64 << 10]);
    while seen < BODY_BYTES {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "ended at {seen}");
        assert!(buffer[..count].iter().enumerate().all(|(n, b)| *b == pattern(seen + n)));
        seen += count;
    }
    let peak = daemon.peak_memory();
    assert!(peak < 32 << 20, "{peak} bytes for two bodies of {BODY_BYTES}");
}
