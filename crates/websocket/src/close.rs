//! Close frames: which codes may be sent, and what this side says (RFC 6455 5.5.1, 7.4).

use crate::frame::{control_frame, Peer, Violation, CONTROL_PAYLOAD};

/// All is done.
pub const NORMAL: u16 = 1000;
/// The end goes away.
pub const GOING_AWAY: u16 = 1001;
/// The protocol is broken.
pub const PROTOCOL: u16 = 1002;
/// What is to be text is not UTF-8.
pub const NOT_TEXT: u16 = 1007;
/// Something that is not allowed here.
pub const POLICY: u16 = 1008;
/// A message is too long.
pub const TOO_LONG: u16 = 1009;
/// The service restarts: come back (IANA's WebSocket close codes).
pub const RESTART: u16 = 1012;
/// Come back later (IANA's WebSocket close codes).
pub const TRY_LATER: u16 = 1013;
/// Something unexpected on the side of the server.
pub const UNEXPECTED: u16 = 1011;
/// Nothing was sent: for the figures only.
pub const NO_STATUS: u16 = 1005;
/// The connection broke: for the figures only.
pub const ABNORMAL: u16 = 1006;

const OPCODE: u8 = 8;

/// What a close frame says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Close<'a> {
    /// [`NO_STATUS`] if it says nothing.
    pub code: u16,
    /// For people.
    pub reason: &'a str,
}

impl<'a> Close<'a> {
    /// Reads a payload.
    pub fn read(payload: &'a [u8]) -> Result<Self, Violation> {
        let (code, reason) = match payload {
            [] => return Ok(Close { code: NO_STATUS, reason: "" }),
            [_] => return Err(Violation::CloseCode),
            [high, low, reason @ ..] => (u16::from_be_bytes([*high, *low]), reason),
        };
        if !may_be_sent(code) {
            return Err(Violation::CloseCode);
        }
        let reason = std::str::from_utf8(reason).map_err(|_| Violation::CloseText)?;
        Ok(Close { code, reason })
    }

    /// Writes a frame as `from` would; a reason that is too long is cut between characters.
    pub fn write(&self, from: Peer, key: [u8; 4], out: &mut Vec<u8>) {
        if self.code == NO_STATUS {
            return control_frame(from, OPCODE, &[], key, out);
        }
        let mut reason = self.reason;
        while reason.len() > CONTROL_PAYLOAD - 2 {
            let mut cut = CONTROL_PAYLOAD - 2;
            while !reason.is_char_boundary(cut) {
                cut -= 1;
            }
            reason = &reason[..cut];
        }
        let mut payload = self.code.to_be_bytes().to_vec();
        payload.extend_from_slice(reason.as_bytes());
        control_frame(from, OPCODE, &payload, key, out);
    }
}

/// Whether a code may stand in a close frame (RFC 6455 7.4, and those registered since).
fn may_be_sent(code: u16) -> bool {
    matches!(code, 1000..=1003 | 1007..=1014 | 3000..=4999)
}

/// What a client that is sent away is told: the seconds after which it may come back.
pub fn reason_with_retry(why: &str, seconds: u64) -> String {
    match seconds {
        0 => why.to_string(),
        n => format!("{why}; come back in {n} s"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reasons_are_cut_between_characters() {
        let reason = "é".repeat(100);
        let mut out = Vec::new();
        Close { code: RESTART, reason: &reason }.write(Peer::Server, [0; 4], &mut out);
        assert_eq!(out[1], 124);
        let read = Close::read(&out[2..]).unwrap();
        assert_eq!((read.code, read.reason.chars().count()), (RESTART, 61));
        let mut out = Vec::new();
        Close { code: NO_STATUS, reason: "" }.write(Peer::Server, [0; 4], &mut out);
        assert_eq!(out, [0x88, 0]);
        assert_eq!(reason_with_retry("it has gone", 3), "it has gone; come back in 3 s");
    }
}
