//! Requests from arrival to each send: what is permitted, when one is held, and how it ends.

use super::hold::{hold_until, HOLD_RETRY_INTERVAL};
use super::rates::RATE_HALF_LIFE;
use super::retry_group::RetryGroup;
use super::retry_safety::{permitted_actions, AttemptLimits, PermittedActions, SendPermission};
use super::{admission, load_reports, Balancer};
use crate::api::{Action, EndReason, RequestId};
use crate::server_order::{AdjacentPair, Candidates};
use crate::state::{Request, Timer};
use mintshelf_time::Nanos;

/// An attempt is overdue, and counts as congested, past this fraction of its objective.
const OVERDUE_SHARE: f64 = 0.6;
/// Nor before this many times what its known work typically takes; nor what the class
/// typically takes on that kind, there up to the objective. 1.5 is within its spread.
const OVERDUE_MULTIPLE: f64 = 2.0;

impl Balancer {
    pub(crate) fn on_request(&mut self, id: RequestId, request: Request) {
        let class = request.class;
        let tenant = request.tenant;
        if class >= self.settings.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        if !request.is_repeat {
            self.traffic.arrivals.add(self.now, RATE_HALF_LIFE, 1.0);
        }
        self.retry_budget.earn();
        self.traffic.count_class(admission::MIX_MEMORY_REQUESTS, class);
        self.traffic.count_tenant(self.now, RATE_HALF_LIFE, tenant);
        self.gossip();
        self.decay_reject_level();
        let is_futile = self.is_futile(&request);
        self.requests.insert(id.clone(), request);
        let probability = self.reject_probability(class, tenant);
        if is_futile {
            self.end(&id, EndReason::Futile);
        } else if self.rng.draw() < probability {
            self.end(&id, EndReason::Overload);
        } else {
            self.advance(&id);
        }
    }

    /// What the safety rules permit for a request at a time.
    pub(super) fn permitted_actions(&self, at: Nanos, request: &Request) -> PermittedActions {
        let class = &self.settings.classes[request.class];
        permitted_actions(class, AttemptLimits::new(&self.settings), &request.progress(), at)
    }

    /// Sends a request if a server can take it, else holds or ends it.
    pub(crate) fn advance(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if !request.needs_attempt() || self.try_send(id) {
            return;
        }
        let request = &self.requests[id];
        let class = &self.settings.classes[request.class];
        let may_send = self.permitted_actions(self.now, request).send != SendPermission::Forbidden;
        if may_send && self.now < hold_until(class, request.arrived_at, request.deadline) {
            self.set_request_timer(HOLD_RETRY_INTERVAL, id, Timer::HoldExpired(id.clone()));
        } else {
            self.end(id, EndReason::NoServer);
        }
    }

    /// Sends a request, or probes its pair first; returns whether either was done.
    pub(super) fn try_send(&mut self, id: &RequestId) -> bool {
        let Some(request) = self.requests.remove(id) else { return false };
        let permission = self.permitted_actions(self.now, &request).send;
        let group = self.settings.classes[request.class].group;
        let group = RetryGroup::new(permission, group, &self.servers);
        let drawn = group.and_then(|group| self.draw_candidates(&request, group));
        self.requests.insert(id.clone(), request);
        let chosen = match drawn {
            None => return false,
            Some(Candidates::One(index)) => index,
            Some(Candidates::AdjacentPair(pair)) if self.probes_before_send() => {
                self.probe_pair(id, pair);
                return true;
            }
            Some(Candidates::AdjacentPair(pair)) => {
                let queues = self.queues(&pair);
                pair.join(|| self.rng.draw(), queues)
            }
        };
        self.send(id, chosen);
        true
    }

    /// Probes both servers of a pair and has the request wait for their reports.
    fn probe_pair(&mut self, id: &RequestId, pair: AdjacentPair) {
        self.requests.entry(id.clone()).and_modify(|request| request.awaited_pair = Some(pair));
        for index in pair.servers {
            self.probe(index);
        }
        let remaining = self.requests[id].deadline.saturating_sub(self.now);
        let wait = (load_reports::REPORT_TICKS * self.settings.tick).min(remaining);
        self.set_request_timer(wait, id, Timer::ReportsDue(id.clone()));
        self.choose_by_reports(id, false);
    }

    pub(super) fn send(&mut self, id: &RequestId, index: usize) {
        let Some(attempt) = self.record_send(id, index) else { return };
        let request = &self.requests[id];
        let after = self.overdue_after(index, request);
        if self.now + after < request.deadline {
            let timer = Timer::AttemptOverdue { id: id.clone(), attempt };
            self.set_request_timer(after, id, timer);
        }
    }

    /// Time after which an attempt is overdue; known long work is slow without congestion.
    fn overdue_after(&self, index: usize, request: &Request) -> Nanos {
        let class = request.class;
        let objective = self.settings.classes[class].latency_objective as f64;
        let kind = self.kind_of(index);
        let typical = self.typical_latency(class) * self.latency.kind_offset[class][kind].exp();
        let for_work = self.latency.for_work(request, kind) * OVERDUE_MULTIPLE;
        (objective * OVERDUE_SHARE).max(for_work).max((typical * OVERDUE_MULTIPLE).min(objective))
            as Nanos
    }

    /// Ends a request that has not been answered yet.
    pub(super) fn end(&mut self, id: &RequestId, reason: EndReason) {
        let Some(request) = self.requests.get(id).filter(|open| !open.is_finished) else { return };
        // In overload a repeat that comes at once meets the same queue.
        let is_overloaded = self.overload.reject_level > admission::REJECT_DEADBAND;
        let gives_advice = self.settings.retry_after && is_overloaded;
        let retry_after = u64::from(gives_advice) * self.settings.max_retry_after;
        // A client that returns after the deduplication window would have the request run twice.
        let may_reject = self.permitted_actions(self.now + retry_after, request).may_reject;
        self.actions.push(match may_reject {
            true => Action::Reject { id: id.clone(), retry_after, reason },
            false => Action::Fail { id: id.clone(), reason },
        });
        self.close(id);
    }
}
