//! Attempts that end or are overdue: what they show, and what follows.

use super::Balancer;
use crate::api::{AttemptNumber, EndReason, Outcome, RequestId};
use crate::decide::admission::Congestion;
use crate::decide::estimators::Estimators;
use crate::decide::latency_model::{LatencyBound, LatencySample};
use crate::state::{AttemptRecord, Timer};
use mintshelf_time::{as_float, from_float, Nanos};

/// What a rejection by a full queue counts as, of a congested attempt.
const FULL_QUEUE_CONGESTION: f64 = 0.3;
/// What a timed-out or overdue attempt counts as.
const SILENCE_CONGESTION: f64 = 1.0;
/// Weight of a timed-out attempt, as a failure of its server.
const TIMEOUT_FAILURE_WEIGHT: f64 = 0.5;
/// Retry credits that a retry costs, if the attempt before it may have run.
const RETRY_PRICE: f64 = 1.0;
/// A response to an attempt sent this part of an objective later shows that there is no queue.
const LATER_RESPONSE_OBJECTIVE_PARTS: Nanos = 4;

/// The report that an attempt has ended.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptEnd {
    pub(super) outcome: Outcome,
    /// Whether the request has ended with it.
    pub(super) is_request_finished: bool,
    /// Time since the attempt was sent.
    pub(super) elapsed: Nanos,
}

impl Balancer {
    pub(super) fn on_attempt_ended(
        &mut self,
        id: &RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(ended) = request.record_end(attempt, end.outcome) else { return };
        let is_finished = end.is_request_finished || request.is_finished();
        let is_unresponsive = self.record_at_server(&ended, end);
        if let Some(congestion) = congestion_of(&ended, end.outcome, is_unresponsive) {
            self.record_congestion(congestion);
        }
        if is_finished {
            self.close(id);
        } else {
            self.retry_or_end(id, end.outcome);
        }
    }

    /// Updates the attempt's server; returns whether it was silent while others responded.
    fn record_at_server(&mut self, ended: &AttemptRecord, end: AttemptEnd) -> bool {
        let Some(index) = self.servers.index_of(ended.server) else { return false };
        let is_unresponsive = self.is_unresponsive(index, ended.sent_at);
        self.servers[index].record_end(self.now, ended.is_overdue, end.outcome);
        if ended.is_overdue {
            self.orders.invalidate();
        }
        let failure_weight = self.failure_baseline.record(end.outcome);
        match end.outcome {
            Outcome::Ok => self.record_served(index, ended, end.elapsed),
            Outcome::TimedOut => {
                self.learn(index, ended, end.elapsed, LatencyBound::AtLeast);
                self.record_failure(index, TIMEOUT_FAILURE_WEIGHT);
            }
            Outcome::Cancelled => self.learn(index, ended, end.elapsed, LatencyBound::AtLeast),
            outcome if outcome.failed() => self.record_failure(index, failure_weight),
            _ => {}
        }
        is_unresponsive
    }

    fn record_served(&mut self, index: usize, ended: &AttemptRecord, elapsed: Nanos) {
        self.servers[index].record_served(ended.sent_at);
        self.learn(index, ended, elapsed, LatencyBound::Exact);
        self.servers[index].health.record_success();
        let per_capacity = match self.servers[index].is_live() {
            true => 1.0 / self.estimators.total_capacity(self.now, &self.servers),
            false => 0.0,
        };
        self.estimators.traffic.count_served(self.now, per_capacity);
    }

    fn learn(&mut self, index: usize, ended: &AttemptRecord, elapsed: Nanos, bound: LatencyBound) {
        let AttemptRecord { class, log_work, .. } = *ended;
        let sample = LatencySample { class, log_work, elapsed, bound };
        let model = self.estimators.hardware_model(&self.servers[index]);
        let server = &mut self.servers[index].latency;
        self.estimators.latency.learn(self.now, server, model, sample);
    }

    /// Records a failure of a server, which may eject it.
    pub(super) fn record_failure(&mut self, index: usize, weight: f64) {
        let is_ejected = self.servers[index].health.record_failure(self.now, weight);
        self.on_health_changed(index, is_ejected);
    }

