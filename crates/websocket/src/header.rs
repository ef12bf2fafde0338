//! Parses frame headers (RFC 6455 5.2).

use crate::peer::Peer;
use crate::violation::Violation;

/// Longest header: two bytes, an eight-byte length and a four-byte mask key.
pub(crate) const MAX_HEADER_BYTES: usize = 14;
/// Bytes at the start of a header that determine its length.
const PREFIX_BYTES: usize = 2;
/// Length of the mask key in a client's frame, in bytes.
const MASK_KEY_BYTES: usize = 4;
/// Value of the length field if a two-byte length follows.
const LENGTH_16: u8 = 126;
/// Value of the length field if an eight-byte length follows.
const LENGTH_64: u8 = 127;

pub(crate) const FINAL_BIT: u8 = 0x80;
const RESERVED_BITS: u8 = 0x70;
/// The first reserved bit, which marks a compressed message (RFC 7692 6).
const COMPRESSED_BIT: u8 = 0x40;
pub(crate) const OPCODE_BITS: u8 = 0x0f;
pub(crate) const MASK_BIT: u8 = 0x80;
const LENGTH_BITS: u8 = 0x7f;

/// The fields of a frame header that the decoder needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    pub(crate) is_final: bool,
    pub(crate) opcode: u8,
    pub(crate) payload_bytes: u64,
}

impl FrameHeader {
    /// Returns whether the frame is the first of a message, which has opcode text or binary.
    pub(crate) fn starts_message(&self) -> bool {
        starts_message(self.opcode)
    }

    /// Parses a complete header, and checks its reserved bits, masking and length encoding.
    pub(crate) fn parse(
        bytes: &[u8],
        sender: Peer,
        allows_compression: bool,
    ) -> Result<Self, Violation> {
        let opcode = opcode(bytes);
        let may_be_compressed = allows_compression && starts_message(opcode);
        let allowed_bits = if may_be_compressed { COMPRESSED_BIT } else { 0 };
        if bytes[0] & RESERVED_BITS & !allowed_bits != 0 {
            return Err(Violation::ReservedBits);
        }
        if is_masked(bytes) != (sender == Peer::Client) {
            return Err(Violation::InvalidMasking);
        }
        let payload_bytes = payload_bytes(bytes)?;
        Ok(FrameHeader { is_final: bytes[0] & FINAL_BIT != 0, opcode, payload_bytes })
    }
}

fn starts_message(opcode: u8) -> bool {
    matches!(opcode, 1 | 2)
}

pub(crate) fn opcode(header: &[u8]) -> u8 {
    header[0] & OPCODE_BITS
}

/// Returns whether the mask bit is set.
pub(crate) fn is_masked(header: &[u8]) -> bool {
    header[1] & MASK_BIT != 0
}

/// Returns the length of a header in bytes, which the first two bytes determine. If `prefix` has
/// fewer than two bytes, returns 2.
pub(crate) fn header_bytes(prefix: &[u8]) -> usize {
    if prefix.len() < PREFIX_BYTES {
        return PREFIX_BYTES;
    }
    let length_bytes = match prefix[1] & LENGTH_BITS {
        LENGTH_16 => 2,
        LENGTH_64 => 8,
        _ => 0,
    };
    let mask_bytes = if is_masked(prefix) { MASK_KEY_BYTES } else { 0 };
    PREFIX_BYTES + length_bytes + mask_bytes
}

/// Parses the payload length, which must be minimally encoded.
fn payload_bytes(header: &[u8]) -> Result<u64, Violation> {
    let big_endian =
        |bytes: &[u8]| bytes.iter().fold(0u64, |number, byte| number << 8 | u64::from(*byte));
    let (length, min_length) = match header[1] & LENGTH_BITS {
        LENGTH_16 => (big_endian(&header[2..4]), u64::from(LENGTH_16)),
        LENGTH_64 => (big_endian(&header[2..10]), 1 << 16),
        short => (u64::from(short), 0),
    };
    if length < min_length || length >> 63 != 0 {
        return Err(Violation::InvalidLength);
    }
    Ok(length)
}
