//! Scans the requests on a client connection, in addition to the HTTP library, for what the library
//! hides or parses leniently.
//!
//! If a request has both framings, the library silently drops one. Bytes that one recipient takes
//! for the body may then be another request to the next one: request smuggling (RFC 9112 11.2).
//! Pipelined requests are scanned too.

use super::line_buffer::{Line, LineBuffer};
use super::scanned_head::{Ambiguity, PartialHead, ScannedHead};
use crate::body::byte_count;
use std::collections::VecDeque;

/// Exclusive upper limit on the size of a chunk, in bytes.
const CHUNK_SIZE_LIMIT: u64 = 1 << 60;

/// The position of the scanner in a message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    /// The next byte belongs to the first line of a head.
    #[default]
    RequestLine,
    /// The next byte belongs to the header field lines of a head.
    Fields,
    /// The next byte belongs to a body with Content-Length, of which this number of bytes is left.
    Body(u64),
    /// The next byte belongs to the line with the size of a chunk.
    ChunkSize,
    /// The next byte belongs to the data of a chunk, of which this number of bytes is left.
    Chunk(u64),
    /// The data of a chunk has ended, and a carriage return must follow.
    ChunkEnd,
    /// The carriage return behind the data of a chunk has arrived, and a line feed must follow.
    ChunkLineFeed,
    /// The next byte belongs to the trailer section, after the last chunk.
    Trailers,
    /// The end of a message is unknown, so the start of the next head cannot be found.
    Unsynchronized,
}

/// Scans the requests of one connection as their bytes arrive.
#[derive(Debug, Default)]
pub struct RequestHeadScanner {
    position: Position,
    line: LineBuffer,
    head: PartialHead,
    /// Complete heads of requests that the HTTP library has not delivered yet. Bounded by what the
    /// library reads ahead: a few bytes for each head in its buffer.
    heads: VecDeque<ScannedHead>,
    is_body_ambiguous: bool,
}

impl RequestHeadScanner {
    /// Scans bytes that were read from the connection.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.position {
                Position::Unsynchronized => return,
                Position::Body(left) => {
                    let left = skip(&mut bytes, left);
                    self.position = body_position(left);
                }
                Position::Chunk(left) => {
                    let left = skip(&mut bytes, left);
                    self.position =
                        if left == 0 { Position::ChunkEnd } else { Position::Chunk(left) };
                }
                Position::ChunkEnd | Position::ChunkLineFeed => {
                    self.position = self.read_chunk_end(bytes[0]);
                    bytes = &bytes[1..];
                }
                Position::RequestLine
                | Position::Fields
                | Position::ChunkSize
                | Position::Trailers => bytes = self.read_line(bytes),
            }
        }
    }

    /// Reads up to the end of a line and returns the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
            self.line.push(bytes);
            return &[];
        };
        self.line.push(&bytes[..end]);
        self.finish_line();
        &bytes[end + 1..]
    }

    fn read_chunk_end(&mut self, byte: u8) -> Position {
        match (self.position, byte) {
            (Position::ChunkEnd, b'\r') => Position::ChunkLineFeed,
            (Position::ChunkLineFeed, b'\n') => Position::ChunkSize,
            _ => self.fail_body(),
        }
    }

    fn finish_line(&mut self) {
        let line = self.line.take_line();
        let has_bare_break = line.has_bare_break();
        self.position = match self.position {
            // An empty line before a request is ignored (RFC 9112 2.2).
            Position::RequestLine if line.is_empty() => Position::RequestLine,
            Position::RequestLine | Position::Fields => self.finish_head_line(&line),
            Position::ChunkSize => self.read_chunk_size(&line),
            Position::Trailers if has_bare_break => self.fail_body(),
            Position::Trailers if line.is_empty() => Position::RequestLine,
            other => other,
        };
        self.line.recycle(line);
    }

    fn finish_head_line(&mut self, line: &Line) -> Position {
        if line.has_bare_break() {
            self.head.mark_ambiguous(Ambiguity::BareLineBreak);
        }
        if self.position == Position::RequestLine {
            return Position::Fields;
        }
        if line.is_empty() {
            return self.finish_head();
        }
        self.head.read_field(&line.bytes);
        Position::Fields
    }

    fn finish_head(&mut self) -> Position {
        let mut partial = std::mem::take(&mut self.head);
        if partial.head.is_framed_twice() {
            partial.mark_ambiguous(Ambiguity::FramedTwice);
        }
        let next = if partial.head.ambiguity.is_some() {
            Position::Unsynchronized
        } else if partial.head.framings.transfer_encoding {
            Position::ChunkSize
        } else {
            body_position(partial.content_length.unwrap_or(0))
        };
        self.heads.push_back(partial.head);
        next
    }

    /// Parses the line with the size of a chunk (RFC 9112 7.1). Signs, spaces, a bare line feed and
    /// sizes that overflow are rejected: some recipients parse them as a different size.
    fn read_chunk_size(&mut self, line: &Line) -> Position {
        let digits = line.bytes.split(|byte| *byte == b';').next().unwrap_or_default();
        let text = std::str::from_utf8(digits).unwrap_or_default();
        let is_hex = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let size = u64::from_str_radix(text, 16).ok();
        match size.filter(|size| is_hex && *size < CHUNK_SIZE_LIMIT) {
            Some(0) if line.ends_in_crlf => Position::Trailers,
            Some(size) if line.ends_in_crlf => Position::Chunk(size),
            _ => self.fail_body(),
        }
    }

    fn fail_body(&mut self) -> Position {
        self.is_body_ambiguous = true;
        Position::Unsynchronized
    }

    /// Returns the scan result of the next request that the HTTP library delivers. Must be called
    /// once for each request, whatever its response is.
    pub fn next_head(&mut self) -> ScannedHead {
        let is_unsynchronized = self.position == Position::Unsynchronized;
        let ambiguity = is_unsynchronized.then_some(Ambiguity::Unscanned);
        let unscanned = ScannedHead { ambiguity, ..ScannedHead::default() };
        self.heads.pop_front().unwrap_or(unscanned)
    }

    /// Returns the complete heads that [`RequestHeadScanner::next_head`] has not returned yet.
    pub fn pending_heads(&self) -> impl Iterator<Item = &ScannedHead> {
        self.heads.iter()
    }

    /// Returns whether the rest of the message that was last delivered by the HTTP library has not
    /// arrived yet, or its end is unknown.
    #[must_use]
    pub fn is_in_body(&self) -> bool {
        let is_at_head = matches!(self.position, Position::RequestLine | Position::Fields);
        self.heads.is_empty() && !is_at_head
    }

    /// Returns whether the last head that has begun to arrive is incomplete.
    #[must_use]
    pub fn is_in_head(&self) -> bool {
        match self.position {
            Position::RequestLine => self.line.has_begun(),
            Position::Fields => true,
            _ => false,
        }
    }

    /// Returns whether a body has a chunked encoding in which two recipients may find different
    /// ends.
    #[must_use]
    pub fn is_body_ambiguous(&self) -> bool {
        self.is_body_ambiguous
    }
}

/// Skips at most `left` bytes and returns how many are left to skip.
fn skip(bytes: &mut &[u8], left: u64) -> u64 {
    let skipped = usize::try_from(left).map_or(bytes.len(), |left| left.min(bytes.len()));
    *bytes = &bytes[skipped..];
    left - byte_count(skipped)
}

fn body_position(left: u64) -> Position {
    if left == 0 {
        Position::RequestLine
    } else {
        Position::Body(left)
    }
}
