//! Outlier ejection: servers that fail are excluded from the server order for some time.

use crate::api::{ClassId, Outcome};
use crate::decay::DecayingCounter;
use mintshelf_time::{Nanos, SECOND};

/// Weight of an attempt that timed out, relative to a failure.
const TIMEOUT_WEIGHT: f64 = 0.5;
/// Weight of a failed probe, relative to a failure.
const FAILED_PROBE_WEIGHT: f64 = 0.5;
/// Sum of the weights of recent failures from which a server is ejected.
const EJECTION_FAILURES: f64 = 3.0;
/// Time in which the weight of a failure decays to half.
const FAILURE_HALF_LIFE: Nanos = 8 * SECOND;
/// Duration of the first ejection. Each further ejection takes twice as long.
const BASE_EJECTION_DURATION: Nanos = 2 * SECOND;
/// Maximum duration of an ejection.
const MAX_EJECTION_DURATION: Nanos = 16 * SECOND;
/// Maximum number of doublings of the ejection duration, so that the duration cannot overflow.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Factor by which a success reduces the weight of earlier failures.
const SUCCESS_FACTOR: f64 = 0.6;
/// Sum of the weights of recent failures below which a success resets the number of ejections.
const RECOVERED_FAILURES: f64 = 0.5;
/// Weight of one attempt in the moving average of the baseline.
const BASELINE_GAIN: f64 = 0.005;
/// Baseline share of failures up to which each failure has its full weight.
const LOW_FAILURE_SHARE: f64 = 0.01;

/// Failures and ejections of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    failures: DecayingCounter,
    /// Time at which the server's ejection for all classes ends.
    ejected_until: Nanos,
    /// Time at which the server's ejection for each class ends, indexed by class.
    class_ejected_until: Vec<Nanos>,
    /// Number of ejections since the server last recovered.
    ejections: u32,
}

impl ServerHealth {
    /// Records a failure with a weight. Returns whether the failure ejects the server.
    pub fn record_failure(&mut self, now: Nanos, weight: f64) -> bool {
        self.failures.add(now, FAILURE_HALF_LIFE, weight);
        if self.failures.sum < EJECTION_FAILURES || self.is_ejected(now) {
            return false;
        }
        let doublings = self.ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = (BASE_EJECTION_DURATION << doublings).min(MAX_EJECTION_DURATION);
        self.ejected_until = now + duration;
        self.ejections += 1;
        // The sum restarts one failure short of the next ejection. It decays while the server is
        // ejected; the remainder counts when the server returns.
        self.failures.sum = EJECTION_FAILURES - 1.0;
        true
    }

    /// Records an attempt that timed out. Returns whether the timeout ejects the server.
    pub fn record_timeout(&mut self, now: Nanos) -> bool {
        self.record_failure(now, TIMEOUT_WEIGHT)
    }

    /// Records a probe that failed. Returns whether the failure ejects the server.
    pub fn record_failed_probe(&mut self, now: Nanos) -> bool {
        self.record_failure(now, FAILED_PROBE_WEIGHT)
    }

    /// Records a fault that justifies an ejection by itself. Returns whether the fault ejects the
    /// server.
    pub fn record_fault(&mut self, now: Nanos) -> bool {
        self.record_failure(now, EJECTION_FAILURES)
    }

    /// Records that the server has served an attempt.
    pub fn record_success(&mut self) {
        self.failures.sum *= SUCCESS_FACTOR;
        if self.failures.sum < RECOVERED_FAILURES {
            self.ejections = 0;
        }
    }

    /// Ejects the server for one class, for the duration of a first ejection.
    pub fn eject_for_class(&mut self, class: ClassId, now: Nanos) {
        let class = class.index();
        if self.class_ejected_until.len() <= class {
            self.class_ejected_until.resize(class + 1, 0);
        }
        self.class_ejected_until[class] = now + BASE_EJECTION_DURATION;
    }

    /// Returns whether the server is ejected for all classes at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Nanos) -> bool {
        self.ejected_until > now
    }

    /// Returns whether the server is ejected for the class at `now`.
    #[must_use]
    pub fn is_ejected_for_class(&self, class: ClassId, now: Nanos) -> bool {
        self.class_ejected_until.get(class.index()).is_some_and(|until| *until > now)
    }

    /// Returns the sum of the decayed weights of recent failures at `now`.
    #[must_use]
    pub fn recent_failures(&self, now: Nanos) -> f64 {
        self.failures.get(now, FAILURE_HALF_LIFE)
    }
}

/// Moving average of the share of attempts that fail, over all servers.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureBaseline {
    share: f64,
}

impl FailureBaseline {
    /// Counts an attempt and returns the weight of one failure, from 0 to 1. If failures are common
    /// at all servers, several in succession occur by chance, so each has less weight.
    pub fn record(&mut self, outcome: Outcome) -> f64 {
        let failed = if outcome.is_server_failure() { 1.0 } else { 0.0 };
        self.share += BASELINE_GAIN * (failed - self.share);
        self.share.log(LOW_FAILURE_SHARE).clamp(0.0, 1.0)
    }
}
