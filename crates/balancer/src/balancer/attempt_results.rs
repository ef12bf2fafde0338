//! Handling of attempts that end or become overdue.

use super::inputs::AttemptEnd;
use super::Balancer;
use crate::api::{AttemptNumber, EndReason, Outcome, RequestId};
use crate::decide::congestion::CongestionSignal;
use crate::decide::estimators::Estimators;
use crate::decide::latency_model::{LatencyBound, LatencySample};
use crate::decide::{overdue, retries};
use crate::state::{AttemptRecord, ServerIndex, Timer};
use mintshelf_time::Nanos;

impl Balancer {
    /// Records the result of an attempt that has ended, then finishes, retries or ends its request.
    pub(super) fn on_attempt_ended(
        &mut self,
        id: &RequestId,
        attempt: AttemptNumber,
        end: AttemptEnd,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(ended) = request.record_end(attempt, end.outcome) else { return };
        let is_finished = end.is_request_finished || request.is_finished();
        let is_unresponsive = self.record_server_outcome(&ended, end);
        let was_overdue = ended.is_overdue;
        if let Some(signal) =
            CongestionSignal::from_outcome(end.outcome, was_overdue, is_unresponsive)
        {
            self.record_congestion(signal);
        }
        if is_finished {
            self.finish_request(id);
        } else {
            self.retry_or_end(id, end.outcome);
        }
    }

    /// Updates the state of the attempt's server. Returns whether the server was unresponsive, that
    /// is, silent while other servers responded.
    fn record_server_outcome(&mut self, ended: &AttemptRecord, end: AttemptEnd) -> bool {
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
                self.record_latency(index, ended, end.elapsed, LatencyBound::AtLeast);
                let is_ejected = self.servers[index].health.record_timeout(self.now);
                self.exclude_if_ejected(index, is_ejected);
            }
            Outcome::Cancelled => {
                self.record_latency(index, ended, end.elapsed, LatencyBound::AtLeast);
            }
            outcome if outcome.is_server_failure() => {
                let is_ejected =
                    self.servers[index].health.record_failure(self.now, failure_weight);
                self.exclude_if_ejected(index, is_ejected);
            }
            _ => {}
        }
        is_unresponsive
    }

    /// Updates health, latency and traffic estimates with an attempt that a server has served.
    fn record_served(&mut self, index: ServerIndex, ended: &AttemptRecord, elapsed: Nanos) {
        self.servers[index].record_served(ended.sent_at);
        self.record_latency(index, ended, elapsed, LatencyBound::Exact);
        self.servers[index].health.record_success();
        let per_capacity = if self.servers[index].is_live() {
            1.0 / self.estimators.total_capacity(self.now, &self.servers)
        } else {
            0.0
        };
        self.estimators.traffic.count_served(self.now, per_capacity);
    }

    /// Adds the latency of an attempt to the latency model.
    fn record_latency(
        &mut self,
        index: ServerIndex,
        ended: &AttemptRecord,
        elapsed: Nanos,
        bound: LatencyBound,
    ) {
        let AttemptRecord { class, log_work, .. } = *ended;
        let sample = LatencySample { class, log_work, elapsed, bound };
        let model = self.estimators.hardware_model(&self.servers[index]);
        let server = &mut self.servers[index].latency;
        self.estimators.latency.record_sample(self.now, server, model, sample);
    }

    /// Excludes a server from the server orders if its last failure ejected it.
    pub(super) fn exclude_if_ejected(&mut self, index: ServerIndex, is_ejected: bool) {
        if is_ejected {
            self.servers.mark_maybe_unhealthy(index);
            self.orders.invalidate();
        }
    }

    /// Adjusts the reject level by the congestion signal of one attempt.
    fn record_congestion(&mut self, signal: CongestionSignal) {
        let Estimators { latency, traffic, .. } = &self.estimators;
        let served_per_second = traffic.served_per_second(self.now);
        self.admission.record(self.now, signal, served_per_second, &self.settings, latency);
    }

    /// Retries a request, or ends it if a retry is of no use or the retry budget is exhausted. A
    /// retry after an attempt that never ran is free.
    fn retry_or_end(&mut self, id: &RequestId, outcome: Outcome) {
        let request = &self.requests[id];
        let class = self.settings.class(request.class);
        if retries::is_retryable(request, outcome)
            && self.retry_budget.try_withdraw(retries::retry_cost(outcome))
        {
            match retries::draw_backoff(class, request, self.now, &mut self.rng) {
                None => self.send_or_hold(id),
                Some(after) => {
                    self.set_request_timer(after, id, Timer::HoldExpired(id.clone()));
                }
            }
        } else if !self.requests[id].has_attempt_in_flight() {
            self.reject_or_fail(id, EndReason::NoRetry);
        }
    }

    /// Counts an attempt that has become overdue as congestion. Its timeout may come long after an
    /// overload began.
    pub(super) fn on_overdue(&mut self, id: &RequestId, attempt: AttemptNumber) {
        let request = self.requests.get(id);
        let Some(awaited) = request.and_then(|request| request.attempt_awaiting_response(attempt))
        else {
            return;
        };
        self.orders.invalidate();
        let Some(index) = self.servers.index_of(awaited.server) else { return };
        let class = self.settings.class(awaited.class);
        let server = &mut self.servers[index];
        if overdue::is_class_specific(class, server, awaited.sent_at) {
            server.health.eject_for_class(awaited.class, self.now);
            return;
        }
        server.overdue += 1;
        self.servers.mark_maybe_unhealthy(index);
        if let Some(request) = self.requests.get_mut(id) {
            request.mark_overdue(attempt);
        }
        if !self.is_unresponsive(index, awaited.sent_at) {
            self.record_congestion(CongestionSignal::OVERDUE);
        }
    }

    /// Returns whether a server is unresponsive, judged by an attempt sent to it at `sent_at`.
    fn is_unresponsive(&self, index: ServerIndex, sent_at: Nanos) -> bool {
        let last_signal_at = self.admission.last_signal_at();
        self.settings.detects_unresponsive_servers
            && overdue::is_unresponsive(&self.servers[index], sent_at, last_signal_at, self.now)
    }
}
