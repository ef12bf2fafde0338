//! Parses the control frames that a peer sends.

use crate::close::CloseFrame;
use crate::control::{apply_mask, MAX_CONTROL_PAYLOAD_BYTES, OPCODE_CLOSE, OPCODE_PING};
use crate::header::{header_bytes, is_masked, opcode};
use crate::violation::Violation;

/// A complete control frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlFrame<'a> {
    /// A ping with its unmasked payload.
    Ping(&'a [u8]),
    /// A pong with its unmasked payload.
    Pong(&'a [u8]),
    /// A close frame with its code and reason.
    Close(CloseFrame<'a>),
}

/// The proxy's treatment of a control frame that a peer sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlAction {
    /// Forwards the frame unchanged to the other peer.
    Forward,
    /// Does not forward the frame to the other peer.
    Discard,
}

impl<'a> ControlFrame<'a> {
    /// Parses a complete control frame. Writes the unmasked payload to `payload`.
    pub(super) fn parse(
        frame: &[u8],
        payload: &'a mut [u8; MAX_CONTROL_PAYLOAD_BYTES],
    ) -> Result<Self, Violation> {
        let (header, masked_payload) = frame.split_at(header_bytes(frame));
        let payload = &mut payload[..masked_payload.len()];
        payload.copy_from_slice(masked_payload);
        if is_masked(header) {
            apply_mask(payload, [header[2], header[3], header[4], header[5]]);
        }
        Ok(match opcode(header) {
            OPCODE_CLOSE => ControlFrame::Close(CloseFrame::parse(payload)?),
            OPCODE_PING => ControlFrame::Ping(payload),
            _ => ControlFrame::Pong(payload),
        })
    }
}
