//! Log events at level DEBUG about single requests, attempts and endpoint lists, for diagnosis.
//!
//! Nothing is formatted unless a subscriber is interested. `docs/on-call.md` documents the events.

use super::pending_requests::{PendingRequest, PendingRequests};
use super::request::RequestOutcome;
use hyper::header::HeaderValue;
use mintshelf_balancer::api::{
    AttemptNumber, EndReason, EndpointState, ListKind, ListedServer, RequestId, ServerId,
};
use mintshelf_balancer::decide::Balancer;
use mintshelf_time::{from_duration, Nanos, MICROSECOND, MILLISECOND};
use std::net::SocketAddr;
use std::time::Duration;
use tracing::{debug, enabled, Level};

/// Returns whether a subscriber is interested in the events of this module.
fn is_enabled() -> bool {
    enabled!(Level::DEBUG)
}

/// Returns the request of an event; `None` if no subscriber is interested or the request is
/// unknown.
fn traced_request<'a>(id: &RequestId, requests: &'a PendingRequests) -> Option<&'a PendingRequest> {
    is_enabled().then(|| requests.get(id))?
}

/// Returns the transaction id that the client gave a request; empty if there is none.
fn transaction_id(request: &PendingRequest) -> &str {
    let id = request.upstream_request.transaction_id.as_ref().map(HeaderValue::to_str);
    id.and_then(Result::ok).unwrap_or_default()
}

/// Logs that a request is passed to the balancer.
pub(super) fn request_began(id: &RequestId, requests: &PendingRequests, timeout: Nanos) {
    let Some(request) = traced_request(id, requests) else { return };
    debug!(
        request = %id,
        transaction = transaction_id(request),
        class = request.class.get(),
        timeout_ms = timeout / MILLISECOND,
        "request began"
    );
}

/// The balancer's decision on a request that has no response of a server.
#[derive(Debug, Clone, Copy)]
pub(super) enum Verdict {
    /// The client may safely send the request again.
    Rejected,
    /// The request may have run.
    Failed,
}

/// Logs that the balancer ended a request without a server's response.
pub(super) fn request_ended(
    id: &RequestId,
    requests: &PendingRequests,
    verdict: Verdict,
    reason: EndReason,
) {
    let Some(request) = traced_request(id, requests) else { return };
    debug!(
        request = %id,
        transaction = transaction_id(request),
        attempts = request.attempts.len(),
        ?verdict,
        ?reason,
        "request ended without a response"
    );
}

/// Logs the start of an attempt. An attempt without an address ends immediately.
pub(super) fn attempt_began(
    id: &RequestId,
    number: AttemptNumber,
    server: ServerId,
    address: Option<SocketAddr>,
) {
    debug!(request = %id, attempt = number.get() + 1, server, ?address, "attempt began");
}

/// Returns the name of an outcome in log events.
pub(super) fn outcome_name(outcome: &RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Served(_) => "served",
        RequestOutcome::Rejected { .. } => "rejected",
        RequestOutcome::RejectedDuringOutage(_) => "paced",
        RequestOutcome::Failed { timed_out: true } => "timed out",
        RequestOutcome::Failed { timed_out: false } => "failed",
    }
}

/// Returns the status of the server's response that a client gets; `None` if the client gets none.
fn served_status(outcome: &RequestOutcome) -> Option<u16> {
    match outcome {
        RequestOutcome::Served(response) => Some(response.status.as_u16()),
        _ => None,
    }
}

/// Logs a request's final outcome; `None` if the client disconnected before the outcome.
pub(super) fn request_concluded(
    id: &RequestId,
    outcome: Option<&RequestOutcome>,
    elapsed: Duration,
) {
    let status = outcome.and_then(served_status);
    let outcome = outcome.map_or("client left", outcome_name);
    let took_ms = from_duration(elapsed) / MILLISECOND;
    debug!(request = %id, outcome, status, took_ms, "request concluded");
}

/// Logs that an endpoint list was applied, and that handling the queued events took `elapsed`.
pub(super) fn list_applied(kind: ListKind, version: u64, changes: ListChanges, elapsed: Duration) {
    let ListChanges { live, draining, removed } = changes;
    debug!(
        ?kind,
        version,
        live,
        draining,
        removed,
        took_us = from_duration(elapsed) / MICROSECOND,
        "endpoint list applied"
    );
}

/// Logs how many servers are in service, and their capacity.
pub(super) fn in_service(balancer: &Balancer) {
    let summary = balancer.service_summary();
    debug!(servers = summary.servers, capacity = summary.capacity, "in service");
}

/// The number of entries of a list by state.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ListChanges {
    live: usize,
    draining: usize,
    removed: usize,
}

impl ListChanges {
    /// Counts the entries; all zero unless a subscriber is interested.
    pub(super) fn count(servers: &[ListedServer]) -> Self {
        let mut changes = ListChanges::default();
        if !is_enabled() {
            return changes;
        }
        for server in servers {
            match server.state {
                EndpointState::Live => changes.live += 1,
                EndpointState::Draining => changes.draining += 1,
                EndpointState::Removed => changes.removed += 1,
            }
        }
        changes
    }
}
