//! The message that a peer is sending, and its limits.

use crate::violation::Violation;

/// Fragments that a message of any length may have: fragments without end cost work and carry
/// nothing.
pub const MAX_FRAGMENTS: u64 = 1024;
/// Bytes of a message for which it may have one fragment more.
const BYTES_PER_FRAGMENT: u64 = 16;

/// How much of a message has come.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MessageProgress {
    bytes: u64,
    fragments: u64,
}

impl MessageProgress {
    /// The message with one data frame more.
    ///
    /// # Errors
    ///
    /// [`Violation::TooLong`] or [`Violation::Fragments`] if it exceeds a limit.
    pub(super) fn add_frame(
        self,
        payload_bytes: u64,
        max_message_bytes: u64,
    ) -> Result<Self, Violation> {
        let bytes = self.bytes.saturating_add(payload_bytes);
        let fragments = self.fragments + 1;
        if bytes > max_message_bytes {
            return Err(Violation::TooLong);
        }
        if fragments > MAX_FRAGMENTS + bytes / BYTES_PER_FRAGMENT {
            return Err(Violation::Fragments);
        }
        Ok(MessageProgress { bytes, fragments })
    }
}
