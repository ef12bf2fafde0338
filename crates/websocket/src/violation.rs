//! Protocol violations and the close codes they are answered with.

use crate::close_code;

/// A peer's violation of the protocol, of a limit, or of the negotiated terms.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum Violation {
    /// Reserved bits are set that no negotiated extension defines.
    ReservedBits,
    /// The opcode is reserved.
    ReservedOpcode,
    /// A client's frame is not masked, or a server's frame is.
    InvalidMasking,
    /// The payload length is not minimally encoded, or exceeds 2^63 - 1.
    InvalidLength,
    /// A control frame is fragmented, or its payload exceeds 125 bytes.
    InvalidControlFrame,
    /// A continuation frame without a message in progress, or a new message within another.
    InvalidFragmentOrder,
    /// A close frame has a truncated code, or one that must not be sent.
    InvalidCloseCode,
    /// A close reason is not valid UTF-8.
    InvalidCloseReason,
    /// A message exceeds the size limit.
    MessageTooLong,
    /// A message has too many small fragments.
    TooManyFragments,
}

impl Violation {
    /// Returns the close code sent to the violating peer (RFC 6455 7.4.1).
    #[must_use]
    pub fn close_code(self) -> u16 {
        match self {
            Violation::InvalidCloseReason => close_code::INVALID_PAYLOAD,
            Violation::MessageTooLong => close_code::MESSAGE_TOO_BIG,
            Violation::TooManyFragments => close_code::POLICY_VIOLATION,
            _ => close_code::PROTOCOL_ERROR,
        }
    }

    /// Returns the close reason sent to the violating peer.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Violation::ReservedBits => "reserved bits are set",
            Violation::ReservedOpcode => "the opcode means nothing",
            Violation::InvalidMasking => "clients mask and servers do not",
            Violation::InvalidLength => "the length is not written as it must be",
            Violation::InvalidControlFrame => "a frame of control is whole and short",
            Violation::InvalidFragmentOrder => "fragments out of sequence",
            Violation::InvalidCloseCode => "the close code may not be sent",
            Violation::InvalidCloseReason => "the close reason is no text",
            Violation::MessageTooLong => "the message is longer than allowed",
            Violation::TooManyFragments => "too many small fragments",
        }
    }
}
