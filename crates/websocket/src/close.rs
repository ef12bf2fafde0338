//! Parses and writes close frames (RFC 6455 5.5.1), and formats close reasons for clients.

use crate::close_code;
use crate::control::{write_control_frame, MAX_CONTROL_PAYLOAD_BYTES, OPCODE_CLOSE};
use crate::peer::Peer;
use crate::violation::Violation;

/// Length of the close code at the start of the payload, in bytes.
const CODE_BYTES: usize = 2;

/// The content of a close frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CloseFrame<'a> {
    /// The close code; [`close_code::NO_STATUS_RECEIVED`] if the payload is empty.
    pub code: u16,
    /// The human-readable close reason.
    pub reason: &'a str,
}

impl<'a> CloseFrame<'a> {
    /// Parses the unmasked payload of a close frame.
    ///
    /// # Errors
    ///
    /// [`Violation::InvalidCloseCode`] if the code is truncated or must not be sent,
    /// [`Violation::InvalidCloseReason`] if the reason is not valid UTF-8.
    pub fn parse(payload: &'a [u8]) -> Result<Self, Violation> {
        let (code, reason) = match payload {
            [] => return Ok(CloseFrame { code: close_code::NO_STATUS_RECEIVED, reason: "" }),
            [_] => return Err(Violation::InvalidCloseCode),
            [high, low, reason @ ..] => (u16::from_be_bytes([*high, *low]), reason),
        };
        if !close_code::is_sendable(code) {
            return Err(Violation::InvalidCloseCode);
        }
        let reason = std::str::from_utf8(reason).map_err(|_| Violation::InvalidCloseReason)?;
        Ok(CloseFrame { code, reason })
    }

    /// Appends the frame to `out`, masked with `mask_key` if `sender` is a client. A reason that is
    /// too long is truncated at a character boundary.
    pub fn write(&self, sender: Peer, mask_key: [u8; 4], out: &mut Vec<u8>) {
        if self.code == close_code::NO_STATUS_RECEIVED {
            return write_control_frame(sender, OPCODE_CLOSE, &[], mask_key, out);
        }
        let max_reason_bytes = MAX_CONTROL_PAYLOAD_BYTES - CODE_BYTES;
        let reason = &self.reason[..self.reason.floor_char_boundary(max_reason_bytes)];
        let mut payload = self.code.to_be_bytes().to_vec();
        payload.extend_from_slice(reason.as_bytes());
        write_control_frame(sender, OPCODE_CLOSE, &payload, mask_key, out);
    }
}

/// Appends to a close reason that the client may reconnect after `retry_after_s` seconds. Returns
/// the reason unchanged if `retry_after_s` is 0.
#[must_use]
pub fn reason_with_retry(reason: &str, retry_after_s: u64) -> String {
    match retry_after_s {
        0 => reason.to_string(),
        seconds => format!("{reason}; come back in {seconds} s"),
    }
}
