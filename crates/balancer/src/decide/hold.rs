//! Holds: how long a request that no server can take waits for one.

use crate::api::Class;
use mintshelf_time::{as_float, from_float, Nanos, MILLISECOND};

/// Interval at which a held request is attempted again.
pub const HOLD_RETRY_INTERVAL: Nanos = 40 * MILLISECOND;
/// Longest hold, as a fraction of the latency objective of the class.
pub const MAX_HOLD_OBJECTIVE_FRACTION: f64 = 0.5;

/// Until when a request of a class may be held: an endpoint list or send credit may come, but
/// the hold has an end.
#[must_use]
pub fn hold_until(class: &Class, arrived_at: Nanos, deadline: Nanos) -> Nanos {
    let objective = as_float(class.latency_objective);
    let max_hold = from_float(objective * MAX_HOLD_OBJECTIVE_FRACTION);
    (arrived_at + max_hold).min(deadline.saturating_sub(HOLD_RETRY_INTERVAL))
}