    /// Records a fault of a server, which ejects it.
    pub(super) fn record_fault(&mut self, index: usize) {
        let is_ejected = self.servers[index].health.record_fault(self.now);
        self.on_health_changed(index, is_ejected);
    }

    fn on_health_changed(&mut self, index: usize, is_ejected: bool) {
        if is_ejected {
            self.servers.suspect(index);
            self.orders.invalidate();
        }
    }

    fn record_congestion(&mut self, congestion: Congestion) {
        let Estimators { latency, traffic, .. } = &self.estimators;
        let served_per_second = traffic.served_per_second(self.now);
        self.admission.record(self.now, congestion, served_per_second, &self.settings, latency);
    }

    /// Retries a request or ends it; an attempt that never ran costs no retry credit.
    fn retry_or_end(&mut self, id: &RequestId, outcome: Outcome) {
        let request = &self.requests[id];
        let price = if outcome.never_ran() { 0.0 } else { RETRY_PRICE };
        // Every server would reject an invalid request; one whose stream broke can't be sent
        // again, and would never end.
        let is_retryable = outcome != Outcome::Rejected && !request.is_streaming();
        if is_retryable && self.retry_budget.pay(price) {
            match self.draw_backoff(id) {
                None => self.advance(id),
                Some(after) => {
                    self.set_request_timer(after, id, Timer::HoldExpired(id.clone()));
                }
            }
        } else if !self.requests[id].has_attempt_in_flight() {
            self.end(id, EndReason::NoRetry);
        }
    }

    /// Delay before a further attempt: full jitter below the exponential bound, so that
    /// requests that failed together don't return together. There is none where the bound
    /// might outlast the request.
    fn draw_backoff(&mut self, id: &RequestId) -> Option<Nanos> {
        let request = self.requests.get(id)?;
        let class = self.settings.class(request.class);
        let bound = class.backoff.bound(request.attempts().len());
        if bound == 0 || self.now + bound >= request.deadline {
            return None;
        }
        let delay = from_float(self.rng.draw() * as_float(bound));
        Some(delay).filter(|delay| *delay > 0)
    }

    /// Counts a silent attempt as congestion: its time-out may come long after an overload began.
    pub(super) fn on_overdue(&mut self, id: &RequestId, attempt: AttemptNumber) {
        let request = self.requests.get(id);
        let Some(awaited) = request.and_then(|request| request.awaited_attempt(attempt)) else {
            return;
        };
        self.orders.invalidate();
        let Some(index) = self.servers.index_of(awaited.server) else { return };
        // If what was sent later is served, there is no queue: one class is at fault, and the
        // others keep the server. A lone heavy request costs its class the server for a while.
        let objective = self.settings.class(awaited.class).latency_objective;
        let later = awaited.sent_at + objective / LATER_RESPONSE_OBJECTIVE_PARTS;
        let server = &mut self.servers[index];
        if server.last_served_sent_at > later {
            server.health.eject_for_class(awaited.class, self.now);
            return;
        }
        server.overdue += 1;
        self.servers.suspect(index);
        if let Some(request) = self.requests.get_mut(id) {
            request.mark_overdue(attempt);
        }
        if !self.is_unresponsive(index, awaited.sent_at) {
            self.record_congestion(Congestion::Share(SILENCE_CONGESTION));
        }
    }

    /// Whether a server was silent for half of an attempt while others responded: it is
    /// unresponsive, since an overloaded one would answer what came before.
    fn is_unresponsive(&self, index: usize, sent_at: Nanos) -> bool {
        let half = self.now - self.now.saturating_sub(sent_at) / 2;
        self.settings.is_silence_local
            && self.servers[index].last_response_at < half
            && self.admission.last_sample_at() > half
    }
}

/// What an ended attempt shows of the load; `None` if it shows nothing. An overdue one has been
/// counted already, and a failure is no sign of load.
fn congestion_of(
    ended: &AttemptRecord,
    outcome: Outcome,
    is_unresponsive: bool,
) -> Option<Congestion> {
    match outcome {
        Outcome::Ok if !ended.is_overdue => Some(Congestion::None),
        Outcome::TimedOut if !ended.is_overdue && !is_unresponsive => {
            Some(Congestion::Share(SILENCE_CONGESTION))
        }
        Outcome::Full => Some(Congestion::Share(FULL_QUEUE_CONGESTION)),
        _ => None,
    }
}
