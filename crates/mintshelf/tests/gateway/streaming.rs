//! Large bodies pass with bounded memory.

use crate::fixture::daemon;
use mintshelf_test_support::{connect, get, ok_response, read_some, Message, Peer, Process as _};
use std::io::Write;
use std::net::TcpStream;

/// Bytes that differ by position, so that a swap or a loss shows.
fn pattern(position: usize) -> u8 {
    (position % 251) as u8
}

const BODY_BYTES: usize = 200 << 20;

/// Writes a body of the pattern.
fn write_body(stream: &mut TcpStream) -> std::io::Result<()> {
    let block: Vec<u8> = (0..251 * 256).map(pattern).collect();
    let mut remaining = BODY_BYTES;
    while remaining > 0 {
        let part = &block[..remaining.min(block.len())];
        stream.write_all(part)?;
        remaining -= part.len();
    }
    Ok(())
}

/// Whether bytes are those of the pattern at this position.
fn is_pattern(bytes: &[u8], position: usize) -> bool {
    bytes.iter().enumerate().all(|(offset, byte)| *byte == pattern(position + offset))
}

/// Receives a body and responds with its length and whether it is the pattern, or sends one.
fn serve(mut stream: TcpStream) {
    let Some(request) = Message::read_head(&mut stream) else { return };
    if !request.head.starts_with("POST") {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).unwrap();
        let _ = write_body(&mut stream);
        return;
    }
    let mut received = 0;
    let mut buffer = vec![0; 64 << 10];
    let mut is_intact = true;
    while received < BODY_BYTES {
        let count = read_some(&mut stream, &mut buffer).unwrap_or(0);
        if count == 0 {
            return;
        }
        is_intact &= is_pattern(&buffer[..count], received);
        received += count;
    }
    stream.write_all(&ok_response(&format!("{received} {is_intact}"))).unwrap();
}

#[test]
fn bodies_of_200_mb_stream_both_ways_in_32_mb_of_memory() {
    let server = Peer::start(serve);
    let daemon = daemon(&[server.address], "");
    let mut stream = connect(daemon.address).unwrap();
    let head = format!("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    write_body(&mut stream).unwrap();
    let response = Message::read(&mut stream).unwrap();
    assert_eq!(String::from_utf8_lossy(&response.body), format!("{BODY_BYTES} true"));
    let mut stream = connect(daemon.address).unwrap();
    stream.write_all(&get("/down")).unwrap();
    Message::read_head(&mut stream).unwrap();
    let mut received = 0;
    let mut buffer = vec![0; 64 << 10];
    while received < BODY_BYTES {
        let count = read_some(&mut stream, &mut buffer).unwrap();
        assert!(count > 0, "ended at {received}");
        assert!(is_pattern(&buffer[..count], received));
        received += count;
    }
    let peak = daemon.peak_memory();
    assert!(peak < 32 << 20, "{peak} bytes for two bodies of {BODY_BYTES}");
}
