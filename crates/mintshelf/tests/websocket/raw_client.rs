//! A client that writes handshakes and frames byte by byte.

use mintshelf_test_support::{connect, read_to_close, Message};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};

/// Sends a handshake with `behind` after it; the response, and the connection.
pub fn handshake(
    address: SocketAddr,
    headers: &[(&str, &str)],
    behind: &[u8],
) -> (Message, TcpStream) {
    let mut text = format!("GET /live HTTP/1.1\r\nHost: {address}\r\n");
    let defaults = [
        ("Connection", "Upgrade"),
        ("Upgrade", "websocket"),
        ("Sec-WebSocket-Version", "13"),
        ("Sec-WebSocket-Key", "dGhlIHNhbXBsZSBub25jZQ=="),
    ];
    let stated = |name: &str| headers.iter().any(|(other, _)| other.eq_ignore_ascii_case(name));
    let sent = defaults.iter().filter(|(name, _)| !stated(name)).chain(headers);
    sent.for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    let mut stream = connect(address).unwrap();
    stream.write_all(&[text.as_bytes(), b"\r\n", behind].concat()).unwrap();
    (Message::read(&mut stream).expect("a response"), stream)
}

/// The value of `Sec-WebSocket-Accept` for a handshake.
pub fn accept_of(request: &Message) -> String {
    let key = request.header("sec-websocket-key").unwrap();
    tungstenite::handshake::derive_accept_key(key.as_bytes())
}

pub const ACCEPTED: &str = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n\
                        Upgrade: websocket\r\n";

/// A frame with a mask of zeros.
pub fn masked(first: u8, payload: &[u8]) -> Vec<u8> {
    assert!(payload.len() < 126);
    [&[first, 0x80 | payload.len() as u8, 0, 0, 0, 0], payload].concat()
}

/// The code and reason of the close frame that ends a connection, if there is one.
pub fn close_of(stream: &mut TcpStream) -> Option<(u16, String)> {
    let bytes = read_to_close(stream);
    // Pings of the sidecar may come before.
    let mut remaining = &bytes[..];
    while let [first, length, tail @ ..] = remaining {
        let (payload, behind) = tail.split_at_checked(usize::from(*length))?;
        if *first == 0x88 {
            assert!(behind.is_empty(), "bytes behind a close frame: {behind:?}");
            let code = u16::from_be_bytes([payload[0], payload[1]]);
            return Some((code, String::from_utf8_lossy(&payload[2..]).into_owned()));
        }
        remaining = behind;
    }
    None
}
