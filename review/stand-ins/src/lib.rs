//! What the stand-ins share: HTTP/1.1 messages with a Content-Length, and the record file.

use std::fs::OpenOptions;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{SystemTime, UNIX_EPOCH};

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if the status line can't be read.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim_end().to_string()
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Peer {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Peer { stream, buffer: Vec::new() }
    }

    /// Whether bytes of a further message have arrived, read or unread.
    pub fn has_more(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        self.stream.set_nonblocking(true).ok();
        let peeked = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false).ok();
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads the next message; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).to_string();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_string();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_string(), value.trim().to_string()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(Some(message))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16384];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }
}

/// A response with a Content-Length.
pub fn response(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").into_bytes()
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

/// Appends a line to the record, with the time, in one write.
pub fn record(file: &str, line: &str) {
    let text = format!("{} {line}\n", now_ms());
    let opened = OpenOptions::new().append(true).create(true).open(file);
    opened.and_then(|mut file| file.write_all(text.as_bytes())).expect("the record is writable");
}

/// The argument at a place of the command line.
pub fn argument(index: usize) -> String {
    std::env::args().nth(index).unwrap_or_else(|| panic!("argument {index} is missing"))
}

pub fn number(index: usize) -> u64 {
    argument(index).parse().expect("a number")
}
