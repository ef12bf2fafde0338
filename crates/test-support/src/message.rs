//! HTTP/1.1 messages as bytes, written and read without an HTTP library.

use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::time::Duration;

/// An HTTP message: its head up to the blank line, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Start line and headers, with the blank line.
    pub head: String,
    /// As many bytes as `Content-Length` announced; none without it.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of the first header with this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        let mut values = fields.filter(|(field, _)| field.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim())
    }

    /// The status code of a response; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start_line_word().parse().unwrap_or(0)
    }

    /// The path of a request, with its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.start_line_word()
    }

    /// The second word of the start line.
    fn start_line_word(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    /// The revision in the `after` parameter of a call to discovery: the caller waits for a newer
    /// endpoint list.
    ///
    /// # Panics
    /// The parameter is not a number.
    #[must_use]
    pub fn after(&self) -> Option<u64> {
        let (_, value) = self.path().split_once("after=")?;
        Some(value.split('&').next().unwrap().parse().unwrap())
    }

    /// How long a call to discovery may wait for a newer list; zero if it does not state it.
    ///
    /// # Panics
    /// The parameter is not a number.
    #[must_use]
    pub fn wait(&self) -> Duration {
        let wait = self.path().split_once("wait_ms=").map(|(_, value)| value.split('&').next());
        Duration::from_millis(wait.flatten().map_or(0, |wait| wait.parse().unwrap()))
    }

    /// Reads the head of the next message, and nothing behind it; none at the end of the connection.
    pub fn read_head(stream: &mut TcpStream) -> Option<Message> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if read_some(stream, &mut byte).ok()? == 0 {
                return None;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        Some(Message { head, body: Vec::new() })
    }

    /// Reads the next message; none at the end of the connection.
    ///
    /// # Panics
    /// `Content-Length` is not a number.
    pub fn read(stream: &mut TcpStream) -> Option<Message> {
        let mut message = Message::read_head(stream)?;
        let length = message.header("content-length").map_or(0, |length| length.parse().unwrap());
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }
}

/// Reads once, again where a signal has interrupted it: a socket with a timeout fails then.
///
/// # Errors
/// Any other than [`ErrorKind::Interrupted`].
pub fn read_some(stream: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// The bytes of a GET request.
#[must_use]
pub fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n").into_bytes()
}

/// The bytes of a response with status 200 and this body.
#[must_use]
pub fn ok_response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
