//! Outage and recovery of a cluster: which requests are admitted meanwhile, and when rejected
//! clients may retry.

use super::request::RequestOutcome;
use mintshelf_balancer::api::{Class, Outcome};
use mintshelf_recovery::{OutageSignal, Phase, Recovery, DEDUP_WINDOW_DIVISOR};
use mintshelf_time::{Nanos, SECOND};
use std::cell::RefCell;

/// Margin for a client that retries later than its Retry-After states, in nanoseconds.
const RETRY_AFTER_MARGIN: Nanos = SECOND;

/// The state of a cluster's outage and recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveryStatus {
    /// Whether the cluster is up, down or recovering.
    pub phase: Phase,
    /// Number of rejected clients whose Retry-After time has not passed yet.
    pub expected_clients: u64,
}

/// Tracks outages and recoveries of one cluster.
pub(crate) struct RecoveryTracker(RefCell<Recovery>);

impl RecoveryTracker {
    /// Creates the tracker of a cluster that is up. `ramp` is the length of the recovery ramp in
    /// nanoseconds, 0 for none.
    pub(crate) fn new(seed: u64, ramp: Nanos, max_retry_after: Nanos) -> Self {
        RecoveryTracker(RefCell::new(Recovery::new(seed, ramp, max_retry_after)))
    }

    /// Returns whether a request is admitted to the cluster now.
    pub(crate) fn admit(&self, now: Nanos) -> bool {
        self.0.borrow_mut().ramp.admit(now)
    }

    /// Returns the current phase, and the number of clients that are expected to retry.
    pub(crate) fn status(&self) -> RecoveryStatus {
        let recovery = self.0.borrow();
        RecoveryStatus {
            phase: recovery.ramp.phase(),
            expected_clients: recovery.retry_after.expected_clients(),
        }
    }

    /// Records how an attempt ended, as a signal for outage detection.
    pub(crate) fn attempt_ended(&self, now: Nanos, outcome: Outcome, is_in_time: bool) {
        if let Some(signal) = OutageSignal::from_outcome(outcome, is_in_time) {
            self.0.borrow_mut().ramp.record(now, signal);
        }
    }

    /// Records the outcome of a request, and sets the delay after which a rejected client may
    /// retry.
    pub(crate) fn request_ended(
        &self,
        now: Nanos,
        class: Option<&Class>,
        outcome: RequestOutcome,
    ) -> RequestOutcome {
        match outcome {
            RequestOutcome::Rejected { ran_at, .. } => match self.retry_after(now, class, ran_at) {
                Some(retry_after) => RequestOutcome::Rejected { retry_after, ran_at },
                None => RequestOutcome::Failed { timed_out: false },
            },
            RequestOutcome::Served(response) if !response.status.is_server_error() => {
                self.0.borrow_mut().retry_after.record_served(now);
                RequestOutcome::Served(response)
            }
            outcome => outcome,
        }
    }

    /// Returns the delay after which a client rejected at `now` may retry, in nanoseconds. `None`
    /// if the request may have run at `ran_at` and the retry would arrive after servers have
    /// dropped the request's idempotency key, as the request could then run twice.
    pub(crate) fn retry_after(
        &self,
        now: Nanos,
        class: Option<&Class>,
        ran_at: Option<Nanos>,
    ) -> Option<Nanos> {
        let mut window = class.and_then(Class::resend_window);
        if let Some((window_ns, ran_at)) = window.zip(ran_at) {
            let remaining = ran_at.saturating_add(window_ns).saturating_sub(now);
            let max = remaining.checked_sub(RETRY_AFTER_MARGIN).filter(|max| *max >= SECOND)?;
            window = Some(window_ns.min(max.saturating_mul(DEDUP_WINDOW_DIVISOR)));
        }
        Some(self.0.borrow_mut().retry_after.schedule_retry(now, window) * SECOND)
    }
}
