//! The retry policy of one request class at one cluster.

use crate::schedule::{AttemptTimeout, TimeoutBounds};
use mintshelf_balancer::api::Effect;
use mintshelf_time::Nanos;

/// When a hedge starts, counted from the start of the request's first attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgeDelay {
    /// After a fixed time.
    Fixed(Nanos),
    /// After the 95th percentile of the latencies seen.
    P95,
}

/// Hedging of safe requests: a second attempt beside one that is slow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgePolicy {
    /// When a hedge starts.
    pub delay: HedgeDelay,
    /// Upper bound of the hedges, as a fraction of the requests.
    pub max_share: f64,
}

/// How requests of one class are retried and hedged, and how long their attempts may take.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryPolicy {
    /// The effect of its requests.
    pub effect: Effect,
    /// How long one attempt may take once it is connected.
    pub attempt_timeout: AttemptTimeout,
    /// Bounds of an adaptive time-out.
    pub timeout_bounds: TimeoutBounds,
    /// Upper bound of the attempts of one request, the first included.
    pub max_attempts: u32,
    /// Hedging; `None` where it is disabled.
    pub hedge: Option<HedgePolicy>,
    /// Longest wait for a connection.
    pub connect_timeout: Nanos,
    /// Longest time for which a connection may have been idle and still be reused.
    pub idle_timeout: Nanos,
}
