//! What is kept of a request and its attempts.

use crate::api::{Nanos, Outcome, ServerId};
use crate::decide::AdjacentPair;

/// One attempt.
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Nanos,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) overdue: bool,
}

impl Attempt {
    /// Whether it has not ended.
    pub(crate) fn out(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it may have had its effect.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request from arrival to its last attempt's end.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    /// Log of the work expected, if the client says.
    pub(crate) cost: Option<f64>,
    pub(crate) repeat: bool,
    pub(crate) arrived: Nanos,
    pub(crate) deadline: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) finished: bool,
    pub(crate) streaming: bool,
    /// Waiting for reports of these two.
    pub(crate) pair: Option<AdjacentPair>,
    /// Tokens of its timers.
    pub(crate) wakes: Vec<u64>,
}

impl Request {
    /// Whether it is open with a single attempt out.
    pub(crate) fn has_one_out(&self) -> bool {
        !self.finished && self.attempts.iter().filter(|a| a.out()).count() == 1
    }
}

/// What may be done with a request now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Legal {
    /// Another attempt may go out.
    pub send: bool,
    /// It must go to the group of this server.
    pub group_of: Option<ServerId>,
    /// It may be refused; otherwise it can only fail.
    pub refuse: bool,
}

/// How an attempt ended, whether its request has too, and how long it took.
pub(crate) type End = (Outcome, bool, Nanos);
/// An attempt as it teaches speed: its class, the log of its work if known, and its time.
pub(crate) type Sample = (usize, Option<f64>, Nanos);
/// Whether a probe went well, and the load report that came with it.
pub(crate) type Health = (bool, Option<Vec<f64>>);
