//! Events: the inputs of a balancer, reported by its sidecar.

use super::endpoint::{ListKind, ListedServer};
use super::ids::{AttemptNumber, ClassId, RequestId, ServerId, TenantId};
use mintshelf_time::Nanos;
use std::sync::Arc;

/// Result of an attempt or a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The server responded with an error.
    Error,
    /// The server rejected the request as invalid.
    Rejected,
    /// The server's queue was full, and the server did not process the request.
    Full,
    /// No response arrived in time.
    TimedOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// The balancer cancelled the attempt.
    Cancelled,
    /// The attempt was never sent.
    Unused,
}

impl Outcome {
    /// Returns whether the outcome counts as a failure of the server.
    #[must_use]
    pub fn is_server_failure(self) -> bool {
        matches!(self, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed)
    }

    /// Returns whether the server sent a response of any kind.
    #[must_use]
    pub fn is_response(self) -> bool {
        matches!(self, Outcome::Ok | Outcome::Full | Outcome::Error | Outcome::Rejected)
    }

    /// Returns whether the attempt certainly did not run.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Unused)
    }
}

/// An input of the balancer.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An endpoint list update, or the failure of a call to discovery.
    EndpointListUpdate {
        /// Contents of the update.
        kind: ListKind,
        /// Revision of the list.
        revision: u64,
        /// Entries of the update; none for [`ListKind::Failed`].
        entries: Arc<[ListedServer]>,
    },
    /// Discovery has a new address, which the next call uses.
    DiscoveryAddressChanged,
    /// A client's request has arrived.
    Request {
        /// Id of the request.
        id: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Tenant that the request belongs to; ignored if the settings have no tenants.
        tenant: TenantId,
        /// Hash of the object that the request accesses; `None` if the sidecar does not report one.
        key: Option<u64>,
        /// Expected CPU time of the request in nanoseconds; `None` if the client does not state it.
        cost_estimate: Option<Nanos>,
        /// Whether the request is a client's retry of an earlier request.
        is_client_retry: bool,
        /// Time that the client waits for a response, from the arrival of the request.
        client_timeout: Nanos,
    },
    /// A response stream has begun, or so much of the request body was sent that it can't be
    /// replayed: the request can't be retried.
    StreamStarted {
        /// Id of the request that can't be retried.
        id: RequestId,
        /// Number of the attempt whose response stream has begun or whose request body was sent.
        attempt: AttemptNumber,
    },
    /// The only attempt of a safe request is slow; the balancer may send a hedge.
    HedgeRequested {
        /// Id of the slow request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Id of the request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt that ended.
        attempt: AttemptNumber,
        /// Result of the attempt.
        outcome: Outcome,
        /// Whether the request has ended too.
        is_request_finished: bool,
        /// Time since the attempt was sent.
        elapsed: Nanos,
        /// Server that the attempt was sent to.
        server: ServerId,
        /// The load report in the response, its fields in the order of
        /// [`Settings::report_fields`](super::Settings::report_fields).
        report: Option<Vec<f64>>,
    },
    /// The client has disconnected.
    ClientDisconnected {
        /// Id of the request whose client disconnected.
        id: RequestId,
    },
    /// A timer has fired.
    Timer {
        /// Number that identifies the timer, from [`Action::SetTimer`](super::Action::SetTimer).
        token: u64,
    },
    /// A probe has ended.
    Probed {
        /// Server that was probed.
        server: ServerId,
        /// Result of the probe.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed: Nanos,
        /// The load report in the response, its fields in the order of
        /// [`Settings::report_fields`](super::Settings::report_fields).
        report: Option<Vec<f64>>,
    },
    /// A gossip message from another instance.
    Gossip {
        /// Number of the instance that sent the message.
        from: u32,
        /// The message, an encoded [`GossipMessage`](crate::gossip::GossipMessage).
        payload: Vec<u8>,
    },
}
