//! The retry policy of one request class at one cluster.

use crate::schedule::{AttemptTimeout, TimeoutBounds};
use mintshelf_balancer::api::Effect;
use mintshelf_time::Nanos;

/// Delay of a hedge from the start of the request's first attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgeDelay {
    /// The same delay for every request.
    Fixed(Nanos),
    /// The 95th percentile of the observed latencies of the class.
    P95,
}

/// Hedging of safe requests: a second attempt while a slow one is still in flight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HedgePolicy {
    /// Delay of a hedge from the start of the request's first attempt.
    pub delay: HedgeDelay,
    /// Maximum number of hedges, as a fraction of the number of requests.
    pub max_share: f64,
}

/// Retries, hedging and timeouts of the requests of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryPolicy {
    /// Number of times that a request of the class may take effect.
    pub effect: Effect,
    /// Timeout of one attempt, counted from its connection.
    pub attempt_timeout: AttemptTimeout,
    /// Bounds of an adaptive timeout.
    pub timeout_bounds: TimeoutBounds,
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Hedging policy; `None` if hedging is disabled.
    pub hedge: Option<HedgePolicy>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Nanos,
    /// Maximum idle time after which a connection is still reused.
    pub idle_timeout: Nanos,
}
