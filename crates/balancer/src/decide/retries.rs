//! Retry policy: which failed attempts are retried, when, and at what cost to the retry budget.
//! Whether a retry is permitted at all is decided in [`retry_safety`](super::retry_safety).

use crate::api::{Class, Effect, Outcome};
use crate::rng::Rng;
use crate::state::Request;
use mintshelf_time::{as_float, from_float, Nanos};

/// Cost in retry credits of a hedge, or of a retry after an attempt that may have run.
pub(crate) const RETRY_COST: f64 = 1.0;

/// Returns whether a request can be retried after an outcome. Every server would reject an invalid
/// request, and a request whose stream has begun cannot be sent again: if the balancer did not end
/// such a request, it would never end.
pub(crate) fn is_retryable(request: &Request, outcome: Outcome) -> bool {
    outcome != Outcome::Rejected && !request.is_streaming()
}

/// Returns the cost in retry credits of a retry after an outcome; 0 if the attempt never ran.
pub(crate) fn retry_cost(outcome: Outcome) -> f64 {
    if outcome.never_ran() {
        0.0
    } else {
        RETRY_COST
    }
}

/// Draws the delay before the next attempt: exponential backoff with full jitter, so that requests
/// that failed together are not retried together. Returns `None`, for an immediate retry, if the
/// class has no backoff or the longest delay could exceed the request's deadline.
pub(crate) fn draw_backoff(
    class: &Class,
    request: &Request,
    now: Nanos,
    rng: &mut Rng,
) -> Option<Nanos> {
    let bound = class.backoff.bound(request.attempts().len());
    if bound == 0 || now + bound >= request.deadline {
        return None;
    }
    let delay = from_float(rng.draw() * as_float(bound));
    Some(delay).filter(|delay| *delay > 0)
}

/// Returns whether a hedge may be sent: the class is safe, and the request has a single attempt in
/// flight.
pub(crate) fn may_hedge(class: &Class, request: &Request) -> bool {
    class.effect == Effect::Safe && request.has_one_in_flight()
}
