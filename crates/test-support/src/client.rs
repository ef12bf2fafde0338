//! Clients: connections, requests and metrics.

use crate::message::{get, read_some, Message};
use crate::wait::TEST_TIMEOUT;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Remaining time in milliseconds that [`request`] states.
const REQUEST_TIMEOUT_MS: u64 = 8_000;

/// Connects; reads of the connection end after [`TEST_TIMEOUT`]. None if nothing listens.
///
/// # Panics
/// The read timeout cannot be set.
#[must_use]
pub fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Some(stream)
}

/// Sends a request on a new connection and reads one response; none if the connection closes.
///
/// # Panics
/// As [`connect`] and [`Message::read`].
#[must_use]
pub fn send_request(address: SocketAddr, request: &[u8]) -> Option<Message> {
    let mut stream = connect(address)?;
    // The other side may respond and close before it has read everything.
    let _ = stream.write_all(request);
    Message::read(&mut stream)
}

/// The sum of all metrics of a daemon whose names and labels begin with `prefix`.
///
/// # Panics
/// The admin listener does not answer, or a value is not a number.
#[must_use]
pub fn metric(admin: SocketAddr, prefix: &str) -> f64 {
    let response = send_request(admin, &get("/-/metrics")).unwrap();
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(prefix));
    lines.map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap()).sum()
}

/// Closes a connection by a reset, as when a program dies with bytes unread.
///
/// # Panics
/// The socket's linger time cannot be set.
pub fn reset_connection(stream: TcpStream) {
    let socket = socket2::Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
}

/// Reads until the other side closes or resets the connection.
///
/// # Panics
/// Reading fails for another reason, as after [`TEST_TIMEOUT`].
pub fn read_to_close(stream: &mut TcpStream) -> Vec<u8> {
    match read_to_end(stream) {
        (bytes, Ok(())) => bytes,
        (bytes, Err(error)) if error.kind() == ErrorKind::ConnectionReset => bytes,
        (_, Err(error)) => panic!("neither closed nor reset: {error}"),
    }
}

/// Reads until the other side closes the connection or reading fails; the bytes, and how it ended.
pub fn read_to_end(stream: &mut TcpStream) -> (Vec<u8>, io::Result<()>) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        match read_some(stream, &mut buffer) {
            Ok(0) => return (bytes, Ok(())),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) => return (bytes, Err(error)),
        }
    }
}

/// The bytes of a request to the sidecar, of a class and with an id.
#[must_use]
pub fn request(class: &str, id: &str) -> Vec<u8> {
    request_with_timeout(class, id, REQUEST_TIMEOUT_MS)
}

/// The same from a client that waits for this many milliseconds.
#[must_use]
pub fn request_with_timeout(class: &str, id: &str, timeout_ms: u64) -> Vec<u8> {
    format!(
        "GET /api HTTP/1.1\r\nHost: a\r\nX-Txn: {id}\r\nX-Lane: {class}\r\nX-Org: acme\r\n\
         X-Remaining-Ms: {timeout_ms}\r\n\r\n"
    )
    .into_bytes()
}
