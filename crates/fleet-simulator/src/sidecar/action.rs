//! The actions by which a sidecar affects the simulation.

use mintshelf_balancer::api::{AttemptNumber, RequestId, ServerId};
use mintshelf_time::Nanos;

/// The response to a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Reply {
    /// The response of a server, which served the request.
    Served,
    /// Rejected: the request may be retried, after this time if there is advice.
    Rejected(Option<Nanos>),
    /// The same, by the recovery ramp.
    RejectedByRamp(Option<Nanos>),
    /// Failed: the request may or may not have run.
    Failed,
}

/// An action for the simulation to perform.
pub(crate) enum SidecarAction {
    /// Send an attempt to a server.
    Send { id: RequestId, attempt: AttemptNumber, server: ServerId, timeout_at: Nanos },
    /// Stop waiting for an attempt.
    Cancel { id: RequestId, attempt: AttemptNumber },
    /// Respond to a client.
    Reply { client: usize, reply: Reply },
    /// Start a timer of the balancer.
    SetTimer { at: Nanos, token: u64 },
    /// Close the idle connections to a server.
    CloseIdle { server: ServerId },
    /// Call discovery, to watch it.
    Watch,
}
