//! Timeouts, hedges and connection bounds of attempts, by class.

use super::attempt_timeouts::AttemptTimeouts;
use mintshelf_balancer::api::{AttemptNumber, ClassId};
use mintshelf_retry::attempts::{AttemptCounts, AttemptTracker, RetryConditions, TimeoutAction};
use mintshelf_retry::policy::RetryPolicy;
use mintshelf_time::Nanos;
use std::cell::RefCell;
use std::time::Duration;

/// Bounds of the connections that a class's attempts use.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClassConnectionBounds {
    /// Maximum time to establish a new connection.
    pub(crate) connect_timeout: Duration,
    /// A connection that has been idle for longer is not used.
    pub(crate) max_idle: Duration,
}

/// The attempt tracker of each class. Empty on the platform, where the decision module applies the
/// platform configuration.
pub(crate) struct RetryTrackers(Vec<RefCell<AttemptTracker>>);

impl RetryTrackers {
    /// Creates a tracker for each policy; the index of a policy is that of its class.
    pub(crate) fn new(policies: Vec<RetryPolicy>, now: Nanos) -> Self {
        let tracker = |policy| RefCell::new(AttemptTracker::new(policy, now));
        RetryTrackers(policies.into_iter().map(tracker).collect())
    }

    fn tracker(&self, class: ClassId) -> Option<&RefCell<AttemptTracker>> {
        self.0.get(class.index())
    }

    /// Counts a new request, which adds to the hedge budget of its class.
    pub(crate) fn record_request(&self, class: ClassId) {
        if let Some(tracker) = self.tracker(class) {
            tracker.borrow_mut().record_request();
        }
    }

    /// Returns the timeouts of an attempt in addition to its request's deadline; `None` if there
    /// are none. Only the first attempt can be hedged.
    pub(crate) fn timeouts(
        &self,
        class: ClassId,
        number: AttemptNumber,
        now: Nanos,
    ) -> Option<AttemptTimeouts> {
        let mut tracker = self.tracker(class)?.borrow_mut();
        let hedge_after_ns = tracker.hedge_delay(now).filter(|_| number.index() == 0);
        let timeout_ns = tracker.attempt_timeout(now, number);
        let is_limited = timeout_ns.is_some() || hedge_after_ns.is_some();
        is_limited.then_some(AttemptTimeouts { timeout_ns, hedge_after_ns })
    }

    /// Returns the bounds of the connections that a class's attempts use; `None` on the platform.
    pub(crate) fn connection_bounds(&self, class: ClassId) -> Option<ClassConnectionBounds> {
        let tracker = self.tracker(class)?.borrow();
        let policy = tracker.policy();
        Some(ClassConnectionBounds {
            connect_timeout: Duration::from_nanos(policy.connect_timeout),
            max_idle: Duration::from_nanos(policy.idle_timeout),
        })
    }

    /// Decides what happens to an attempt whose own timeout has passed.
    pub(crate) fn on_timeout(
        &self,
        class: ClassId,
        now: Nanos,
        timeout_ns: Nanos,
        conditions: RetryConditions,
    ) -> TimeoutAction {
        let Some(tracker) = self.tracker(class) else { return TimeoutAction::Cancel };
        tracker.borrow_mut().on_timeout(now, timeout_ns, conditions)
    }

    /// Returns whether a hedge may be sent now; if so, it is deducted from the budget and counted.
    pub(crate) fn try_hedge(&self, class: ClassId) -> bool {
        self.tracker(class).is_some_and(|tracker| tracker.borrow_mut().try_hedge())
    }

    /// Records the latency of a response, in nanoseconds.
    pub(crate) fn record_response(&self, class: ClassId, now: Nanos, elapsed: Nanos) {
        if let Some(tracker) = self.tracker(class) {
            tracker.borrow_mut().record_response(now, elapsed);
        }
    }

    /// Returns the median latency of a class in nanoseconds; `None` while it is unknown.
    pub(crate) fn median_latency(&self, class: ClassId, now: Nanos) -> Option<Nanos> {
        self.tracker(class)?.borrow_mut().median_latency(now)
    }

    /// Returns the number of attempts cancelled for their own timeout, and the number of hedges, of
    /// all classes together.
    pub(crate) fn counts(&self) -> AttemptCounts {
        let mut counts = AttemptCounts::default();
        for tracker in &self.0 {
            let class_counts = tracker.borrow().counts();
            counts.timed_out += class_counts.timed_out;
            counts.hedged += class_counts.hedged;
        }
        counts
    }
}
