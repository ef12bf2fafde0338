//! Counts of requests and responses, for the metrics.

use std::cell::RefCell;
use std::collections::HashMap;

/// What the listeners of a process have done.
#[derive(Debug, Default)]
pub struct ProxyStats {
    /// Responses by status.
    pub responses: RefCell<HashMap<u16, u64>>,
    /// Requests by route, of the configurations that are no longer in force.
    pub routes: RefCell<HashMap<String, u64>>,
    /// Requests that this side rejected, by code.
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
