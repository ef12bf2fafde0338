//! Checks the frames of one peer (RFC 6455 5) and forwards them unchanged as they arrive. Tracks
//! frame boundaries, where the proxy may insert frames of its own.

mod buffer;
mod control_frame;
mod message;

pub use control_frame::{ControlAction, ControlFrame};
pub use message::MAX_FRAGMENTS;

use crate::control::MAX_CONTROL_PAYLOAD_BYTES;
use crate::header::{header_bytes, FrameHeader};
use crate::peer::Peer;
use crate::violation::Violation;
use buffer::FrameBuffer;
use message::MessageProgress;

/// The part of a frame that the decoder reads next from the sender's bytes.
#[derive(Debug, Clone, Copy)]
enum State {
    /// Buffers a header, which is only forwarded once it is complete.
    Header,
    /// Forwards the payload of a data frame.
    Payload { remaining_bytes: u64 },
    /// Buffers a control frame, whose length includes its header.
    Control { frame_bytes: usize },
}

/// Checks and forwards the frames that one peer sends.
#[derive(Debug, Clone)]
pub struct FrameDecoder {
    sender: Peer,
    /// Whether the first reserved bit is allowed, as it marks a compressed message (RFC 7692 6).
    allows_compression: bool,
    max_message_bytes: u64,
    state: State,
    /// The received part of an incomplete header or control frame.
    buffer: FrameBuffer,
    /// Payload bytes and fragments of the message in progress; `None` between messages.
    message: Option<MessageProgress>,
    /// Whether the current data frame is the last one of its message.
    is_final_frame: bool,
    completed_messages: u64,
}

impl FrameDecoder {
    /// Creates a decoder for the stream of `sender`. `allows_compression` is true if compression
    /// was negotiated. `max_message_bytes` limits the payload of a message as sent on the wire.
    #[must_use]
    pub fn new(sender: Peer, allows_compression: bool, max_message_bytes: u64) -> Self {
        FrameDecoder {
            sender,
            allows_compression,
            max_message_bytes,
            state: State::Header,
            buffer: FrameBuffer::default(),
            message: None,
            is_final_frame: false,
            completed_messages: 0,
        }
    }

    /// Returns whether the forwarded bytes end at a frame boundary, where the proxy may insert a
    /// frame.
    pub(crate) fn is_between_frames(&self) -> bool {
        !matches!(self.state, State::Payload { .. })
    }

    /// Returns whether the forwarded bytes end at a message boundary.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        self.is_between_frames() && self.message.is_none()
    }

    /// Returns whether the received bytes end at a message boundary, with no part of a frame
    /// buffered.
    pub(crate) fn is_at_message_boundary(&self) -> bool {
        self.is_between_messages() && self.buffer.is_empty()
    }

    /// Returns the number of complete messages forwarded.
    #[must_use]
    pub fn completed_messages(&self) -> u64 {
        self.completed_messages
    }

    /// Forwards bytes to `out`, up to the first violation. Headers and control frames are buffered
    /// until they are complete. `on_control` decides whether each control frame is forwarded.
    ///
    /// # Errors
    ///
    /// The violation, after which the peer's stream cannot be decoded any further.
    pub fn forward(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        on_control: impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<(), Violation> {
        self.forward_while(input, out, on_control, |_| true).map(|_| ())
    }

    /// Forwards bytes up to the first message boundary, and returns how many bytes of `input` were
    /// consumed.
    ///
    /// # Errors
    ///
    /// See [`Self::forward`].
    pub(crate) fn forward_to_boundary(
        &mut self,
        input: &[u8],
        out: &mut Vec<u8>,
        on_control: impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<usize, Violation> {
        self.forward_while(input, out, on_control, |decoder| !decoder.is_at_message_boundary())
    }

    /// Forwards bytes up to the end of the peer's first message, and returns how many bytes of
    /// `input` were consumed.
    ///
    /// # Errors
    ///
    /// See [`Self::forward`].
    pub(crate) fn forward_first_message(
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
        should_continue: impl Fn(&Self) -> bool,
    ) -> Result<usize, Violation> {
        let mut input = all;
        while !input.is_empty() && should_continue(self) {
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

    /// Forwards the payload of the current frame, and returns the remaining input.
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

    /// Buffers header bytes, begins the frame once the header is complete, and returns the
    /// remaining input.
    fn read_header<'i>(
        &mut self,
        input: &'i [u8],
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<&'i [u8], Violation> {
        let needed_bytes = header_bytes(self.buffer.bytes());
        let remaining = self.buffer.fill(input, needed_bytes);
        // After the first two bytes, the header may turn out to be longer.
        let is_complete =
            self.buffer.len() == needed_bytes && header_bytes(self.buffer.bytes()) == needed_bytes;
        if is_complete {
            self.begin_frame(out, on_control)?;
        }
        Ok(remaining)
    }

    /// Buffers bytes of a control frame, handles the frame once it is complete, and returns the
    /// remaining input.
    fn read_control_frame<'i>(
        &mut self,
        input: &'i [u8],
        frame_bytes: usize,
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<&'i [u8], Violation> {
        let remaining = self.buffer.fill(input, frame_bytes);
        if self.buffer.len() == frame_bytes {
            self.end_control_frame(out, on_control)?;
        }
        Ok(remaining)
    }

    /// Begins the frame whose complete header is in the buffer.
    fn begin_frame(
        &mut self,
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<(), Violation> {
        let header = FrameHeader::parse(self.buffer.bytes(), self.sender, self.allows_compression)?;
        match header.opcode {
            0..=2 => self.begin_data_frame(header, out),
            8..=10 => self.begin_control_frame(header, out, on_control),
            _ => Err(Violation::ReservedOpcode),
        }
    }

    fn begin_data_frame(
        &mut self,
        header: FrameHeader,
        out: &mut Vec<u8>,
    ) -> Result<(), Violation> {
        if header.starts_message() == self.message.is_some() {
            return Err(Violation::InvalidFragmentOrder);
        }
        let message = self.message.unwrap_or_default();
        self.message = Some(message.add_frame(header.payload_bytes, self.max_message_bytes)?);
        self.is_final_frame = header.is_final;
        out.extend_from_slice(self.buffer.bytes());
        self.buffer.clear();
        self.expect_payload(header.payload_bytes);
        Ok(())
    }

    fn begin_control_frame(
        &mut self,
        header: FrameHeader,
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<(), Violation> {
        let payload_bytes = usize::try_from(header.payload_bytes).unwrap_or(usize::MAX);
        if !header.is_final || payload_bytes > MAX_CONTROL_PAYLOAD_BYTES {
            return Err(Violation::InvalidControlFrame);
        }
        if payload_bytes == 0 {
            return self.end_control_frame(out, on_control);
        }
        self.state = State::Control { frame_bytes: self.buffer.len() + payload_bytes };
        Ok(())
    }

    /// Expects the rest of the current data frame, or ends the frame if no payload remains.
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

    /// Handles the complete control frame in the buffer.
    fn end_control_frame(
        &mut self,
        out: &mut Vec<u8>,
        on_control: &mut impl FnMut(ControlFrame<'_>) -> ControlAction,
    ) -> Result<(), Violation> {
        let frame = self.buffer.bytes();
        let mut payload = [0; MAX_CONTROL_PAYLOAD_BYTES];
        if on_control(ControlFrame::parse(frame, &mut payload)?) == ControlAction::Forward {
            out.extend_from_slice(frame);
        }
        self.buffer.clear();
        self.state = State::Header;
        Ok(())
    }
}
