//! What events state of requests and attempts, as the parts of the balancer take it.

use crate::api::{Outcome, TenantId};
use mintshelf_time::Nanos;

/// What a request counts as in the traffic.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) tenant: TenantId,
    /// Whether the client has sent the request before.
    pub(super) is_client_retry: bool,
}

/// The report that an attempt has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    /// Whether the request has ended with it.
    pub(super) is_request_finished: bool,
    /// Time since the attempt was sent.
    pub(super) elapsed: Nanos,
}
