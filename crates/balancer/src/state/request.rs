//! Records of requests and their attempts.

use crate::api::{Outcome, ServerId};
use crate::decide::retry_safety::{PossibleRun, RequestProgress};
use crate::server_order::AdjacentPair;
use mintshelf_time::Nanos;

/// One attempt of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent_at: Nanos,
    /// How it ended; none while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) is_overdue: bool,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it may have had its effect.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request from its arrival to the end of its last attempt.
#[derive(Debug, Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    /// Log of the expected work in core nanoseconds, if the client states it.
    pub(crate) log_work: Option<f64>,
    pub(crate) is_repeat: bool,
    pub(crate) arrived_at: Nanos,
    pub(crate) deadline: Nanos,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) is_finished: bool,
    pub(crate) is_streaming: bool,
    /// The pair of servers whose load reports it waits for.
    pub(crate) awaited_pair: Option<AdjacentPair>,
    /// Tokens of its timers.
    pub(crate) timer_tokens: Vec<u64>,
}

impl Request {
    /// Whether it is open with a single attempt in flight.
    pub(crate) fn has_one_in_flight(&self) -> bool {
        let in_flight = self.attempts.iter().filter(|attempt| attempt.is_in_flight());
        !self.is_finished && in_flight.count() == 1
    }

    /// The record of an attempt, by its number.
    pub(crate) fn record_of(&self, attempt: usize) -> AttemptRecord {
        let attempt = &self.attempts[attempt];
        AttemptRecord {
            class: self.class,
            log_work: self.log_work,
            server: attempt.server,
            sent_at: attempt.sent_at,
            is_overdue: attempt.is_overdue,
            is_request_finished: self.is_finished,
        }
    }

    /// Whether nothing happens to it unless another attempt is made.
    pub(crate) fn needs_attempt(&self) -> bool {
        let is_open = !self.is_finished && !self.is_streaming && self.awaited_pair.is_none();
        is_open && !self.has_attempt_in_flight()
    }

    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// What the safety rules need to know of it.
    pub(crate) fn progress(&self) -> RequestProgress {
        let first_possible_run = self.attempts.iter().find(|attempt| attempt.may_have_run());
        RequestProgress {
            attempts: self.attempts.len(),
            has_attempt_in_flight: self.has_attempt_in_flight(),
            first_possible_run: first_possible_run
                .map(|attempt| PossibleRun { server: attempt.server, sent_at: attempt.sent_at }),
            deadline: self.deadline,
            is_settled: self.is_finished || self.is_streaming,
        }
    }
}

/// The report that an attempt has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptEnd {
    pub(crate) outcome: Outcome,
    /// Whether the request has ended with it.
    pub(crate) is_request_finished: bool,
    /// Time since the attempt was sent.
    pub(crate) elapsed: Nanos,
}

/// What is on record of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptRecord {
    pub(crate) class: usize,
    pub(crate) log_work: Option<f64>,
    pub(crate) server: ServerId,
    pub(crate) sent_at: Nanos,
    pub(crate) is_overdue: bool,
    pub(crate) is_request_finished: bool,
}

/// The latency of one attempt, to learn from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencySample {
    pub(crate) class: usize,
    /// Log of the expected work in core nanoseconds, if known.
    pub(crate) log_work: Option<f64>,
    pub(crate) elapsed: Nanos,
    /// Whether the attempt was served; otherwise the latency is a lower bound.
    pub(crate) is_served: bool,
}

/// The result of a probe.
#[derive(Debug, Clone)]
pub(crate) struct ProbeResult {
    pub(crate) is_ok: bool,
    /// The load report that came with it, in the order of the settings.
    pub(crate) report: Option<Vec<f64>>,
}
