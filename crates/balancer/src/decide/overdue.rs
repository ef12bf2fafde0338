//! Overdue attempts: when an attempt without a response counts as overdue, and whether the cause is
//! an overload, an unresponsive server or an expensive class of requests.

use super::latency_model::LatencyModel;
use crate::api::Class;
use crate::state::{Request, ServerState};
use mintshelf_time::{as_float, from_float, Nanos};

/// Fraction of the latency objective before which an attempt is not overdue.
const OVERDUE_OBJECTIVE_FRACTION: f64 = 0.6;
/// Multiple of an attempt's typical latency before which the attempt is not overdue.
const OVERDUE_TYPICAL_MULTIPLE: f64 = 2.0;

/// Divisor of the latency objective: if an attempt is served that was sent more than this part
/// (1/4) of the objective after an overdue attempt, the server has no queue.
const LATER_ATTEMPT_OBJECTIVE_DIVISOR: Nanos = 4;
/// Divisor of the time since an attempt was sent: a server that was silent for the last part (1/2)
/// of that time, while other servers responded, is unresponsive.
const UNRESPONSIVE_DIVISOR: Nanos = 2;

/// Returns the time after which an attempt of a request is overdue at a server of a hardware model.
///
/// Long work takes long without any congestion. Besides the fraction of the objective, an attempt
/// therefore has a multiple of the typical latency of its known work, and the same multiple of the
/// typical latency of its class on the hardware model, the latter limited to the objective.
pub(crate) fn overdue_after(
    latency: &LatencyModel,
    class: &Class,
    request: &Request,
    model: usize,
) -> Nanos {
    let objective = as_float(class.latency_objective);
    let for_class = latency.typical_latency_on(request.class, model) * OVERDUE_TYPICAL_MULTIPLE;
    let for_work = latency.latency_for_work(request.class, request.log_work, model);
    let for_work = for_work.map_or(0.0, |latency| latency * OVERDUE_TYPICAL_MULTIPLE);
    let after = objective * OVERDUE_OBJECTIVE_FRACTION;
    from_float(after.max(for_work).max(for_class.min(objective)))
}

/// Returns whether the delay of an overdue attempt, sent at `sent_at`, is specific to its class. If
/// the server has served an attempt that was sent later, it has no queue, and other classes may go
/// on using it. Even a single expensive request ejects the server for its class for some time.
pub(crate) fn is_class_specific(class: &Class, server: &ServerState, sent_at: Nanos) -> bool {
    let later = sent_at + class.latency_objective / LATER_ATTEMPT_OBJECTIVE_DIVISOR;
    server.last_served_sent_at > later
}

/// Returns whether a server is unresponsive: it was silent for the second half of an attempt while
/// other servers responded, the last of them at `last_response_at`. An overloaded server would
/// still respond to earlier requests.
pub(crate) fn is_unresponsive(
    server: &ServerState,
    sent_at: Nanos,
    last_response_at: Nanos,
    now: Nanos,
) -> bool {
    let half = now - now.saturating_sub(sent_at) / UNRESPONSIVE_DIVISOR;
    server.last_response_at < half && last_response_at > half
}
