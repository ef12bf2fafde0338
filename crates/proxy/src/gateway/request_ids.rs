//! Sequence numbers of the requests of a listener, and generated request ids.

use hyper::header::HeaderValue;
use std::cell::Cell;

/// Generates the numbers and ids of the requests of one listener.
pub(super) struct RequestIds {
    last_number: Cell<u64>,
    /// Random first half of each id, which makes the ids of two runs of the program differ.
    seed: u64,
}

impl RequestIds {
    pub(super) fn new(seed: u64) -> Self {
        RequestIds { last_number: Cell::new(0), seed }
    }

    /// Returns a number that is unique among the requests of the listener.
    pub(super) fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Generates an id of 32 hexadecimal digits, for a request without one.
    pub(super) fn next_id(&self) -> HeaderValue {
        let id = format!("{:016x}{:016x}", self.seed, self.next_number());
        HeaderValue::from_str(&id).unwrap_or(HeaderValue::from_static("0"))
    }
}
