//! Rejections of requests that exceed a limit of their tenant, route or cluster.

use super::rejection::Rejection;
use hyper::StatusCode;
use mintshelf_admission::admission::LimitExceeded;
use mintshelf_admission::queue::RejectReason;
use mintshelf_time::{Nanos, SECOND};

/// Retry-After of requests that may succeed shortly afterwards, in nanoseconds.
pub(super) const MIN_RETRY_AFTER: Nanos = SECOND;

/// Returns the rejection of a request that exceeds a limit of its tenant or route.
pub(super) fn limit_rejection(exceeded: &LimitExceeded) -> Rejection {
    let (code, detail, retry_after) = match *exceeded {
        LimitExceeded::TenantRate(retry_after) => {
            ("tenant-rate", "its tenant asks more than its rate; it has not run", retry_after)
        }
        LimitExceeded::TenantConcurrency => (
            "tenant-concurrency",
            "its tenant has as many under way as it may; it has not run",
            MIN_RETRY_AFTER,
        ),
        LimitExceeded::RouteRate(retry_after) => {
            ("route-rate", "the route is asked more than its rate; it has not run", retry_after)
        }
        LimitExceeded::RouteConcurrency => (
            "route-concurrency",
            "the route has as many under way as it may; it has not run",
            MIN_RETRY_AFTER,
        ),
    };
    Rejection::new(StatusCode::TOO_MANY_REQUESTS, code, detail).retry_after(retry_after)
}

/// Returns the rejection of a request by the queue of its cluster.
pub(super) fn queue_rejection(reason: RejectReason) -> Rejection {
    let (code, detail) = match reason {
        RejectReason::QueueFull => ("queue-full", "too many wait for the cluster; it has not run"),
        RejectReason::DeadlineUnreachable => {
            ("queue-late", "it waited too long to be answered in time; it has not run")
        }
    };
    Rejection::new(StatusCode::SERVICE_UNAVAILABLE, code, detail)
}

/// Returns the rejection of a request whose body exceeds the rest of its tenant's body quota. The
/// body stays unread, so the connection is closed.
pub(super) fn body_rejection() -> Rejection {
    let detail = "its tenant's bodies take all the room that it has; it has not run";
    let rejection = Rejection::new(StatusCode::TOO_MANY_REQUESTS, "tenant-room", detail);
    rejection.retry_after(MIN_RETRY_AFTER).closing_connection()
}
