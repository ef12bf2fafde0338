//! Decides what becomes of a request body that is not read to its end before the response begins.
//!
//! The rest of such a body precedes the next request on the connection. Either it is read and
//! discarded, and the connection serves further requests, or the response says `Connection: close`,
//! and no byte that follows is taken for a request (RFC 9112 9.3 and 9.6).

/// Maximum number of bytes that are discarded in order to keep a connection.
pub const MAX_DISCARDED_BYTES: u64 = 256 << 10;

/// The treatment of a request body that nobody reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyDisposal {
    /// The rest is read and discarded unless the handler still reads it; the connection is kept.
    Discard,
    /// The connection is closed behind the response.
    Close,
}

/// A request body that has not been read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadBody {
    /// Number of bytes that have not been read; `None` if the body has no stated length.
    pub remaining_bytes: Option<u64>,
    /// Whether the whole body has arrived.
    pub has_arrived: bool,
    /// Whether the client may still wait for a `100 Continue` before it sends the body.
    pub awaits_continue: bool,
    /// Whether memory is too short to wait for the rest with the buffers of a connection.
    pub is_memory_low: bool,
}

impl UnreadBody {
    /// Decides what becomes of the rest of the body.
    #[must_use]
    pub fn disposal(self) -> BodyDisposal {
        let is_bounded = self.remaining_bytes.is_some_and(|bytes| bytes <= MAX_DISCARDED_BYTES);
        // A client that gets its response instead of the `100 Continue` need not send the body, so
        // what follows may be the body or the next request (RFC 9110 10.1.1).
        let is_awaited = is_bounded && !self.awaits_continue && !self.is_memory_low;
        if self.has_arrived || is_awaited {
            BodyDisposal::Discard
        } else {
            BodyDisposal::Close
        }
    }
}
