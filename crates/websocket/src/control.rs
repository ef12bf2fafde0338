//! Writes control frames (RFC 6455 5.5) and masks payloads (RFC 6455 5.3).

use crate::header::{FINAL_BIT, MASK_BIT, OPCODE_BITS};
use crate::peer::Peer;

/// Longest payload of a control frame, as encoded in the header.
const MAX_CONTROL_LENGTH: u8 = 125;
/// Longest payload of a control frame, in bytes (RFC 6455 5.5).
pub(crate) const MAX_CONTROL_PAYLOAD_BYTES: usize = MAX_CONTROL_LENGTH as usize;

/// Opcode of a close frame (RFC 6455 5.2).
pub(crate) const OPCODE_CLOSE: u8 = 8;
/// Opcode of a ping (RFC 6455 5.2).
pub const OPCODE_PING: u8 = 9;
/// Opcode of a pong (RFC 6455 5.2).
pub const OPCODE_PONG: u8 = 10;

/// Appends a control frame to `out`, masked with `mask_key` if `sender` is a client. A payload over
/// 125 bytes is truncated.
pub fn write_control_frame(
    sender: Peer,
    opcode: u8,
    payload: &[u8],
    mask_key: [u8; 4],
    out: &mut Vec<u8>,
) {
    let length = u8::try_from(payload.len()).unwrap_or(u8::MAX).min(MAX_CONTROL_LENGTH);
    let payload = &payload[..usize::from(length)];
    let is_masked = sender == Peer::Client;
    out.push(FINAL_BIT | opcode & OPCODE_BITS);
    out.push(length | if is_masked { MASK_BIT } else { 0 });
    if is_masked {
        out.extend_from_slice(&mask_key);
    }
    let payload_start = out.len();
    out.extend_from_slice(payload);
    if is_masked {
        apply_mask(&mut out[payload_start..], mask_key);
    }
}

/// Masks or unmasks a payload (RFC 6455 5.3).
pub(crate) fn apply_mask(payload: &mut [u8], mask_key: [u8; 4]) {
    payload.iter_mut().zip(mask_key.iter().cycle()).for_each(|(byte, key)| *byte ^= key);
}
