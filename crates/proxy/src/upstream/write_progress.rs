//! Tracks how far a request has been written to its server, and whether its response has stalled.

use crate::body::byte_count;
use crate::memory::MemoryUse;
use crate::tcp::TrafficObserver;
use std::cell::Cell;
use tokio::time::Instant;

/// The end of a message head (RFC 9112 2.1).
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes of a request and its response above which the HTTP library's buffers have grown.
const LARGE_EXCHANGE_BYTES: usize = 8 << 10;

/// Observes the exchanges on a connection: how much of the request the kernel has accepted, and when
/// parts of a response arrived. A request whose last byte was never written can't have run.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// Number of body bytes after which the request counts as complete.
    body_bytes: Cell<u64>,
    body_bytes_written: Cell<u64>,
    /// Number of bytes of [`HEAD_END`] that the bytes written last match.
    head_end_matched: Cell<usize>,
    has_started: Cell<bool>,
    /// Time at which the last part of an incomplete response arrived; `None` if no remainder is
    /// expected.
    partial_response_at: Cell<Option<Instant>>,
    /// Whether there is memory for the body of the response.
    is_body_admitted: Cell<bool>,
    /// Whether a part of the response has waited for memory on this side.
    was_paused: Cell<bool>,
    /// Bytes of the current request and its response that have been written and read, and of the
    /// fields of the request.
    exchange_bytes: Cell<usize>,
}

impl WriteProgress {
    /// Starts a request that counts as complete after its head and `body_bytes` of its body.
    pub fn start_request(&self, body_bytes: u64) {
        self.body_bytes.set(body_bytes);
        self.body_bytes_written.set(0);
        self.head_end_matched.set(0);
        self.has_started.set(false);
        self.partial_response_at.set(None);
        self.is_body_admitted.set(false);
        self.was_paused.set(false);
        self.exchange_bytes.set(0);
    }

    /// Records that there is memory for the body of the response.
    pub(crate) fn admit_body(&self) {
        self.is_body_admitted.set(true);
    }

    /// Returns whether a part of the response has waited for memory on this side, since the last
    /// call.
    pub(crate) fn take_paused(&self) -> bool {
        self.was_paused.take()
    }

    /// Counts the memory of the fields of the request's head, in bytes: the HTTP library keeps their
    /// map for the next message.
    pub fn count_head(&self, bytes: usize) {
        self.exchange_bytes.set(self.exchange_bytes.get().saturating_add(bytes));
    }

    /// Returns whether the last request and its response have left large buffers.
    #[must_use]
    pub fn has_large_buffers(&self) -> bool {
        self.exchange_bytes.get() > LARGE_EXCHANGE_BYTES
    }

    /// Returns whether the server may have received the complete request.
    pub fn is_complete(&self) -> bool {
        self.head_end_matched.get() == HEAD_END.len()
            && self.body_bytes_written.get() >= self.body_bytes.get()
    }

    /// Returns whether any byte of the request has been written.
    pub(crate) fn has_started(&self) -> bool {
        self.has_started.get()
    }

    /// Returns the time at which the last part of an incomplete response arrived; `None` if no
    /// remainder is expected.
    pub(crate) fn partial_response_at(&self) -> Option<Instant> {
        self.partial_response_at.get()
    }
}

impl TrafficObserver for WriteProgress {
    fn memory_use(&self) -> MemoryUse {
        if self.is_body_admitted.get() {
            MemoryUse::ResponseRead
        } else {
            MemoryUse::ResponseHead
        }
    }

    fn paused(&self) {
        // The server is not to blame for the pause.
        self.partial_response_at.set(None);
        self.was_paused.set(true);
    }

    fn read(&self, bytes: &[u8]) {
        self.exchange_bytes.set(self.exchange_bytes.get().saturating_add(bytes.len()));
        // Bytes that end in a blank line may be a complete interim response (RFC 9110 15.2).
        let is_partial = !bytes.is_empty() && !bytes.ends_with(HEAD_END);
        self.partial_response_at.set(is_partial.then(Instant::now));
    }

    fn wrote(&self, bytes: &[u8]) {
        self.exchange_bytes.set(self.exchange_bytes.get().saturating_add(bytes.len()));
        self.has_started.set(true);
        let mut matched = self.head_end_matched.get();
        let mut remaining = bytes.iter();
        while matched < HEAD_END.len() {
            let Some(byte) = remaining.next() else { break };
            matched = match *byte {
                byte if byte == HEAD_END[matched] => matched + 1,
                b'\r' => 1,
                _ => 0,
            };
        }
        self.head_end_matched.set(matched);
        let written = self.body_bytes_written.get() + byte_count(remaining.len());
        self.body_bytes_written.set(written);
    }
}
