//! A small HTTP/1.1 server and client, enough for the stand-ins.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request that a stand-in server has received completely.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Reads from a stream, and keeps what belongs to the next message.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more; `Ok(false)` at the end of the stream.
    fn fill(&mut self) -> std::io::Result<bool> {
        let mut part = [0; 16384];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    fn take_line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_string()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take_bytes(&mut self, count: usize) -> std::io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads the first line and the header fields of a message; `None` at the end of the stream.
    fn head(&mut self) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
        let Some(first) = self.take_line()? else { return Ok(None) };
        let mut headers = Vec::new();
        loop {
            let Some(line) = self.take_line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some((first, headers)));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_string(), value.trim().to_string()));
            }
        }
    }

    /// Reads a body by its framing. `to_end` says whether a body without one ends with the stream.
    fn body(
        &mut self,
        headers: &[(String, String)],
        to_end: bool,
    ) -> std::io::Result<Option<Vec<u8>>> {
        if find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let Some(line) = self.take_line()? else { return Ok(None) };
                let Ok(size) = usize::from_str_radix(line.split(';').next().unwrap_or(""), 16)
                else {
                    return Ok(None);
                };
                let Some(data) = self.take_bytes(size)? else { return Ok(None) };
                body.extend(data);
                if self.take_line()?.is_none() {
                    return Ok(None);
                }
                if size == 0 {
                    return Ok(Some(body));
                }
            }
        }
        if let Some(length) = find(headers, "content-length") {
            return self.take_bytes(length.parse().unwrap_or(0));
        }
        if to_end {
            while self.fill()? {}
            return Ok(Some(std::mem::take(&mut self.buffer)));
        }
        Ok(Some(Vec::new()))
    }

    pub fn request(&mut self) -> std::io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else { return Ok(None) };
        let Some(body) = self.body(&headers, false)? else { return Ok(None) };
        let mut parts = first.split(' ');
        let method = parts.next().unwrap_or("").to_string();
        let target = parts.next().unwrap_or("").to_string();
        Ok(Some(Request { method, target, headers, body }))
    }
}

/// Serves a port: one thread a connection. The handler answers a request on the stream, and returns
/// whether the connection goes on.
pub fn serve(
    address: SocketAddr,
    handler: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).expect("stand-in's port");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || {
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = Reader::new(stream);
                while let Ok(Some(request)) = reader.request() {
                    if !handler(request, &mut out) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a response with a length.
pub fn respond(out: &mut TcpStream, status: &str, extra: &str, body: &str) -> bool {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {length}\r\n\r\n{body}");
    out.write_all(text.as_bytes()).is_ok()
}

/// What a client has received.
#[derive(Debug, Clone)]
pub enum Answer {
    /// A whole response.
    Whole { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// The connection ended, or broke, before the response was whole.
    Cut { how: String },
    /// Nothing whole came in the time that the client waits.
    None,
}

impl Answer {
    pub fn status(&self) -> Option<u16> {
        match self {
            Answer::Whole { status, .. } => Some(*status),
            _ => None,
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        match self {
            Answer::Whole { headers, .. } => find(headers, name),
            _ => None,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Answer::Whole { status, body, .. } => {
                let body = String::from_utf8_lossy(body);
                format!("{status} {:?}", body.chars().take(60).collect::<String>())
            }
            Answer::Cut { how } => format!("no answer: {how}"),
            Answer::None => "no answer in the client's time".to_string(),
        }
    }
}

/// Sends a request on a new connection and waits for the response.
pub fn ask(address: SocketAddr, message: &[u8], wait: Duration) -> Answer {
    let connected = TcpStream::connect_timeout(&address, Duration::from_secs(2));
    let Ok(stream) = connected else { return Answer::Cut { how: "not connected".into() } };
    let _ = stream.set_nodelay(true);
    ask_on(&mut Reader::new(stream), message, wait)
}

/// Sends a request on a connection and waits for the response.
pub fn ask_on(reader: &mut Reader, message: &[u8], wait: Duration) -> Answer {
    if let Err(error) = reader.stream.write_all(message) {
        return Answer::Cut { how: format!("not written: {error}") };
    }
    let until = Instant::now() + wait;
    let _ = reader.stream.set_read_timeout(Some(wait));
    let result = reader.head().and_then(|head| match head {
        None => Ok(None),
        Some((first, headers)) => {
            let body = reader.body(&headers, true)?;
            Ok(body.map(|body| (first, headers, body)))
        }
    });
    match result {
        Ok(Some((first, headers, body))) => {
            let status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
            Answer::Whole { status, headers, body }
        }
        Ok(None) => Answer::Cut { how: "the connection was closed".into() },
        Err(error) if Instant::now() >= until || error.kind() == std::io::ErrorKind::WouldBlock => {
            Answer::None
        }
        Err(error) => Answer::Cut { how: error.to_string() },
    }
}
