//! A client of the simulated site.

use crate::scenario::CLASSES;
use mintshelf_balancer::api::RequestId;
use mintshelf_time::{as_float, from_float, Nanos};

/// A client with one operation, for which it may send several requests.
pub(super) struct Client {
    pub(super) class: usize,
    pub(super) sidecar: usize,
    /// When it sent its first request.
    pub(super) first_sent_at: Nanos,
    /// When it sent its last request.
    pub(super) sent_at: Nanos,
    /// Requests sent, the first and retries.
    pub(super) requests: u32,
    /// Whether it awaits a response.
    pub(super) is_waiting: bool,
    /// Id of the request at the sidecar, if that accepted it.
    pub(super) request_id: Option<RequestId>,
    /// How often its effect happened.
    pub(super) runs: u32,
    /// Its timeout as a fraction of the latency objective, if it gives up early.
    pub(super) early_timeout: Option<f64>,
}

impl Client {
    /// How long it waits for one request.
    pub(super) fn timeout(&self) -> Nanos {
        let class = &CLASSES[self.class];
        match self.early_timeout {
            Some(part) => from_float(as_float(class.latency_objective) * part),
            None => class.deadline,
        }
    }
}
