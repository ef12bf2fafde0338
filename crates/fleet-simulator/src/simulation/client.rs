//! A client of the simulated site.

use crate::scenario::CLASSES;
use mintshelf_balancer::api::RequestId;
use mintshelf_time::{as_float, from_float, Nanos};

/// A client with one operation, for which it may send several requests.
pub(super) struct Client {
    pub(super) class: usize,
    pub(super) sidecar: usize,
    /// Time at which the client sent its first request.
    pub(super) first_sent_at: Nanos,
    /// Time at which the client sent its last request.
    pub(super) sent_at: Nanos,
    /// Number of requests sent, the first and retries.
    pub(super) requests: u32,
    /// Whether the client waits for a response.
    pub(super) is_waiting: bool,
    /// Id of the request at the sidecar, if that accepted it.
    pub(super) request_id: Option<RequestId>,
    /// Number of times that a server ran the operation.
    pub(super) runs: u32,
    /// Timeout as a fraction of the latency objective; `None` if the client waits for the deadline of
    /// its class.
    pub(super) early_timeout: Option<f64>,
}

impl Client {
    /// Returns the time that the client waits for one response, in nanoseconds.
    pub(super) fn timeout(&self) -> Nanos {
        let class = &CLASSES[self.class];
        match self.early_timeout {
            Some(part) => from_float(as_float(class.latency_objective) * part),
            None => class.deadline,
        }
    }
}
