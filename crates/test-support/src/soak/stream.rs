//! HTTP messages on asynchronous streams.

use super::receive_time::{receive, ReceivedBytes};
use crate::message::Message;
use std::io;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A connection with the bytes that were read past the last message.
pub(super) struct MessageStream {
    pub(super) stream: TcpStream,
    buffer: Vec<u8>,
}

/// The result of reading a message.
pub(super) enum Received {
    /// A complete message, and when its first byte came to the system.
    Message(Message, Instant),
    /// The connection ended before its first byte.
    Nothing,
    /// The connection ended within it.
    Part,
}

impl MessageStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        // A test would only measure delays without it.
        let _ = stream.set_nodelay(true);
        MessageStream { stream, buffer: Vec::new() }
    }

    pub(super) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the next message, with as many bytes of a body as `Content-Length` announces.
    pub(super) async fn read(&mut self) -> Received {
        let mut began_at = Instant::now();
        let head_end = loop {
            if let Some(at) = find_head_end(&self.buffer) {
                break at;
            }
            let was_empty = self.buffer.is_empty();
            let Some(received_at) = self.read_more().await else {
                return if was_empty { Received::Nothing } else { Received::Part };
            };
            if was_empty {
                began_at = received_at;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut message = Message { head, body: Vec::new() };
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        let end = head_end + length.unwrap_or(0);
        while self.buffer.len() < end {
            if self.read_more().await.is_none() {
                return Received::Part;
            }
        }
        message.body = self.buffer[head_end..end].to_vec();
        self.buffer.drain(..end);
        Received::Message(message, began_at)
    }

    /// Resets the connection instead of closing it.
    pub(super) fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Waits until the other side ends the connection, or sends something.
    pub(super) async fn ended(&mut self) {
        self.read_more().await;
    }

    /// Reads what is there; when that came, or none at the end of the connection.
    async fn read_more(&mut self) -> Option<Instant> {
        let ReceivedBytes { count, at } = receive(&self.stream, &mut self.buffer).await.ok()?;
        (count > 0).then_some(at)
    }
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4)
}
