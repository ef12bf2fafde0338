//! Detects an outage of a cluster, in which most recent attempts fail.

use mintshelf_balancer::decay::DecayingCounter;
use mintshelf_time::{Nanos, SECOND};

/// Half-life of the attempt counts.
const HALF_LIFE: Nanos = SECOND / 2;
/// Minimum number of recent attempts for detecting an outage.
const MIN_ATTEMPTS: f64 = 16.0;
/// Minimum fraction of recent attempts that failed.
const MIN_FAILURE_FRACTION: f64 = 0.8;

/// Counts recently ended attempts, and the failures among them.
#[derive(Debug, Default)]
pub(crate) struct OutageDetector {
    attempts: DecayingCounter,
    failures: DecayingCounter,
}

impl OutageDetector {
    /// Creates a detector that has recorded one attempt, which did not fail.
    pub(crate) fn after_response(now: Nanos) -> Self {
        let mut detector = OutageDetector::default();
        detector.attempts.add(now, HALF_LIFE, 1.0);
        detector
    }

    /// Records the end of an attempt.
    pub(crate) fn record(&mut self, now: Nanos, has_failed: bool) {
        let failures = if has_failed { 1.0 } else { 0.0 };
        self.attempts.add(now, HALF_LIFE, 1.0);
        self.failures.add(now, HALF_LIFE, failures);
    }

    /// Returns whether the cluster is in an outage, as of the last recorded attempt.
    pub(crate) fn is_outage(&self) -> bool {
        let attempts = self.attempts.sum;
        let failures = self.failures.sum;
        attempts >= MIN_ATTEMPTS && failures >= MIN_FAILURE_FRACTION * attempts
    }
}
