//! Frames followed as they pass (RFC 6455 5): not one byte is changed, nothing is trusted, and
//! it is known at any time whether a frame of this side's own may go in between.

use crate::close::{self, Close};

/// Longest frame of control with its head.
const CONTROL_MAX: usize = 14 + CONTROL_PAYLOAD;
/// Longest payload of a frame of control (RFC 6455 5.5).
pub const CONTROL_PAYLOAD: usize = 125;
/// A message may have so many fragments, and one more for each so many of its bytes: fragments
/// without end cost work and bring nothing.
const FRAGMENTS: u64 = 1024;
const FRAGMENT_BYTES: u64 = 16;

/// Which end of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// Masks its frames (RFC 6455 5.3).
    Client,
    /// Masks none.
    Server,
}

impl Peer {
    /// The other one.
    pub fn other(self) -> Peer {
        match self {
            Peer::Client => Peer::Server,
            Peer::Server => Peer::Client,
        }
    }
}

/// How an end breaks the protocol, or what was agreed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Reserved bits without an extension that gives them a meaning.
    ReservedBits,
    /// An opcode that means nothing.
    Opcode,
    /// A client that does not mask, or a server that does.
    Masking,
    /// A length not in the fewest bytes, or over what a length may be.
    Length,
    /// A frame of control in fragments, or over 125 bytes.
    Control,
    /// A continuation of nothing, or a message within a message.
    Sequence,
    /// A close frame that is none: half a code, or one that must not be sent.
    CloseCode,
    /// A reason that is not UTF-8.
    CloseText,
    /// A message over the longest.
    TooLong,
    /// A message in very many very small fragments.
    Fragments,
}

impl Violation {
    /// The code that the end at fault is told (RFC 6455 7.4.1).
    pub fn code(self) -> u16 {
        match self {
            Violation::CloseText => close::NOT_TEXT,
            Violation::TooLong => close::TOO_LONG,
            Violation::Fragments => close::POLICY,
            _ => close::PROTOCOL,
        }
    }

    /// What it is told beside.
    pub fn reason(self) -> &'static str {
        match self {
            Violation::ReservedBits => "reserved bits are set",
            Violation::Opcode => "the opcode means nothing",
            Violation::Masking => "clients mask and servers do not",
            Violation::Length => "the length is not written as it must be",
            Violation::Control => "a frame of control is whole and short",
            Violation::Sequence => "fragments out of sequence",
            Violation::CloseCode => "the close code may not be sent",
            Violation::CloseText => "the close reason is no text",
            Violation::TooLong => "the message is longer than allowed",
            Violation::Fragments => "too many small fragments",
        }
    }
}

