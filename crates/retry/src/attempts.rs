//! Attempt timeouts and hedging for one request class.

use crate::latency_window::LatencyWindow;
use crate::policy::{HedgeDelay, RetryPolicy};
use crate::schedule::{AttemptTimeout, TimeoutBounds};
use mintshelf_balancer::api::{AttemptNumber, Effect};
use mintshelf_balancer::budget::RetryBudget;
use mintshelf_time::{Nanos, MILLISECOND};

/// Multiplier: an adaptive timeout is the 99th percentile of the observed latencies times the
/// constant.
const ADAPTIVE_TIMEOUT_FACTOR: u64 = 3;
/// Divisor: an attempt that cannot be retried is rechecked after its timeout divided by the
/// constant.
const RECHECK_DIVISOR: u64 = 4;
/// Minimum delay until an attempt that cannot be retried is rechecked.
const MIN_RECHECK_DELAY: Nanos = MILLISECOND;
/// Multiplier: until quantiles are available, an adaptive timeout is its lower bound times the
/// constant.
const INITIAL_TIMEOUT_FACTOR: u64 = 2;
/// Maximum number of hedges that the hedge budget accumulates while no hedges are sent.
const MAX_SAVED_HEDGES: f64 = 4.0;

/// Decision about an attempt whose timeout has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeoutAction {
    /// Cancel the attempt; a retry may follow.
    Cancel,
    /// Let the attempt run, because it cannot be retried, and decide again after this delay.
    RecheckAfter(Nanos),
}

/// Whether an attempt that timed out can be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryConditions {
    /// The retry budget covers another attempt.
    pub has_budget: bool,
    /// Another endpoint is available for the retry.
    pub has_other_endpoint: bool,
}

/// Number of attempts cancelled by a timeout, and of hedges started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Number of attempts cancelled by their own timeout.
    pub timed_out: u64,
    /// Number of hedges started.
    pub hedged: u64,
}

/// Decides on timeouts and hedges of one class, from its policy, the observed latencies and the
/// hedge budget. Owned by the cluster's event loop, which has one per class.
#[derive(Debug)]
pub struct AttemptTracker {
    policy: RetryPolicy,
    latencies: LatencyWindow,
    hedge_budget: RetryBudget,
    counts: AttemptCounts,
}

impl AttemptTracker {
    /// Creates a tracker without observed latencies.
    #[must_use]
    pub fn new(policy: RetryPolicy, now: Nanos) -> Self {
        let max_share = policy.hedge.map_or(0.0, |hedge| hedge.max_share);
        AttemptTracker {
            policy,
            latencies: LatencyWindow::new(now),
            hedge_budget: RetryBudget::new(max_share, MAX_SAVED_HEDGES),
            counts: AttemptCounts::default(),
        }
    }

    /// Returns the retry policy of the class.
    #[must_use]
    pub fn policy(&self) -> &RetryPolicy {
        &self.policy
    }

    /// Records a new request, which adds its fraction to the hedge budget.
    pub fn record_request(&mut self) {
        self.hedge_budget.deposit();
    }

    /// The timeout of an attempt, counted from its connection; `None` if only the request's
    /// deadline bounds it. The last attempt may use all remaining time.
    pub fn attempt_timeout(&mut self, now: Nanos, number: AttemptNumber) -> Option<Nanos> {
        let is_last = number.get() + 1 >= self.policy.max_attempts;
        if self.policy.effect == Effect::Unsafe || is_last {
            return None;
        }
        match self.policy.attempt_timeout {
            AttemptTimeout::Deadline => None,
            AttemptTimeout::Fixed(timeout) => Some(timeout),
            AttemptTimeout::Adaptive => Some(self.adaptive_timeout(now)),
        }
    }

    fn adaptive_timeout(&mut self, now: Nanos) -> Nanos {
        let TimeoutBounds { min, max } = self.policy.timeout_bounds;
        let timeout = match self.latencies.quantiles(now) {
            Some(quantiles) => quantiles.p99.saturating_mul(ADAPTIVE_TIMEOUT_FACTOR),
            None => min.saturating_mul(INITIAL_TIMEOUT_FACTOR),
        };
        timeout.clamp(min, max)
    }

    /// Decides what happens to an attempt whose `timeout` has expired.
    pub fn on_timeout(
        &mut self,
        now: Nanos,
        timeout: Nanos,
        conditions: RetryConditions,
    ) -> TimeoutAction {
        // Attempts of idempotent requests are always cancelled on time, since checking the schedule
        // against the deduplication window relies on it.
        let is_idempotent = self.policy.effect == Effect::Idempotent;
        let has_target = conditions.has_other_endpoint
            || self.policy.attempt_timeout != AttemptTimeout::Adaptive;
        let can_retry = conditions.has_budget && has_target;
        if !is_idempotent && !can_retry {
            return TimeoutAction::RecheckAfter((timeout / RECHECK_DIVISOR).max(MIN_RECHECK_DELAY));
        }
        self.counts.timed_out += 1;
        // A lower bound of the latency: the response would have taken at least this long.
        self.latencies.record(now, timeout);
        TimeoutAction::Cancel
    }

    /// Delay of a hedge from the start of the request's first attempt; `None` if the class is not
    /// hedged or the delay is not known yet.
    pub fn hedge_delay(&mut self, now: Nanos) -> Option<Nanos> {
        let hedge = self.policy.hedge.filter(|_| self.policy.effect == Effect::Safe)?;
        match hedge.delay {
            HedgeDelay::Fixed(delay) => Some(delay),
            HedgeDelay::P95 => self.latencies.quantiles(now).map(|quantiles| quantiles.p95),
        }
    }

    /// Charges one hedge to the budget. Returns whether the budget covered it, in which case the
    /// caller starts the hedge.
    #[must_use = "the hedge has been charged to the budget"]
    pub fn try_hedge(&mut self) -> bool {
        let is_allowed = self.policy.hedge.is_some() && self.hedge_budget.try_withdraw(1.0);
        if is_allowed {
            self.counts.hedged += 1;
        }
        is_allowed
    }

    /// Adds the latency of a response to the samples that the latency quantiles are computed from.
    pub fn record_response(&mut self, now: Nanos, latency: Nanos) {
        self.latencies.record(now, latency);
    }

    /// Returns the median latency; `None` while there are too few samples.
    pub fn median_latency(&mut self, now: Nanos) -> Option<Nanos> {
        self.latencies.quantiles(now).map(|quantiles| quantiles.p50)
    }

    /// Returns the numbers of timeouts and hedges since the tracker was created.
    #[must_use]
    pub fn counts(&self) -> AttemptCounts {
        self.counts
    }
}
