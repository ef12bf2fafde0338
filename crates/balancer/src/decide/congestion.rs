//! Congestion: what an attempt shows of the load of the servers.

use crate::api::Outcome;

/// What a rejection by a full queue counts as, of a congested attempt.
const FULL_QUEUE_SHARE: f64 = 0.3;
/// What a timed-out or overdue attempt counts as.
const SILENCE_SHARE: f64 = 1.0;

/// What an attempt shows of the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Congestion {
    /// It was served in time.
    None,
    /// It counts as this part of a congested attempt, above 0.
    Share(f64),
}

impl Congestion {
    /// What an overdue attempt shows.
    pub(crate) const OVERDUE: Self = Congestion::Share(SILENCE_SHARE);

    /// What an ended attempt shows; `None` if it shows nothing. One that was overdue has been
    /// counted already, and a failure or an unresponsive server is no sign of load.
    pub(crate) fn of_ended(
        outcome: Outcome,
        was_overdue: bool,
        is_unresponsive: bool,
    ) -> Option<Self> {
        match outcome {
            Outcome::Ok if !was_overdue => Some(Congestion::None),
            Outcome::TimedOut if !was_overdue && !is_unresponsive => {
                Some(Congestion::Share(SILENCE_SHARE))
            }
            Outcome::Full => Some(Congestion::Share(FULL_QUEUE_SHARE)),
            _ => None,
        }
    }
}
