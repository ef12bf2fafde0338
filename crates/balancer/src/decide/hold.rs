//! Holds: how long a request waits while no server is eligible for it.

use crate::api::Class;
use mintshelf_time::{as_float, from_float, Nanos, MILLISECOND};

/// Interval at which a held request is checked for an eligible server.
pub const HOLD_RETRY_INTERVAL: Nanos = 40 * MILLISECOND;
/// Maximum duration of a hold, as a fraction of the latency objective of the class.
pub const MAX_HOLD_OBJECTIVE_FRACTION: f64 = 0.5;

/// Returns the time until which a request of a class may be held. A new endpoint list or warm-up
/// credit may make a server eligible, but the wait is bounded.
#[must_use]
pub fn hold_until(class: &Class, arrived_at: Nanos, deadline: Nanos) -> Nanos {
    let objective = as_float(class.latency_objective);
    let max_hold = from_float(objective * MAX_HOLD_OBJECTIVE_FRACTION);
    (arrived_at + max_hold).min(deadline.saturating_sub(HOLD_RETRY_INTERVAL))
}
