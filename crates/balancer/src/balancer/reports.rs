//! Handling of probes and load reports, and the choice between the servers of a pair by them.

use super::Balancer;
use crate::api::{Action, EndReason, Outcome, RequestId, ServerId};
use crate::decide::load_reports;
use crate::decide::retry_safety::SendPermission;
use crate::server_order::AdjacentPair;
use crate::state::ServerIndex;

impl Balancer {
    /// Requests a load report from a server, unless the server was probed recently.
    pub(super) fn probe(&mut self, index: ServerIndex) {
        let server = &mut self.servers[index];
        if server.is_live() && server.report.begin_probe(self.now) {
            self.actions.push(Action::Probe { server: server.listed.id });
        }
    }

    /// Records the result of a probe, then sends the waiting requests whose pairs have reported.
    pub(super) fn on_probed(&mut self, id: ServerId, outcome: Outcome, report: Option<&[f64]>) {
        let is_ok = outcome == Outcome::Ok;
        match (report, self.servers.index_of(id)) {
            (Some(report), Some(index)) if is_ok => self.on_report(index, report),
            // A check that was not sent says nothing about the server.
            _ if outcome == Outcome::Unused => {}
            (_, Some(index)) if !is_ok => {
                let is_ejected = self.servers[index].health.record_failed_probe(self.now);
                self.exclude_if_ejected(index, is_ejected);
            }
            _ => {}
        }
        for request in self.load_reports.take_waiters() {
            self.send_if_reported(&request);
        }
    }

    fn on_report(&mut self, index: ServerIndex, values: &[f64]) {
        let reports = &mut self.load_reports;
        let estimators = &self.estimators;
        let settings = &self.settings;
        let is_fault =
            reports.record(self.now, settings, estimators, &mut self.servers, index, values);
        if is_fault {
            let is_ejected = self.servers[index].health.record_fault(self.now);
            self.exclude_if_ejected(index, is_ejected);
        }
    }

    /// Sends a request to one server of its pair if both servers have fresh reports; otherwise the
    /// request keeps waiting.
    pub(super) fn send_if_reported(&mut self, id: &RequestId) {
        let Some(pair) = self.open_awaited_pair(id) else { return };
        if load_reports::have_fresh_reports(&self.servers, &pair, self.now) {
            self.send_to_pair(id, &pair);
        } else {
            self.load_reports.add_waiter(id);
        }
    }

    /// Sends a request to one server of its pair after the wait for reports has timed out.
    pub(super) fn send_without_reports(&mut self, id: &RequestId) {
        if let Some(pair) = self.open_awaited_pair(id) {
            self.send_to_pair(id, &pair);
        }
    }

    /// Returns the pair whose reports a request waits for, or `None` if the request has ended or
    /// waits for none.
    fn open_awaited_pair(&self, id: &RequestId) -> Option<AdjacentPair<ServerIndex>> {
        let open = self.requests.get(id).filter(|request| !request.is_finished())?;
        open.awaited_pair
    }

    /// Sends a request to one server of a pair. A first attempt is rejected if the wait at that
    /// server would be too long.
    fn send_to_pair(&mut self, id: &RequestId, pair: &AdjacentPair<ServerIndex>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.awaited_pair = None;
        let is_first = request.attempts().is_empty();
        let permission = self.permitted_actions(&self.requests[id], self.now).send;
        let Some(index) = self.choose_eligible(pair) else { return self.send_or_hold(id) };
        // Serving a request that has waited past its latency objective would waste a server's work.
        if is_first && self.is_queue_too_long(index) {
            self.reject_or_fail(id, EndReason::LongQueue);
        } else if permission == SendPermission::Forbidden {
            self.send_or_hold(id);
        } else {
            self.send(id, index);
        }
    }

    /// Returns whether the expected wait at a server exceeds the longest acceptable wait.
    fn is_queue_too_long(&self, index: ServerIndex) -> bool {
        let mean_speed = self.orders.mean_speed();
        let server = &self.servers[index];
        let wait = load_reports::expected_wait(&self.estimators, server, mean_speed, self.now);
        wait > load_reports::max_wait(&self.settings, &self.estimators)
    }

    /// Returns the server of a pair with the shorter expected wait if that server is eligible, else
    /// the other server if the other is eligible.
    fn choose_eligible(&mut self, pair: &AdjacentPair<ServerIndex>) -> Option<ServerIndex> {
        let queues = load_reports::queue_lengths(&self.servers, pair, self.now);
        let first = pair.join(|| self.rng.draw(), queues);
        let other = if pair.servers[0] == first { pair.servers[1] } else { pair.servers[0] };
        let now = self.now;
        [first, other].into_iter().find(|index| {
            self.estimators.may_send(now, &mut self.servers, *index)
                && !self.servers[*index].health.is_ejected(now)
        })
    }
}
