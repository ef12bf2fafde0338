//! Buffers a header or a control frame until it is complete.

use crate::control::MAX_CONTROL_PAYLOAD_BYTES;
use crate::header::MAX_HEADER_BYTES;

/// Maximum length of a control frame with its header, in bytes.
const MAX_CONTROL_FRAME_BYTES: usize = MAX_HEADER_BYTES + MAX_CONTROL_PAYLOAD_BYTES;

/// The received part of a header or control frame.
#[derive(Debug, Clone)]
pub(super) struct FrameBuffer {
    bytes: [u8; MAX_CONTROL_FRAME_BYTES],
    len: usize,
}

impl Default for FrameBuffer {
    fn default() -> Self {
        FrameBuffer { bytes: [0; MAX_CONTROL_FRAME_BYTES], len: 0 }
    }
}

impl FrameBuffer {
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes[..self.len]
    }

    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn clear(&mut self) {
        self.len = 0;
    }

    /// Appends input until the buffer has `needed_bytes`, and returns the remaining input.
    pub(super) fn fill<'i>(&mut self, input: &'i [u8], needed_bytes: usize) -> &'i [u8] {
        let missing = needed_bytes.saturating_sub(self.len);
        let (part, remaining) = input.split_at(input.len().min(missing));
        let end = self.len + part.len();
        self.bytes[self.len..end].copy_from_slice(part);
        self.len = end;
        remaining
    }
}
