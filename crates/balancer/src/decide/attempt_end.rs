//! Attempts that end, are overdue or are hedged: what they show, and what follows.

use super::rates::RATE_HALF_LIFE;
use super::{health, Balancer};
use crate::api::{Effect, EndReason, Outcome, RequestId};
use crate::state::{AttemptEnd, AttemptRecord, LatencySample, Timer};
use mintshelf_time::Nanos;

/// Weight of an attempt in the baseline share of failures.
const FAILURE_SHARE_GAIN: f64 = 0.005;
/// A baseline share of failures at which each failure counts in full.
const RARE_FAILURE_SHARE: f64 = 0.01;
/// What a rejection by a full queue counts as, of a congested attempt.
const FULL_WEIGHT: f64 = 0.3;
/// What a timed-out attempt counts as, of a failure.
const TIMEOUT_WEIGHT: f64 = 0.5;

impl Balancer {
    pub(crate) fn on_attempt_ended(&mut self, id: &RequestId, attempt: usize, end: AttemptEnd) {
        let Some(ended) = self.record_end(id, attempt, end.outcome) else { return };
        let is_silence = self.record_at_server(&ended, end);
        match end.outcome {
            Outcome::Ok if !ended.is_overdue => self.note_congestion(0.0),
            Outcome::TimedOut if !ended.is_overdue && !is_silence => self.note_congestion(1.0),
            Outcome::Full => self.note_congestion(FULL_WEIGHT),
            // Overdue ones have counted already; failures are no sign of load.
            _ => {}
        }
        if end.is_request_finished || ended.is_request_finished {
            self.close(id);
        } else {
            self.retry_or_end(id, end.outcome);
        }
    }

    /// Updates the attempt's server; returns whether it was silent while others responded.
    fn record_at_server(&mut self, ended: &AttemptRecord, end: AttemptEnd) -> bool {
        let Some(index) = self.servers.index_of(ended.server) else { return false };
        let is_silence = self.is_silent(index, ended.sent_at);
        self.servers[index].record_end(self.now, ended.is_overdue, end.outcome);
        self.orders.is_stale |= ended.is_overdue;
        let failure_weight = self.count_failure(end.outcome);
        let AttemptRecord { class, log_work, .. } = *ended;
        let is_served = end.outcome == Outcome::Ok;
        let sample = LatencySample { class, log_work, elapsed: end.elapsed, is_served };
        match end.outcome {
            Outcome::Ok => self.record_served(index, ended.sent_at, sample),
            Outcome::TimedOut => {
                self.learn(index, sample);
                self.record_failure(index, TIMEOUT_WEIGHT);
            }
            Outcome::Cancelled => self.learn(index, sample),
            outcome if outcome.failed() => self.record_failure(index, failure_weight),
            _ => {}
        }
        is_silence
    }

    /// Updates the baseline share of failures and returns the weight of one failure: where all
    /// servers fail now and then, several in succession occur by chance.
    fn count_failure(&mut self, outcome: Outcome) -> f64 {
        let failed = f64::from(u8::from(outcome.failed()));
        self.baseline_failure_share += FAILURE_SHARE_GAIN * (failed - self.baseline_failure_share);
        self.baseline_failure_share.log(RARE_FAILURE_SHARE).clamp(0.0, 1.0)
    }

    fn record_served(&mut self, index: usize, sent_at: Nanos, sample: LatencySample) {
        let server = &mut self.servers[index];
        server.last_served_sent_at = server.last_served_sent_at.max(sent_at);
        self.learn(index, sample);
        self.record_success(index);
        self.traffic.served.add(self.now, RATE_HALF_LIFE, 1.0);
        let per_capacity = f64::from(self.servers[index].is_live()) / self.capacity();
        self.traffic.served_per_capacity.add(self.now, RATE_HALF_LIFE, per_capacity);
    }

    /// Retries a request or ends it; an attempt that never ran costs no retry credit.
    fn retry_or_end(&mut self, id: &RequestId, outcome: Outcome) {
        let price = f64::from(u8::from(!outcome.never_ran()));
        // Every server would reject an invalid request; one whose stream broke can't be sent
        // again, and would never end.
        let is_retryable = outcome != Outcome::Rejected && !self.requests[id].is_streaming;
        if is_retryable && self.retry_budget.pay(price) {
            match self.backoff(id) {
                0 => self.advance(id),
                after => self.set_request_timer(after, id, Timer::HoldExpired(id.clone())),
            }
        } else if !self.requests[id].has_attempt_in_flight() {
            self.end(id, EndReason::NoRetry);
        }
    }

    /// Counts a silent attempt as congestion: its time-out may come long after an overload began.
    pub(crate) fn on_overdue(&mut self, id: &RequestId, attempt: usize) {
        let Some(awaited) = self.awaited_attempt(id, attempt) else { return };
        self.orders.is_stale = true;
        let Some(index) = self.servers.index_of(awaited.server) else { return };
        // If what was sent later is served, there is no queue: one class is at fault, and the
        // others keep the server. A lone heavy request costs its class the server for a while.
        let objective = self.settings.classes[awaited.class].latency_objective;
        let server = &mut self.servers[index];
        if server.last_served_sent_at > awaited.sent_at + objective / 4 {
            server.eject_for(awaited.class, self.now + health::EJECTION_BASE);
            return;
        }
        self.mark_overdue(id, attempt, index);
        if !self.is_silent(index, awaited.sent_at) {
            self.note_congestion(1.0);
        }
    }

    /// Whether a server was silent for half of an attempt while others responded: it is
    /// unresponsive, since an overloaded one would answer what came before.
    fn is_silent(&self, index: usize, sent_at: Nanos) -> bool {
        let half = self.now - self.now.saturating_sub(sent_at) / 2;
        self.settings.is_silence_local
            && self.servers[index].last_response_at < half
            && self.overload.last_end_at > half
    }

    /// Delay before a further attempt: full jitter below the exponential bound, so that
    /// requests that failed together don't return together. There is none where the bound
    /// might outlast the request.
    fn backoff(&mut self, id: &RequestId) -> Nanos {
        let Some(request) = self.requests.get(id) else { return 0 };
        let bound = self.settings.classes[request.class].backoff.bound(request.attempts.len());
        if bound == 0 || self.now + bound >= request.deadline {
            return 0;
        }
        (self.rng.draw() * bound as f64) as Nanos
    }

    /// Sends a hedge beside a slow first attempt, if the class and the retry budget allow it.
    pub(crate) fn on_hedge_requested(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let is_safe = self.settings.classes[request.class].effect == Effect::Safe;
        let may_hedge = is_safe && request.has_one_in_flight() && self.retry_budget.covers(1.0);
        if may_hedge && self.try_send(id) {
            self.retry_budget.pay(1.0);
        }
    }
}
