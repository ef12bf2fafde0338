//! Requests from their arrival to each send, and their end without a response.

use super::inputs::Arrival;
use super::Balancer;
use crate::api::{Action, EndReason, RequestId};
use crate::decide::candidates::SelectionContext;
use crate::decide::hold::{hold_until, HOLD_RETRY_INTERVAL};
use crate::decide::overdue::overdue_after;
use crate::decide::retries::RETRY_COST;
use crate::decide::retry_group::RetryGroup;
use crate::decide::retry_safety::SendPermission;
use crate::decide::{load_reports, retries};
use crate::server_order::{AdjacentPair, Candidates};
use crate::state::{Request, ServerIndex, Timer};
use mintshelf_time::Nanos;

impl Balancer {
    /// Admits or rejects an arriving request, and sends an admitted one.
    pub(super) fn on_request(&mut self, id: &RequestId, request: Request, arrival: Arrival) {
        let class = request.class;
        if !self.settings.has_class(class) || self.requests.contains_key(id) {
            return;
        }
        self.count_arrival(&request, arrival);
        self.send_gossip_if_due();
        let latency = &self.estimators.latency;
        self.admission.decay(self.now, &self.settings, latency);
        let is_futile = self.admission.is_futile(self.now, &request, &self.settings, latency);
        self.requests.insert(id.clone(), request);
        if is_futile {
            self.reject_or_fail(id, EndReason::Futile);
            return;
        }
        let over_quota = || self.tenants.over_quota_share(&self.settings, self.now, arrival.tenant);
        let probability = self.admission.reject_probability(class, over_quota);
        if self.rng.draw() < probability {
            self.reject_or_fail(id, EndReason::Overload);
        } else {
            self.send_or_hold(id);
        }
    }

    /// Counts an arriving request in traffic estimates, class mix, retry budget and tenant quotas.
    fn count_arrival(&mut self, request: &Request, arrival: Arrival) {
        if !arrival.is_client_retry {
            self.estimators.traffic.count_arrival(self.now);
        }
        self.retry_budget.deposit();
        self.admission.count_request(request.class);
        self.tenants.count(self.now, arrival.tenant);
    }

    /// Sends a request if a server is eligible, otherwise holds it, or ends it once its hold is
    /// over.
    pub(super) fn send_or_hold(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if !request.needs_attempt() || self.try_send(id) {
            return;
        }
        let request = &self.requests[id];
        let class = self.settings.class(request.class);
        let may_send = self.permitted_actions(request, self.now).send != SendPermission::Forbidden;
        if may_send && self.now < hold_until(class, request.arrived_at, request.deadline) {
            self.set_request_timer(HOLD_RETRY_INTERVAL, id, Timer::HoldExpired(id.clone()));
        } else {
            self.reject_or_fail(id, EndReason::NoServer);
        }
    }

    /// Sends a request, or probes its pair first. Returns false if no server is eligible.
    pub(super) fn try_send(&mut self, id: &RequestId) -> bool {
        let chosen = match self.draw_candidates(id) {
            None => return false,
            Some(Candidates::One(index)) => index,
            Some(Candidates::AdjacentPair(pair)) => {
                if self.load_reports.probes_before_send(&self.settings) {
                    self.probe_pair(id, pair);
                    return true;
                }
                let queues = load_reports::queue_lengths(&self.servers, &pair, self.now);
                pair.join(|| self.rng.draw(), queues)
            }
        };
        self.send(id, chosen);
        true
    }

    /// Draws the candidates for the next attempt of a request. Returns `None` if the safety rules
    /// permit no attempt or no server is eligible.
    fn draw_candidates(&mut self, id: &RequestId) -> Option<Candidates<ServerIndex>> {
        let request = self.requests.get(id)?;
        let permission = self.permitted_actions(request, self.now).send;
        let group = self.settings.class(request.class).dedup_scope;
        let group = RetryGroup::new(permission, group, &self.servers)?;
        let context = SelectionContext {
            now: self.now,
            settings: &self.settings,
            estimators: &self.estimators,
        };
        self.orders.draw(context, &mut self.servers, &mut self.rng, request, group)
    }

    /// Probes both servers of a pair and lets the request wait for their load reports.
    fn probe_pair(&mut self, id: &RequestId, pair: AdjacentPair<ServerIndex>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.awaited_pair = Some(pair);
        let remaining = request.deadline.saturating_sub(self.now);
        for index in pair.servers {
            self.probe(index);
        }
        let wait = load_reports::report_wait(&self.settings, remaining);
        self.set_request_timer(wait, id, Timer::ReportsDue(id.clone()));
        self.send_if_reported(id);
    }

    /// Sends an attempt of a request to a server.
    pub(super) fn send(&mut self, id: &RequestId, index: ServerIndex) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let server = self.servers[index].listed.id;
        let attempt = request.record_send(server, self.now);
        let timeout_at = request.deadline;
        self.servers[index].record_send();
        self.actions.push(Action::Send { id: id.clone(), server, timeout_at });
        let after = self.overdue_after(&self.requests[id], index);
        if self.now + after < timeout_at {
            let timer = Timer::AttemptOverdue { id: id.clone(), attempt };
            self.set_request_timer(after, id, timer);
        }
    }

    /// Returns the time after which an attempt of a request is overdue at a server.
    fn overdue_after(&self, request: &Request, index: ServerIndex) -> Nanos {
        let model = self.estimators.hardware_model(&self.servers[index]);
        let class = self.settings.class(request.class);
        overdue_after(&self.estimators.latency, class, request, model)
    }

    /// Sends a hedge beside a slow first attempt if the class and the retry budget allow it.
    pub(super) fn on_hedge_requested(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let may_hedge = retries::may_hedge(self.settings.class(request.class), request);
        if may_hedge && self.retry_budget.can_withdraw(RETRY_COST) && self.try_send(id) {
            self.retry_budget.try_withdraw(RETRY_COST);
        }
    }

    /// Ends a request that has no final response: rejects it if the safety rules permit that,
    /// otherwise fails it.
    pub(super) fn reject_or_fail(&mut self, id: &RequestId, reason: EndReason) {
        let open = self.requests.get(id).filter(|request| !request.is_finished());
        let Some(request) = open else { return };
        // Under overload, a client that retries immediately finds the same queues.
        let sends_retry_after =
            self.settings.clients_honor_retry_after && self.admission.is_overloaded();
        let retry_after = if sends_retry_after { self.settings.max_retry_after } else { 0 };
        // The client may retry after this delay; past the deduplication window that retry would
        // run the request a second time.
        let may_reject = self.permitted_actions(request, self.now + retry_after).may_reject;
        self.actions.push(if may_reject {
            Action::Reject { id: id.clone(), retry_after, reason }
        } else {
            Action::Fail { id: id.clone(), reason }
        });
        self.finish_request(id);
    }
}
