//! Records of attempts: server, start time and outcome.

use crate::upstream::attempt_control::AttemptControl;
use mintshelf_balancer::api::{AttemptNumber, ClassId, Event, Outcome, ServerId};
use mintshelf_time::Nanos;
use std::rc::Rc;

/// An attempt that has just been added to its request.
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
    /// The outcome of the attempt; `None` while the attempt is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Returns whether the attempt has not ended.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the server may have run the request, also while the attempt is in flight.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// The outcome of an ended attempt, with the load report and the time of the response.
pub(crate) struct AttemptEnd {
    pub(crate) number: AttemptNumber,
    pub(crate) outcome: Outcome,
    pub(crate) load_report: Option<Vec<f64>>,
    /// Arrival time of the response head; `None` if the latency is measured to the attempt's end.
    pub(crate) responded_at: Option<Nanos>,
}

impl AttemptEnd {
    /// Returns the end of an attempt without a load report, at the current time.
    pub(crate) fn new(number: AttemptNumber, outcome: Outcome) -> Self {
        AttemptEnd { number, outcome, load_report: None, responded_at: None }
    }
}

/// An attempt whose end has been recorded.
pub(crate) struct EndedAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) outcome: Outcome,
    pub(crate) class: ClassId,
    pub(crate) server: ServerId,
    /// Latency in nanoseconds: until the response head, or until the end without a response.
    pub(crate) elapsed: Nanos,
    /// Whether `elapsed` is within the class's latency objective.
    pub(crate) is_in_time: bool,
    /// The event that reports the attempt's end to the decision module.
    pub(crate) event: Event,
}
