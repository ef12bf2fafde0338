//! Counters of requests and responses for the metrics.

use std::cell::RefCell;
use std::collections::HashMap;

/// Counters of all listeners of the process.
#[derive(Debug, Default)]
pub struct ProxyStats {
    /// Numbers of responses to clients by HTTP status.
    pub responses: RefCell<HashMap<u16, u64>>,
    /// Numbers of requests by route name, counted under configurations that have been replaced.
    pub routes: RefCell<HashMap<String, u64>>,
    /// Numbers of requests that this proxy rejected, by
    /// [`Rejection::code`](super::rejection::Rejection::code).
    pub rejections: RefCell<HashMap<&'static str, u64>>,
}

impl ProxyStats {
    pub(crate) fn count_response(&self, status: u16) {
        *self.responses.borrow_mut().entry(status).or_default() += 1;
    }

    pub(crate) fn count_rejection(&self, code: &'static str) {
        *self.rejections.borrow_mut().entry(code).or_default() += 1;
    }
}
