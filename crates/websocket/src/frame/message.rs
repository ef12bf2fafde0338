//! Progress of the message that a peer is sending, and its limits.

use crate::violation::Violation;

/// Fragments allowed in a message of any length. Without a limit, a peer could send empty fragments
/// forever, which cost processing time and carry no data.
pub const MAX_FRAGMENTS: u64 = 1024;
/// Payload bytes that allow a message one more fragment.
const BYTES_PER_FRAGMENT: u64 = 16;

/// Payload bytes and fragments received of an incomplete message.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MessageProgress {
    bytes: u64,
    fragments: u64,
}

impl MessageProgress {
    /// Returns the progress after one more data frame.
    ///
    /// # Errors
    ///
    /// [`Violation::MessageTooLong`] or [`Violation::TooManyFragments`] if it exceeds a limit.
    pub(super) fn add_frame(
        self,
        payload_bytes: u64,
        max_message_bytes: u64,
    ) -> Result<Self, Violation> {
        let bytes = self.bytes.saturating_add(payload_bytes);
        let fragments = self.fragments + 1;
        if bytes > max_message_bytes {
            return Err(Violation::MessageTooLong);
        }
        if fragments > MAX_FRAGMENTS + bytes / BYTES_PER_FRAGMENT {
            return Err(Violation::TooManyFragments);
        }
        Ok(MessageProgress { bytes, fragments })
    }
}
