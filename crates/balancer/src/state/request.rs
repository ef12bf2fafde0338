//! Records of requests and their attempts.

use super::server_index::ServerIndex;
use crate::api::{AttemptNumber, ClassId, Outcome, ServerId};
use crate::decide::retry_safety::{PossibleRun, RequestProgress};
use crate::server_order::AdjacentPair;
use mintshelf_time::{as_float, Nanos};

/// An attempt of a request.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent_at: Nanos,
    /// Result of the attempt; `None` while the attempt is in flight.
    outcome: Option<Outcome>,
    is_overdue: bool,
}

impl Attempt {
    fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the server may have executed the attempt; true while the attempt is in
    /// flight.
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A copy of an attempt's record.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptRecord {
    pub(crate) class: ClassId,
    pub(crate) log_work: Option<f64>,
    pub(crate) server: ServerId,
    pub(crate) sent_at: Nanos,
    pub(crate) is_overdue: bool,
}

/// The record of a request, from its arrival to the end of its last attempt.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) class: ClassId,
    /// Natural log of the expected CPU time in nanoseconds; `None` if the client does not state it.
    pub(crate) log_work: Option<f64>,
    pub(crate) arrived_at: Nanos,
    pub(crate) deadline: Nanos,
    /// The adjacent pair whose load reports the request waits for.
    pub(crate) awaited_pair: Option<AdjacentPair<ServerIndex>>,
    attempts: Vec<Attempt>,
    is_finished: bool,
    is_streaming: bool,
    timer_tokens: Vec<u64>,
}

impl Request {
    /// Creates the record of a request that arrives at `now`. `cost_estimate` is its expected CPU
    /// time in nanoseconds.
    pub(crate) fn new(
        class: ClassId,
        cost_estimate: Option<Nanos>,
        now: Nanos,
        client_timeout: Nanos,
    ) -> Self {
        let cost = cost_estimate.filter(|cost| *cost > 0);
        Request {
            class,
            log_work: cost.map(|cost| as_float(cost).ln()),
            arrived_at: now,
            deadline: now.saturating_add(client_timeout),
            awaited_pair: None,
            attempts: Vec::new(),
            is_finished: false,
            is_streaming: false,
            timer_tokens: Vec::new(),
        }
    }

    /// Returns the attempts of the request in the order of sending.
    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Returns whether the request has ended; attempts may still be in flight.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Returns whether the response stream of the request has begun.
    pub(crate) fn is_streaming(&self) -> bool {
        self.is_streaming
    }

    /// Returns whether any attempt of the request is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether the request has not ended and has exactly one attempt in flight.
    pub(crate) fn has_one_in_flight(&self) -> bool {
        let in_flight = self.attempts.iter().filter(|attempt| attempt.is_in_flight());
        !self.is_finished && in_flight.count() == 1
    }

    /// Returns whether the request can only proceed by another attempt.
    pub(crate) fn needs_attempt(&self) -> bool {
        let is_open = !self.is_finished && !self.is_streaming && self.awaited_pair.is_none();
        is_open && !self.has_attempt_in_flight()
    }

    /// Returns the input of the safety rules.
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

    /// Records that an attempt was sent; returns the number of the attempt.
    pub(crate) fn record_send(&mut self, server: ServerId, now: Nanos) -> AttemptNumber {
        let number = AttemptNumber::from_index(self.attempts.len());
        self.attempts.push(Attempt { server, sent_at: now, outcome: None, is_overdue: false });
        number
    }

    /// Records that the response stream of the request has begun.
    pub(crate) fn record_stream_start(&mut self) {
        self.is_streaming = true;
    }

    /// Records the outcome of an attempt; returns `None` if the attempt is unknown or had ended.
    pub(crate) fn record_end(
        &mut self,
        number: AttemptNumber,
        outcome: Outcome,
    ) -> Option<AttemptRecord> {
        let attempt = self.attempts.get_mut(number.index());
        let attempt = attempt.filter(|attempt| attempt.is_in_flight())?;
        attempt.outcome = Some(outcome);
        self.record_of(number)
    }

    /// Returns the record of an attempt that awaits its response; `None` if the attempt has ended
    /// or the response has begun.
    pub(crate) fn attempt_awaiting_response(&self, number: AttemptNumber) -> Option<AttemptRecord> {
        self.attempts.get(number.index()).filter(|attempt| attempt.is_in_flight())?;
        self.record_of(number).filter(|_| !self.is_streaming)
    }

    /// Marks an attempt as overdue.
    pub(crate) fn mark_overdue(&mut self, number: AttemptNumber) {
        if let Some(attempt) = self.attempts.get_mut(number.index()) {
            attempt.is_overdue = true;
        }
    }

    /// Adds a timer to be dropped when the request's record is removed.
    pub(crate) fn add_timer(&mut self, token: u64) {
        self.timer_tokens.push(token);
    }

    /// Marks the request finished. Once no attempt is in flight and the record can be removed,
    /// returns the tokens of the request's timers.
    pub(crate) fn finish(&mut self) -> Option<Vec<u64>> {
        self.is_finished = true;
        (!self.has_attempt_in_flight()).then(|| std::mem::take(&mut self.timer_tokens))
    }

    fn record_of(&self, number: AttemptNumber) -> Option<AttemptRecord> {
        let attempt = self.attempts.get(number.index())?;
        Some(AttemptRecord {
            class: self.class,
            log_work: self.log_work,
            server: attempt.server,
            sent_at: attempt.sent_at,
            is_overdue: attempt.is_overdue,
        })
    }
}
