//! Follows the messages on a client's connection, beside the HTTP library, for what the
//! library hides or reads leniently.
//!
//! Danger: of a request with two framings the library drops one, unseen, and what one reader
//! takes for the body another takes for a further request (RFC 9112 11.2). Requests that a
//! client writes behind an open one are looked at too.

use std::collections::VecDeque;

/// What of a line is kept: enough for the fields that matter.
const LINE_KEPT: usize = 256;
/// Why a head is doubtful whose lines do not all end in CR LF.
const NO_BREAK: &str = "a line break that is none";
/// Digits of a length that fits.
const DIGITS: usize = 18;

/// What was seen of one request's head.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScannedHead {
    /// Whether a length, and an encoding, were stated.
    pub framings: [bool; 2],
    /// Why two readers might read it in two ways; none if they can't.
    pub doubtful: Option<&'static str>,
    length: Option<u64>,
}

impl ScannedHead {
    /// Whether it said twice how long the body is.
    pub fn framed_twice(&self) -> bool {
        self.framings == [true; 2]
    }

    fn doubt(&mut self, why: &'static str) {
        self.doubtful.get_or_insert(why);
    }

    fn field(&mut self, line: &[u8]) {
        if line.first().is_some_and(|b| *b == b' ' || *b == b'\t') {
            return self.doubt("a folded header line");
        }
        let Some(colon) = line.iter().position(|b| *b == b':') else {
            return self.doubt("a header line without a colon");
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.trim_ascii() != name || name.is_empty() {
            self.doubt("space about a header's name");
        }
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            let digits = value.iter().all(u8::is_ascii_digit) && !value.is_empty();
            if self.framings[0] {
                self.doubt("two Content-Length");
            } else if !digits || value.len() > DIGITS {
                self.doubt("a Content-Length that is no length");
            }
            self.framings[0] = true;
            self.length = std::str::from_utf8(value).ok().and_then(|v| v.parse().ok());
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if self.framings[1] || !value.eq_ignore_ascii_case(b"chunked") {
                self.doubt("a Transfer-Encoding other than chunked");
            }
            self.framings[1] = true;
        }
    }
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum State {
    /// In a head, at its first line.
    #[default]
    Start,
    /// In a head.
    Fields,
    /// In a body with so many bytes left.
    Body(u64),
    /// In a line with a chunk's size.
    Size,
    /// In a chunk with so many bytes left.
    Chunk(u64),
    /// Behind a chunk, where its line must end; whether half of that has come.
    ChunkEnd(bool),
    /// In the lines behind the last chunk.
    Trailers,
    /// Past a message whose end can't be told.
    Lost,
}

/// The messages of one connection as they come.
#[derive(Debug, Default)]
pub struct RequestHeadScanner {
    state: State,
    line: Vec<u8>,
    /// The line has more than was kept.
    long: bool,
    /// The last byte of the line so far is a carriage return.
    returned: bool,
    head: ScannedHead,
    /// Heads that are whole and have not been asked for.
    heads: VecDeque<ScannedHead>,
    /// A body is framed in a way that two readers may read differently.
    spoilt: bool,
}

impl RequestHeadScanner {
    /// Takes the bytes that were read.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.state {
                State::Lost => return,
                State::Body(left) => {
                    let taken = left.min(bytes.len() as u64);
                    bytes = &bytes[taken as usize..];
                    self.state = self.body(left - taken);
                }
                State::Chunk(left) => {
                    let taken = left.min(bytes.len() as u64);
                    bytes = &bytes[taken as usize..];
                    let left = left - taken;
                    self.state =
                        if left == 0 { State::ChunkEnd(false) } else { State::Chunk(left) };
                }
                State::ChunkEnd(half) => {
                    self.state = match (half, bytes[0]) {
                        (false, b'\r') => State::ChunkEnd(true),
                        (true, b'\n') => State::Size,
                        _ => self.spoil(),
                    };
                    bytes = &bytes[1..];
                }
                State::Start | State::Fields | State::Size | State::Trailers => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let room = LINE_KEPT - self.line.len();
                    self.returned = part.last().map_or(self.returned, |b| *b == b'\r');
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    self.long |= part.len() > room;
                    bytes = &bytes[end.map_or(bytes.len(), |end| end + 1)..];
                    if end.is_some() {
                        self.line_over();
                    }
                }
            }
        }
    }

    fn body(&self, left: u64) -> State {
        if left == 0 {
            State::Start
        } else {
            State::Body(left)
        }
    }

    fn line_over(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        let long = std::mem::take(&mut self.long);
        // Danger: where a bare line feed ends a line for one reader and not for another, they
        // see different fields (RFC 9112 2.2).
        let ended = std::mem::take(&mut self.returned);
        if ended && !long {
            line.pop();
        }
        let bare = line.contains(&b'\r') || !ended;
        self.state = match self.state {
            // An empty line before a request is passed over (RFC 9112 2.2).
            State::Start if line.is_empty() => State::Start,
            State::Start => {
                if bare {
                    self.head.doubt(NO_BREAK);
                }
                State::Fields
            }
            State::Fields if line.is_empty() => {
                if bare {
                    self.head.doubt(NO_BREAK);
                }
                self.head_over()
            }
            State::Fields => {
                if bare {
                    self.head.doubt(NO_BREAK);
                }
                self.head.field(&line);
                State::Fields
            }
            State::Size => self.size(&line, ended),
            State::Trailers if bare => self.spoil(),
            State::Trailers if line.is_empty() => State::Start,
            other => other,
        };
        line.clear();
        self.line = line;
    }

    fn head_over(&mut self) -> State {
        let mut head = std::mem::take(&mut self.head);
        if head.framed_twice() {
            head.doubt("Content-Length and Transfer-Encoding");
        }
        let next = match (head.doubtful, head.framings[1], head.length) {
            (Some(_), ..) => State::Lost,
            (_, true, _) => State::Size,
            (.., length) => self.body(length.unwrap_or(0)),
        };
        self.heads.push_back(head);
        next
    }

    /// Reads a line with a chunk's size. Danger: signs, spaces, a bare line feed and sizes
    /// that overflow are read by some as another size.
    fn size(&mut self, line: &[u8], ended: bool) -> State {
        let digits = line.split(|b| *b == b';').next().unwrap_or_default();
        let text = std::str::from_utf8(digits).unwrap_or_default();
        let hex = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
        let size = u64::from_str_radix(text, 16).ok().filter(|n| hex && *n < 1 << 60);
        match size {
            Some(0) if ended => State::Trailers,
            Some(size) if ended => State::Chunk(size),
            _ => self.spoil(),
        }
    }

    fn spoil(&mut self) -> State {
        self.spoilt = true;
        State::Lost
    }

    /// The head of the next request that the library hands over.
    pub fn next_head(&mut self) -> ScannedHead {
        let lost = (self.state == State::Lost).then_some("it comes behind what can't be read");
        let unseen = ScannedHead { doubtful: lost, ..ScannedHead::default() };
        self.heads.pop_front().unwrap_or(unseen)
    }

    /// Whether a body came framed so that its end can't be told for sure.
    pub fn spoilt(&self) -> bool {
        self.spoilt
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn heads(bytes: &[u8], cut: usize) -> (Vec<ScannedHead>, bool) {
        let mut scan = RequestHeadScanner::default();
        scan.read(&bytes[..cut]);
        scan.read(&bytes[cut..]);
        (scan.heads.iter().cloned().collect(), scan.spoilt)
    }

    #[test]
    fn heads_are_found_however_the_bytes_are_cut() {
        let bytes = b"\r\nPOST / HTTP/1.1\r\nContent-Length: 23\r\n\r\nTransfer-Encoding: a\r\n\r\n\
            POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1a;x=y\r\nContent-Length: 9\r\n\r\n12345\r\n\
            0\r\nT: 1\r\n\r\nGET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nCONTENT-length:3\r\n\r\n";
        for cut in 0..bytes.len() {
            let (heads, spoilt) = heads(bytes, cut);
            let framings: Vec<_> = heads.iter().map(|h| h.framings).collect();
            assert_eq!(framings, [[true, false], [false, true], [true, true]], "{cut}");
            assert!(!spoilt && heads[0].doubtful.is_none() && heads[1].doubtful.is_none());
            assert!(heads[2].framed_twice() && heads[2].doubtful.is_some());
        }
    }

    #[test]
    fn what_can_be_read_in_two_ways_is_doubtful() {
        for field in [
            "Content-Length: 3\r\nContent-Length: 3",
            "Content-Length: 3\r\nContent-Length: 4",
            "Content-Length: +3",
            "Content-Length: 3, 3",
            "Content-Length: 99999999999999999999",
            "Content-Length : 3",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: xchunked",
            "A: b\r\n folded: c",
            "A: b\rC: d",
            "A: b\nC: d",
            "X: y\nTransfer-Encoding: chunked",
            "no colon",
        ] {
            let bytes = format!("GET / HTTP/1.1\r\n{field}\r\n\r\n");
            let (heads, _) = heads(bytes.as_bytes(), 5);
            assert!(heads[0].doubtful.is_some(), "{field}");
        }
        for size in ["", "+1", "0x1", " 1", "1 ", "-1", "fffffffffffffffff", "g"] {
            let bytes = format!("GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{size}\r\nx");
            assert!(heads(bytes.as_bytes(), 7).1, "{size}");
        }
        let endless = b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n";
        assert!(heads(endless, 7).1);
        let long = format!("GET / HTTP/1.1\r\nA: {}\nB: c\r\n\r\n", "b".repeat(400));
        for cut in [5, 100, 300, 417, 418, 419] {
            assert!(heads(long.as_bytes(), cut).0[0].doubtful.is_some(), "{cut}");
            let good =
                long.replacen('\n', "\r\n", 2).replace("\r\r", "\r").replace("b\nB", "b\r\nB");
            assert_eq!(heads(good.as_bytes(), cut).0[0].doubtful, None, "{cut}");
        }
        let bare = b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n";
        assert!(heads(bare, 7).1);
    }
}
