//! Actions: the outputs of a balancer, carried out by its sidecar.

use super::ids::{AttemptNumber, RequestId, ServerId};
use mintshelf_time::Nanos;

/// Reason for which the balancer ended a request without a response from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The client would disconnect before a response could arrive.
    Futile,
    /// The request was rejected on arrival: the servers are overloaded, or the request's tenant
    /// exceeds its quota.
    Overload,
    /// The queueing time of the request at the selected server would be too long.
    LongQueue,
    /// No server was available in time, or a further attempt is not permitted.
    NoServer,
    /// The last attempt failed, and the retries of the request are exhausted or would not help.
    NoRetry,
}

/// An output of the balancer that the sidecar carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a request to a server.
    Send {
        /// Id of the request to send.
        id: RequestId,
        /// Server that receives the attempt.
        server: ServerId,
        /// Time at which the attempt times out.
        timeout_at: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Id of the request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt to cancel, from 0.
        attempt: AttemptNumber,
    },
    /// End a request that has not run; the client may safely retry it.
    Reject {
        /// Id of the request to reject.
        id: RequestId,
        /// Delay after which the client should retry; 0 for no `Retry-After`.
        retry_after: Nanos,
        /// Reason for the rejection.
        reason: EndReason,
    },
    /// End a request as failed; it may have run.
    Fail {
        /// Id of the request to end.
        id: RequestId,
        /// Reason for the failure.
        reason: EndReason,
    },
    /// Report [`Event::Timer`](super::Event::Timer) after a delay.
    SetTimer {
        /// Time from now until the event.
        after: Nanos,
        /// Number that identifies the timer; the event carries the same number.
        token: u64,
    },
    /// Cancel a timer that has not fired. If it fires regardless, it has no effect.
    DropTimer {
        /// Number that identifies the timer, from [`Action::SetTimer`].
        token: u64,
    },
    /// Send a probe to a server and report its outcome as [`Event::Probed`](super::Event::Probed).
    Probe {
        /// Server to probe.
        server: ServerId,
    },
    /// Close this instance's idle connections to a server.
    CloseIdle {
        /// Server whose idle connections are closed.
        server: ServerId,
    },
    /// Send a message to one peer, or to all.
    SendGossip {
        /// Number of the instance to send to, from 0; `None` for all other instances.
        peer: Option<u32>,
        /// An encoded [`GossipMessage`](crate::gossip::GossipMessage) of at most 256 bytes.
        payload: Vec<u8>,
    },
    /// Start a discovery watch.
    StartWatch,
    /// Stop the discovery watch.
    StopWatch,
    /// Fetch the complete endpoint list from discovery.
    FetchEndpointList,
    /// Write a log line for operators.
    Log {
        /// Text of the line.
        text: String,
    },
}
