//! Stores a client's first message, which is replayed to the servers that a socket migrates to.

use super::peer_state::client_decoder;
use crate::frame::FrameDecoder;

/// Longest first message that is stored, in bytes including frame headers.
const MAX_FIRST_MESSAGE_BYTES: usize = 16 << 10;

/// The received part of a client's first message.
#[derive(Debug)]
pub(super) struct FirstMessage {
    decoder: FrameDecoder,
    bytes: Vec<u8>,
}

impl FirstMessage {
    pub(super) fn new(is_compressed: bool) -> Self {
        FirstMessage { decoder: client_decoder(is_compressed), bytes: Vec::new() }
    }

    /// Appends bytes that the client sent, up to the end of the first message. Returns false if the
    /// message is invalid or too long to be stored.
    pub(super) fn append(&mut self, bytes: &[u8]) -> bool {
        let decoded = self.decoder.forward_first_message(bytes, &mut self.bytes);
        decoded.is_ok() && self.bytes.len() <= MAX_FIRST_MESSAGE_BYTES
    }

    /// Returns the frames of the message.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