/// A frame of control that passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Control<'a> {
    /// With its payload, unmasked.
    Ping(&'a [u8]),
    /// With its payload, unmasked.
    Pong(&'a [u8]),
    /// With what it says.
    Close(Close<'a>),
}

/// What becomes of a frame of control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It goes on as it came.
    Pass,
    /// It ends here.
    Swallow,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// Gathering the head; it is held back until it is whole.
    Head,
    /// Within a data frame's payload, so many bytes before its end.
    Payload { left: u64 },
    /// Gathering a frame of control, of so many bytes in all.
    Control { whole: usize },
}

/// Follows what one end sends.
#[derive(Debug, Clone)]
pub struct FrameDecoder {
    from: Peer,
    /// Whether a set first reserved bit marks a compressed message (RFC 7692 6).
    deflate: bool,
    longest: u64,
    state: State,
    held: [u8; CONTROL_MAX],
    have: u8,
    /// Bytes and frames of the message that has begun.
    message: Option<(u64, u64)>,
    /// The frame under way is its last.
    last: bool,
    messages: u64,
}

impl FrameDecoder {
    /// At the start of what `from` sends. `deflate`: compressed messages were agreed on;
    /// `longest`: bytes that a message may have as it passes.
    pub fn new(from: Peer, deflate: bool, longest: u64) -> Self {
        FrameDecoder {
            from,
            deflate,
            longest,
            state: State::Head,
            held: [0; CONTROL_MAX],
            have: 0,
            message: None,
            last: false,
            messages: 0,
        }
    }

    /// Whether what has been passed on ends with a frame: one of this side's own may follow.
    pub fn between_frames(&self) -> bool {
        !matches!(self.state, State::Payload { .. })
    }

    /// Whether it ends with a message.
    pub fn between_messages(&self) -> bool {
        self.between_frames() && self.message.is_none()
    }

    /// Whether the bytes themselves end with a message, and no part of a head is held back.
    pub fn at_rest(&self) -> bool {
        self.between_messages() && self.have == 0
    }

    /// Whole messages that have passed.
    pub fn messages(&self) -> u64 {
        self.messages
    }

    /// Passes bytes on to `out`, up to a violation; heads and frames of control are held back
    /// until they are whole. `control` says what becomes of each of the latter.
    pub fn follow(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        control: impl FnMut(Control<'_>) -> Fate,
    ) -> Result<(), Violation> {
        self.follow_while(input, out, control, |_| true).map(|_| ())
    }

    /// The same up to the first place between two messages; how many bytes that took.
    pub fn follow_message(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        control: impl FnMut(Control<'_>) -> Fate,
    ) -> Result<usize, Violation> {
        self.follow_while(input, out, control, |at| !at.at_rest())
    }

    /// The same up to the end of the first message of all.
    pub fn follow_first(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Violation> {
        self.follow_while(input, out, |_| Fate::Pass, |at| at.messages == 0)
    }

    fn follow_while(
        &mut self,
        all: &[u8],
        out: &mut Vec<u8>,
        mut control: impl FnMut(Control<'_>) -> Fate,
        go_on: impl Fn(&Self) -> bool,
    ) -> Result<usize, Violation> {
        let mut input = all;
        while !input.is_empty() && go_on(self) {
            match self.state {
                State::Payload { left } => {
                    let count = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
                    let (part, rest) = input.split_at(count);
                    out.extend_from_slice(part);
                    input = rest;
                    self.passed(left - count as u64);
                }
                State::Head => {
                    let need = self.head_needs();
                    input = self.gather(input, need);
                    // Two bytes tell how many there are.
                    if usize::from(self.have) == need && self.head_needs() == need {
                        self.headed(out, &mut control)?;
                    }
                }
                State::Control { whole } => {
                    input = self.gather(input, whole);
                    if usize::from(self.have) == whole {
                        self.controlled(whole, out, &mut control)?;
                    }
                }
            }
        }
        Ok(all.len() - input.len())
    }

    /// Takes bytes into what is held back, until there are so many.
    fn gather<'i>(&mut self, input: &'i [u8], need: usize) -> &'i [u8] {
        let have = usize::from(self.have);
        let (part, rest) = input.split_at(input.len().min(need.saturating_sub(have)));
        self.held[have..have + part.len()].copy_from_slice(part);
        self.have += part.len() as u8;
        rest
    }

    /// Bytes of the head, as far as it can be told.
    fn head_needs(&self) -> usize {
        if self.have < 2 {
            return 2;
        }
        let length = match self.held[1] & 0x7f {
            126 => 2,
            127 => 8,
            _ => 0,
        };
        2 + length + if self.held[1] & 0x80 == 0 { 0 } else { 4 }
    }

    /// The payload's length; it must be in the fewest bytes (RFC 6455 5.2).
    fn length(&self) -> Result<u64, Violation> {
        let number = |bytes: &[u8]| bytes.iter().fold(0u64, |n, byte| n << 8 | u64::from(*byte));
        let (length, least) = match self.held[1] & 0x7f {
            126 => (number(&self.held[2..4]), 126),
            127 => (number(&self.held[2..10]), 1 << 16),
            short => (u64::from(short), 0),
        };
        if length < least || length >> 63 != 0 {
            return Err(Violation::Length);
        }
        Ok(length)
    }

    /// A head is whole.
    fn headed(
        &mut self,
        out: &mut Vec<u8>,
        control: &mut impl FnMut(Control<'_>) -> Fate,
    ) -> Result<(), Violation> {
        let (first, second) = (self.held[0], self.held[1]);
        let (fin, opcode) = (first & 0x80 != 0, first & 0x0f);
        let starts = matches!(opcode, 1 | 2);
        let allowed = if self.deflate && starts { 0x40 } else { 0 };
        if first & 0x70 & !allowed != 0 {
            return Err(Violation::ReservedBits);
        }
        if (second & 0x80 != 0) != (self.from == Peer::Client) {
            return Err(Violation::Masking);
        }
        let length = self.length()?;
        match opcode {
            0..=2 => {
                if starts == self.message.is_some() {
                    return Err(Violation::Sequence);
                }
                let (bytes, frames) = self.message.unwrap_or((0, 0));
                let (bytes, frames) = (bytes.saturating_add(length), frames + 1);
                if bytes > self.longest {
                    return Err(Violation::TooLong);
                }
                if frames > FRAGMENTS + bytes / FRAGMENT_BYTES {
                    return Err(Violation::Fragments);
                }
                self.message = Some((bytes, frames));
                self.last = fin;
                out.extend_from_slice(&self.held[..usize::from(self.have)]);
                self.have = 0;
                self.passed(length);
            }
            8..=10 => {
                if !fin || length > CONTROL_PAYLOAD as u64 {
                    return Err(Violation::Control);
                }
                let whole = usize::from(self.have) + length as usize;
                self.state = State::Control { whole };
                if length == 0 {
                    self.controlled(whole, out, control)?;
                }
            }
            _ => return Err(Violation::Opcode),
        }
        Ok(())
    }

    /// A data frame has so many bytes before its end.
    fn passed(&mut self, left: u64) {
        self.state = if left > 0 { State::Payload { left } } else { State::Head };
        if left == 0 && self.last {
            self.message = None;
            self.last = false;
            self.messages += 1;
        }
    }

    /// A frame of control is whole.
    fn controlled(
        &mut self,
        whole: usize,
        out: &mut Vec<u8>,
        control: &mut impl FnMut(Control<'_>) -> Fate,
    ) -> Result<(), Violation> {
        let masked = self.held[1] & 0x80 != 0;
        let at = if masked { 6 } else { 2 };
        let mut payload = [0; CONTROL_PAYLOAD];
        let payload = &mut payload[..whole - at];
        payload.copy_from_slice(&self.held[at..whole]);
        if masked {
            let key = [self.held[2], self.held[3], self.held[4], self.held[5]];
            mask(payload, key);
        }
        let seen = match self.held[0] & 0x0f {
            8 => Control::Close(Close::read(payload)?),
            9 => Control::Ping(payload),
            _ => Control::Pong(payload),
        };
        if control(seen) == Fate::Pass {
            out.extend_from_slice(&self.held[..whole]);
        }
        self.have = 0;
        self.state = State::Head;
        Ok(())
    }
}

/// Masks or unmasks a payload (RFC 6455 5.3).
fn mask(payload: &mut [u8], key: [u8; 4]) {
    payload.iter_mut().zip(key.iter().cycle()).for_each(|(byte, key)| *byte ^= key);
}

/// A frame of control of this side's own, as `from` would send it: a client masks with `key`.
/// What is over 125 bytes is cut.
pub fn control_frame(from: Peer, opcode: u8, payload: &[u8], key: [u8; 4], out: &mut Vec<u8>) {
    let payload = &payload[..payload.len().min(CONTROL_PAYLOAD)];
    let masked = from == Peer::Client;
    out.push(0x80 | opcode & 0x0f);
    out.push(payload.len() as u8 | if masked { 0x80 } else { 0 });
    if masked {
        out.extend_from_slice(&key);
    }
    let at = out.len();
    out.extend_from_slice(payload);
    if masked {
        mask(&mut out[at..], key);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn run(from: Peer, deflate: bool, bytes: &[u8]) -> (Result<(), Violation>, Vec<u8>) {
        let mut out = Vec::new();
        let mut follower = FrameDecoder::new(from, deflate, 1000);
        (follower.follow(bytes, &mut out, |_| Fate::Pass), out)
    }

    #[test]
    fn each_violation_is_told_and_nothing_behind_it_passes() {
        use Violation::*;
        let cases: &[(Peer, &[u8], Violation)] = &[
            (Peer::Server, &[0xc1, 0], ReservedBits),
            (Peer::Server, &[0xa1, 0], ReservedBits),
            (Peer::Server, &[0x91, 0], ReservedBits),
            (Peer::Server, &[0x83, 0], Opcode),
            (Peer::Server, &[0x8b, 0], Opcode),
            (Peer::Server, &[0x81, 0x80, 0, 0, 0, 0], Masking),
            (Peer::Client, &[0x81, 0], Masking),
            (Peer::Server, &[0x81, 126, 0, 125], Length),
            (Peer::Server, &[0x81, 127, 0, 0, 0, 0, 0, 0, 0xff, 0xff], Length),
            (Peer::Server, &[0x81, 127, 0x80, 0, 0, 0, 0, 0, 0, 0], Length),
            (Peer::Server, &[0x09, 0], Control),
            (Peer::Server, &[0x89, 126, 0, 126], Control),
            (Peer::Server, &[0x80, 0], Sequence),
            (Peer::Server, &[0x01, 0, 0x01, 0], Sequence),
            (Peer::Server, &[0x88, 1, 3], CloseCode),
            (Peer::Server, &[0x88, 2, 3, 0xed], CloseCode),
            (Peer::Server, &[0x88, 2, 0, 1], CloseCode),
            (Peer::Server, &[0x88, 3, 3, 0xe8, 0xff], CloseText),
            (Peer::Server, &[0x82, 126, 3, 0xe9], TooLong),
            (Peer::Server, &[0x82, 127, 0, 0, 0, 0, 4, 0, 0, 0], TooLong),
        ];
        for (from, bytes, violation) in cases {
            // The same before and behind a good frame.
            let good: &[u8] = match from {
                Peer::Server => &[0x82, 1, 7],
                Peer::Client => &[0x82, 0x81, 1, 2, 3, 4, 6],
            };
            let (end, out) = run(*from, false, &[good, bytes, good].concat());
            assert_eq!(end, Err(*violation), "{bytes:x?}");
            assert!(out.starts_with(good), "{bytes:x?}");
            assert!(out.len() < good.len() + bytes.len().max(3), "{bytes:x?}: {out:x?}");
        }
        assert_eq!(run(Peer::Server, true, &[0xc1, 0]).0, Ok(()));
        assert_eq!(run(Peer::Server, true, &[0xe1, 0]).0, Err(ReservedBits));
        assert_eq!(run(Peer::Server, true, &[0x41, 0, 0xc0, 0]).0, Err(ReservedBits));
        assert_eq!(run(Peer::Server, true, &[0xc9, 0]).0, Err(ReservedBits));
    }

    #[test]
    fn fragments_without_end_come_to_one() {
        let mut follower = FrameDecoder::new(Peer::Server, false, u64::MAX);
        let mut out = Vec::new();
        follower.follow(&[1, 0], &mut out, |_| Fate::Pass).unwrap();
        let empty = [0; 2].repeat(FRAGMENTS as usize - 1);
        assert_eq!(follower.follow(&empty, &mut out, |_| Fate::Pass), Ok(()));
        let more = follower.follow(&[0, 0], &mut out, |_| Fate::Pass);
        assert_eq!(more, Err(Violation::Fragments));
        assert_eq!(out.len(), 2 * FRAGMENTS as usize);
        // Those that bring something go on.
        let mut follower = FrameDecoder::new(Peer::Server, false, u64::MAX);
        let frame = [&[0, 16][..], &[7; 16]].concat();
        follower.follow(&[1, 0], &mut out, |_| Fate::Pass).unwrap();
        assert_eq!(follower.follow(&frame.repeat(20_000), &mut out, |_| Fate::Pass), Ok(()));
    }

    #[test]
    fn frames_of_control_are_seen_unmasked_and_swallowed_whole() {
        let mut bytes = vec![0x02, 0x81, 9, 9, 9, 9, 1];
        control_frame(Peer::Client, 9, b"ping", [1, 2, 3, 4], &mut bytes);
        let mut all = bytes.clone();
        control_frame(Peer::Client, 10, b"ours", [5, 6, 7, 8], &mut all);
        all.extend([0x80, 0x80, 9, 9, 9, 9]);
        let mut follower = FrameDecoder::new(Peer::Client, false, 10);
        let (mut out, mut seen) = (Vec::new(), Vec::new());
        for byte in &all {
            follower
                .follow(&[*byte], &mut out, |control| match control {
                    Control::Pong(payload) => {
                        seen.push(payload.to_vec());
                        Fate::Swallow
                    }
                    Control::Ping(payload) => {
                        seen.push(payload.to_vec());
                        Fate::Pass
                    }
                    Control::Close(_) => Fate::Pass,
                })
                .unwrap();
        }
        assert_eq!(seen, [b"ping".to_vec(), b"ours".to_vec()]);
        bytes.extend([0x80, 0x80, 9, 9, 9, 9]);
        assert_eq!(out, bytes);
        assert!(follower.between_messages());
        assert_eq!(follower.messages(), 1);
    }
}
