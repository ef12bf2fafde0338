//! Numbers of a listener's requests, and ids for those that brought none.

use hyper::header::HeaderValue;
use std::cell::Cell;

/// Numbers the requests of one listener.
pub(super) struct RequestIds {
    last_number: Cell<u64>,
    /// Keeps the ids of two runs of the program apart.
    seed: u64,
}

impl RequestIds {
    pub(super) fn new(seed: u64) -> Self {
        RequestIds { last_number: Cell::new(0), seed }
    }

    /// A number that no other request of the listener has had.
    pub(super) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// An id for a request that brought none: 32 hexadecimal digits.
    pub(super) fn next_id(&self) -> HeaderValue {
        let id = format!("{:016x}{:016x}", self.seed, self.next_number());
        HeaderValue::from_str(&id).unwrap_or(HeaderValue::from_static("0"))
    }
}
