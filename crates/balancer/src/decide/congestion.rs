//! Congestion signals: what the end of an attempt, or its being overdue, says about server load.

use crate::api::Outcome;

/// Weight of an attempt that a full queue rejected, relative to a congested attempt.
const FULL_QUEUE_WEIGHT: f64 = 0.3;
/// Weight of an attempt that timed out or is overdue.
const NO_RESPONSE_WEIGHT: f64 = 1.0;

/// Evidence from one attempt about the load of the servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CongestionSignal {
    /// The attempt was served in time.
    Uncongested,
    /// The attempt was congested; the value is the weight of the signal, above 0.
    Congested(f64),
}

impl CongestionSignal {
    /// Signal of an attempt that has become overdue.
    pub(crate) const OVERDUE: Self = CongestionSignal::Congested(NO_RESPONSE_WEIGHT);

    /// Returns the signal of an attempt that has ended, or `None` if it gives none. An overdue
    /// attempt was counted when it became overdue; failures and unresponsive servers are not signs
    /// of load.
    pub(crate) fn from_outcome(
        outcome: Outcome,
        was_overdue: bool,
        is_unresponsive: bool,
    ) -> Option<Self> {
        match outcome {
            Outcome::Ok if !was_overdue => Some(CongestionSignal::Uncongested),
            Outcome::TimedOut if !was_overdue && !is_unresponsive => {
                Some(CongestionSignal::Congested(NO_RESPONSE_WEIGHT))
            }
            Outcome::Full => Some(CongestionSignal::Congested(FULL_QUEUE_WEIGHT)),
            _ => None,
        }
    }
}
