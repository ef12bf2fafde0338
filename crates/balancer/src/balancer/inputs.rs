//! Parameters taken from events that several handlers of the balancer share.

use crate::api::{Outcome, TenantId};
use mintshelf_time::Nanos;

/// Properties of an arriving request that traffic counters and quotas depend on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    pub(super) tenant: TenantId,
    /// Whether the client has sent this request before and retries it.
    pub(super) is_client_retry: bool,
}

/// The result of an attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    /// Whether the request has ended together with the attempt.
    pub(super) is_request_finished: bool,
    /// Time since the attempt was sent.
    pub(super) elapsed: Nanos,
}
