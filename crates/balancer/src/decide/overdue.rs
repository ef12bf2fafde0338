//! Overdue attempts: when an attempt that has not been answered counts as congested.

use super::latency_model::LatencyModel;
use crate::api::Class;
use crate::state::Request;
use mintshelf_time::{as_float, from_float, Nanos};

/// An attempt is not overdue before this fraction of its latency objective.
const OVERDUE_OBJECTIVE_FRACTION: f64 = 0.6;
/// Nor before this multiple of what is typical of it.
const OVERDUE_TYPICAL_MULTIPLE: f64 = 2.0;

/// Time after which an attempt of a request of a class is overdue at a server of a hardware
/// model.
///
/// Long work is slow without congestion: an attempt is not overdue before a multiple of what its
/// known work typically takes, nor before that multiple of what the class typically takes on the
/// hardware model, where the latter is limited to the objective.
pub(crate) fn overdue_after(
    latency: &LatencyModel,
    class: &Class,
    request: &Request,
    model: usize,
) -> Nanos {
    let objective = as_float(class.latency_objective);
    let for_class = latency.typical_on(request.class, model) * OVERDUE_TYPICAL_MULTIPLE;
    let for_work = latency.for_work(request.class, request.log_work, model);
    let for_work = for_work.map_or(0.0, |latency| latency * OVERDUE_TYPICAL_MULTIPLE);
    let after = objective * OVERDUE_OBJECTIVE_FRACTION;
    from_float(after.max(for_work).max(for_class.min(objective)))
}
