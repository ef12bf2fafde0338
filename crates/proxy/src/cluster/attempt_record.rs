//! What is recorded of one attempt: when it was sent and where, and how it ended.

use crate::upstream::attempt_control::AttemptControl;
use mintshelf_balancer::api::{AttemptNumber, ClassId, Event, Outcome, ServerId};
use mintshelf_time::Nanos;
use std::rc::Rc;

/// An attempt that was just added to its request.
pub(crate) struct NewAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) control: Rc<AttemptControl>,
    /// Whether another attempt is in flight at the same server.
    pub(crate) is_duplicate: bool,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent_at: Nanos,
    pub(crate) control: Rc<AttemptControl>,
    /// Absent while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether it has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it may have had its effect.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// How an attempt ended.
pub(crate) struct AttemptEnd {
    pub(crate) number: AttemptNumber,
    pub(crate) outcome: Outcome,
    pub(crate) load_report: Option<Vec<f64>>,
    /// When the head of its response arrived, where that is not now.
    pub(crate) responded_at: Option<Nanos>,
}

impl AttemptEnd {
    /// The end, now, of an attempt that brought no load report.
    pub(crate) fn new(number: AttemptNumber, outcome: Outcome) -> Self {
        AttemptEnd { number, outcome, load_report: None, responded_at: None }
    }
}

/// An attempt whose end was recorded.
pub(crate) struct EndedAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) outcome: Outcome,
    pub(crate) class: ClassId,
    pub(crate) server: ServerId,
    /// How long its response took, in nanoseconds.
    pub(crate) elapsed: Nanos,
    /// Whether that was within the class's latency objective.
    pub(crate) is_in_time: bool,
    /// The event for the decision module.
    pub(crate) event: Event,
}
