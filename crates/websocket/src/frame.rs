//! Forwards the frames of one peer as they come (RFC 6455 5): checks them without changing a byte,
//! and knows at any time whether a frame of the proxy's own may go in between.

use crate::close::CloseFrame;
use crate::control::{apply_mask, MAX_CONTROL_PAYLOAD_BYTES, OPCODE_CLOSE, OPCODE_PING};
use crate::header::{header_bytes, is_masked, FrameHeader, MAX_HEADER_BYTES};
use crate::peer::Peer;
use crate::violation::Violation;

/// Longest control frame with its header.
const MAX_CONTROL_FRAME_BYTES: usize = MAX_HEADER_BYTES + MAX_CONTROL_PAYLOAD_BYTES;
/// A message may have so many fragments, and one more for each [`BYTES_PER_FRAGMENT`]: fragments
/// without end cost work and carry nothing.
pub const MAX_FRAGMENTS: u64 = 1024;
/// Bytes of a message for which it may have one fragment more.
pub const BYTES_PER_FRAGMENT: u64 = 16;

/// A complete control frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlFrame<'a> {
    /// A ping with its payload, unmasked.
    Ping(&'a [u8]),
    /// A pong with its payload, unmasked.
    Pong(&'a [u8]),
    /// A close frame.
    Close(CloseFrame<'a>),
}

/// What is done with a control frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControlAction {
    /// It is forwarded as it came.
    Forward,
    /// It is dropped.
    Discard,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// Buffering a header, which is not forwarded before it is complete.
    Header,
    /// Within the payload of a data frame.
    Payload { remaining_bytes: u64 },
    /// Buffering a control frame of so many bytes in all.
    Control { frame_bytes: usize },
}

/// The message that a peer is sending.
#[derive(Debug, Clone, Copy)]
struct MessageProgress {
    bytes: u64,
    fragments: u64,
}

/// Checks and forwards what one peer sends.
#[derive(Debug, Clone)]
pub struct FrameDecoder {
    sender: Peer,
    /// Whether the first reserved bit marks a compressed message (RFC 7692 6).
    allows_compression: bool,
    max_message_bytes: u64,
    state: State,
    /// The start of a header or control frame that is not complete yet.
    buffer: [u8; MAX_CONTROL_FRAME_BYTES],
    buffered_bytes: u8,
    message: Option<MessageProgress>,
    /// Whether the current data frame is the last of its message.
    is_final_frame: bool,
    completed_messages: u64,
}

impl FrameDecoder {
    /// A decoder at the start of what `sender` sends. `allows_compression`: compression was
    /// negotiated; `max_message_bytes`: the longest message, as it is on the wire.
    pub fn new(sender: Peer, allows_compression: bool, max_message_bytes: u64) -> Self {
        FrameDecoder {
            sender,
            allows_compression,
            max_message_bytes,
            state: State::Header,
            buffer: [0; MAX_CONTROL_FRAME_BYTES],
            buffered_bytes: 0,
            message: None,
            is_final_frame: false,
            completed_messages: 0,
        }
    }

    /// Whether what was forwarded ends with a frame, so that a frame of the proxy may follow.
    pub fn is_between_frames(&self) -> bool {
        !matches!(self.state, State::Payload { .. })
    }

    /// Whether what was forwarded ends with a message.
    pub fn is_between_messages(&self) -> bool {
        self.is_between_frames() && self.message.is_none()
    }

    /// Whether what was received ends with a message, and no part of a frame is buffered.
    pub fn is_at_message_boundary(&self) -> bool {
        self.is_between_messages() && self.buffered_bytes == 0
    }

    /// How many complete messages were forwarded.
    pub fn completed_messages(&self) -> u64 {
        self.completed_messages
    }

    /// Forwards bytes to `out`, up to a violation. Headers and control frames are buffered until
    /// they are complete; `on_control` decides about each of the latter.
    ///
    /// # Errors
    ///
    /// How the peer violates the protocol. Nothing more of it can be decoded.
    pub fn forward(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        on_control: impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<(), Violation> {
        self.forward_while(input, out, on_control, |_| true).map(|_| ())
    }

    /// Forwards bytes up to the first boundary between two messages, and returns how many bytes
    /// that took.
    ///
    /// # Errors
    ///
    /// Those of [`Self::forward`].
    pub fn forward_to_boundary(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        on_control: impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<usize, Violation> {
        self.forward_while(input, out, on_control, |decoder| !decoder.is_at_message_boundary())
    }

    /// Forwards bytes up to the end of the peer's first message, and returns how many bytes that
    /// took.
    ///
    /// # Errors
    ///
    /// Those of [`Self::forward`].
    pub fn forward_first_message(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<usize, Violation> {
        let on_control = |_: ControlFrame<'_>| ControlAction::Forward;
        self.forward_while(input, out, on_control, |decoder| decoder.completed_messages == 0)
    }

    fn forward_while(
        &mut self,
        all: &[u8],
        out: &mut Vec<u8>,
        mut on_control: impl FnMut(ControlFrame<'_>) -> ControlAction,
        goes_on: impl Fn(&Self) -> bool,
    ) -> Result<usize, Violation> {
        let mut input = all;
        while !input.is_empty() && goes_on(self) {
            input = match self.state {
                State::Payload { remaining_bytes } => {
                    self.forward_payload(input, remaining_bytes, out)
                }
                State::Header => self.read_header(input, out, &mut on_control)?,
                State::Control { frame_bytes } => {
                    self.read_control_frame(input, frame_bytes, out, &mut on_control)?
                }
            };
        }
        Ok(all.len() - input.len())
    }

    /// Forwards payload, and returns the input behind it.
    fn forward_payload<'i>(
        &mut self,
        input: &'i [u8],
        remaining_bytes: u64,
        out: &mut Vec<u8>,
    ) -> &'i [u8] {
        let count = usize::try_from(remaining_bytes).unwrap_or(usize::MAX).min(input.len());
        let (payload, remaining) = input.split_at(count);
        out.extend_from_slice(payload);
        self.expect_payload(remaining_bytes - count as u64);
        remaining
    }

    /// Buffers header bytes, begins the frame if the header is complete, and returns the input
    /// behind.
    fn read_header<'i>(
        &mut self,
        input: &'i [u8],
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<&'i [u8], Violation> {
        let needed_bytes = header_bytes(self.buffered());
        let remaining = self.fill_buffer(input, needed_bytes);
        // The first two bytes tell how many there are.
        let is_complete = usize::from(self.buffered_bytes) == needed_bytes
            && header_bytes(self.buffered()) == needed_bytes;
        if is_complete {
            self.begin_frame(out, on_control)?;
        }
        Ok(remaining)
    }

    /// Buffers bytes of a control frame, handles it if it is complete, and returns the input
    /// behind.
    fn read_control_frame<'i>(
        &mut self,
        input: &'i [u8],
        frame_bytes: usize,
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<&'i [u8], Violation> {
        let remaining = self.fill_buffer(input, frame_bytes);
        if usize::from(self.buffered_bytes) == frame_bytes {
            self.end_control_frame(out, on_control)?;
        }
        Ok(remaining)
    }

    fn buffered(&self) -> &[u8] {
        &self.buffer[..usize::from(self.buffered_bytes)]
    }

    /// Moves input into the buffer until that has `needed_bytes`, and returns the input behind.
    fn fill_buffer<'i>(&mut self, input: &'i [u8], needed_bytes: usize) -> &'i [u8] {
        let start = usize::from(self.buffered_bytes);
        let (part, remaining) = input.split_at(input.len().min(needed_bytes.saturating_sub(start)));
        self.buffer[start..start + part.len()].copy_from_slice(part);
        self.buffered_bytes += part.len() as u8;
        remaining
    }

    /// Begins the frame whose header is complete in the buffer.
    fn begin_frame(
        &mut self,
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<(), Violation> {
        let header = FrameHeader::parse(self.buffered(), self.sender, self.allows_compression)?;
        match header.opcode {
            0..=2 => self.begin_data_frame(header, out),
            8..=10 => self.begin_control_frame(header, out, on_control),
            _ => Err(Violation::Opcode),
        }
    }

    fn begin_data_frame(
        &mut self,
        header: FrameHeader,
        out: &mut Vec<u8>,
    ) -> Result<(), Violation> {
        if header.starts_message() == self.message.is_some() {
            return Err(Violation::Sequence);
        }
        let before = self.message.unwrap_or(MessageProgress { bytes: 0, fragments: 0 });
        let message = MessageProgress {
            bytes: before.bytes.saturating_add(header.payload_bytes),
            fragments: before.fragments + 1,
        };
        if message.bytes > self.max_message_bytes {
            return Err(Violation::TooLong);
        }
        if message.fragments > MAX_FRAGMENTS + message.bytes / BYTES_PER_FRAGMENT {
            return Err(Violation::Fragments);
        }
        self.message = Some(message);
        self.is_final_frame = header.is_final;
        out.extend_from_slice(self.buffered());
        self.buffered_bytes = 0;
        self.expect_payload(header.payload_bytes);
        Ok(())
    }

    fn begin_control_frame(
        &mut self,
        header: FrameHeader,
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<(), Violation> {
        if !header.is_final || header.payload_bytes > MAX_CONTROL_PAYLOAD_BYTES as u64 {
            return Err(Violation::Control);
        }
        if header.payload_bytes == 0 {
            return self.end_control_frame(out, on_control);
        }
        let frame_bytes = usize::from(self.buffered_bytes) + header.payload_bytes as usize;
        self.state = State::Control { frame_bytes };
        Ok(())
    }

    /// Expects so many bytes more of the current data frame. Ends the frame if there are none.
    fn expect_payload(&mut self, remaining_bytes: u64) {
        if remaining_bytes > 0 {
            self.state = State::Payload { remaining_bytes };
            return;
        }
        self.state = State::Header;
        if self.is_final_frame {
            self.message = None;
            self.is_final_frame = false;
            self.completed_messages += 1;
        }
    }

    /// Handles the control frame that is complete in the buffer.
    fn end_control_frame(
        &mut self,
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<(), Violation> {
        let frame = self.buffered();
        let (header, masked_payload) = frame.split_at(header_bytes(frame));
        let mut payload = [0; MAX_CONTROL_PAYLOAD_BYTES];
        let payload = &mut payload[..masked_payload.len()];
        payload.copy_from_slice(masked_payload);
        if is_masked(header) {
            apply_mask(payload, [header[2], header[3], header[4], header[5]]);
        }
        let control_frame = match header[0] & 0x0f {
            OPCODE_CLOSE => ControlFrame::Close(CloseFrame::parse(payload)?),
            OPCODE_PING => ControlFrame::Ping(payload),
            _ => ControlFrame::Pong(payload),
        };
        if on_control(control_frame) == ControlAction::Forward {
            out.extend_from_slice(frame);
        }
        self.buffered_bytes = 0;
        self.state = State::Header;
        Ok(())
    }
}
