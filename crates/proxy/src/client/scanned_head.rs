//! What the scanner finds in the head of a request: its framing, and whether two recipients might
//! parse it differently.

/// Maximum number of digits in a Content-Length, so that it fits a `u64`.
const LENGTH_DIGITS_MAX: usize = 18;
/// The framing headers of a head, which determine where the body ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Framings {
    /// Whether the head has a Content-Length header.
    pub content_length: bool,
    /// Whether the head has a Transfer-Encoding header.
    pub transfer_encoding: bool,
}

/// A reason why two recipients might parse a head differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ambiguity {
    /// A line does not end in CR LF, or contains another line break.
    BareLineBreak,
    /// A header line begins with space.
    FoldedLine,
    /// A header line has no colon.
    NoColon,
    /// A header name is empty or has space about it.
    SpaceAboutName,
    /// There are several Content-Length headers.
    RepeatedContentLength,
    /// A Content-Length is not a number, or is too large.
    InvalidContentLength,
    /// A Transfer-Encoding is repeated or is not `chunked`.
    TransferEncoding,
    /// There are a Content-Length and a Transfer-Encoding.
    FramedTwice,
    /// The head comes behind a message whose end is unknown, and was not scanned.
    Unscanned,
}

impl Ambiguity {
    /// Returns the reason as text for people.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Ambiguity::BareLineBreak => "a line break that is none",
            Ambiguity::FoldedLine => "a folded header line",
            Ambiguity::NoColon => "a header line without a colon",
            Ambiguity::SpaceAboutName => "space about a header's name",
            Ambiguity::RepeatedContentLength => "two Content-Length",
            Ambiguity::InvalidContentLength => "a Content-Length that is no length",
            Ambiguity::TransferEncoding => "a Transfer-Encoding other than chunked",
            Ambiguity::FramedTwice => "Content-Length and Transfer-Encoding",
            Ambiguity::Unscanned => "it comes behind what can't be read",
        }
    }
}

/// The result of scanning the head of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ScannedHead {
    /// The headers in the head that state where the body ends.
    pub framings: Framings,
    /// The first reason why two recipients might parse the head differently; `None` if they cannot.
    pub ambiguity: Option<Ambiguity>,
}

impl ScannedHead {
    /// Returns whether the head has both a Content-Length and a Transfer-Encoding header.
    #[must_use]
    pub fn is_framed_twice(&self) -> bool {
        self.framings.content_length && self.framings.transfer_encoding
    }

    /// Returns whether the head was scanned: no earlier message on the connection has an unknown
    /// end.
    #[must_use]
    pub fn is_scanned(&self) -> bool {
        self.ambiguity != Some(Ambiguity::Unscanned)
    }
}

/// A head of which some lines have been scanned.
#[derive(Debug, Default)]
pub(super) struct PartialHead {
    pub(super) head: ScannedHead,
    pub(super) content_length: Option<u64>,
}

impl PartialHead {
    /// Records why the head is ambiguous, unless another reason is recorded.
    pub(super) fn mark_ambiguous(&mut self, reason: Ambiguity) {
        self.head.ambiguity.get_or_insert(reason);
    }

    /// Reads a line with a header field.
    pub(super) fn read_field(&mut self, line: &[u8]) {
        if line.first().is_some_and(|byte| *byte == b' ' || *byte == b'\t') {
            return self.mark_ambiguous(Ambiguity::FoldedLine);
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return self.mark_ambiguous(Ambiguity::NoColon);
        };
        let name = &line[..colon];
        let value = line[colon + 1..].trim_ascii();
        if name.trim_ascii() != name || name.is_empty() {
            self.mark_ambiguous(Ambiguity::SpaceAboutName);
        }
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.read_content_length(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.read_transfer_encoding(value);
        }
    }

    fn read_content_length(&mut self, value: &[u8]) {
        let is_number = value.iter().all(u8::is_ascii_digit) && !value.is_empty();
        if self.head.framings.content_length {
            self.mark_ambiguous(Ambiguity::RepeatedContentLength);
        } else if !is_number || value.len() > LENGTH_DIGITS_MAX {
            self.mark_ambiguous(Ambiguity::InvalidContentLength);
        }
        self.head.framings.content_length = true;
        self.content_length =
            std::str::from_utf8(value).ok().and_then(|digits| digits.parse().ok());
    }

    fn read_transfer_encoding(&mut self, value: &[u8]) {
        if self.head.framings.transfer_encoding || !value.eq_ignore_ascii_case(b"chunked") {
            self.mark_ambiguous(Ambiguity::TransferEncoding);
        }
        self.head.framings.transfer_encoding = true;
    }
}
