//! Buffers one line of an HTTP message as it arrives, up to a maximum length.

/// Maximum number of bytes of a line that are buffered: enough for the fields that are checked.
const LINE_MAX: usize = 256;

/// The received part of a line.
#[derive(Debug, Default)]
pub(super) struct LineBuffer {
    bytes: Vec<u8>,
    /// Whether the line is longer than the buffered part.
    is_truncated: bool,
    /// Whether the last received byte is a carriage return.
    ends_with_cr: bool,
}

/// A complete line, without its line break.
pub(super) struct Line {
    pub(super) bytes: Vec<u8>,
    /// Whether the line ended in CR LF.
    pub(super) ends_in_crlf: bool,
}

impl LineBuffer {
    /// Appends received bytes to the buffered line, up to the maximum length.
    pub(super) fn push(&mut self, part: &[u8]) {
        let capacity = LINE_MAX - self.bytes.len();
        self.ends_with_cr = part.last().map_or(self.ends_with_cr, |byte| *byte == b'\r');
        self.bytes.extend_from_slice(&part[..part.len().min(capacity)]);
        self.is_truncated |= part.len() > capacity;
    }

    /// Returns whether a byte of a line that is not empty has arrived.
    pub(super) fn has_begun(&self) -> bool {
        !self.bytes.is_empty() && self.bytes != b"\r"
    }

    /// Returns the line after its line feed has arrived.
    pub(super) fn take_line(&mut self) -> Line {
        let mut bytes = std::mem::take(&mut self.bytes);
        let is_truncated = std::mem::take(&mut self.is_truncated);
        let ends_in_crlf = std::mem::take(&mut self.ends_with_cr);
        if ends_in_crlf && !is_truncated {
            bytes.pop();
        }
        Line { bytes, ends_in_crlf }
    }

    /// Reuses the allocation of a line for the next one.
    pub(super) fn recycle(&mut self, line: Line) {
        self.bytes = line.bytes;
        self.bytes.clear();
    }
}

impl Line {
    /// Returns whether the line is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns whether the line contains or ends in a line break other than CR LF. If a bare line
    /// feed ends a line for one recipient but not for another, they parse different fields (RFC
    /// 9112 2.2).
    pub(super) fn has_bare_break(&self) -> bool {
        self.bytes.contains(&b'\r') || !self.ends_in_crlf
    }
}
