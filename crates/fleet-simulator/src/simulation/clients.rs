//! Clients: their first requests, timeouts and retries.

use super::client::Client;
use super::traffic::Traffic;
use super::{Event, Simulation, BEGIN};
use crate::scenario::{RetryBehavior, CLASSES};
use crate::sidecar::{Reply, RequestOwner};
use mintshelf_balancer::api::Effect;
use mintshelf_time::{as_float, from_float, Nanos, MILLISECOND};

/// Retries of a client after its first request.
pub(super) const MAX_RETRIES: u32 = 2;
/// Time that a client waits longer than its sidecar.
const TIMEOUT_SLACK: Nanos = 100 * MILLISECOND;
/// Delay of a retry by a client that honors advice and was given none.
pub(super) const DEFAULT_RETRY_DELAY: Nanos = 100 * MILLISECOND;
/// Shortest backoff of a retry, as a multiple of the mean.
const MIN_BACKOFF_FACTOR: f64 = 0.5;
/// Delay of an immediate retry.
const IMMEDIATE_RETRY_DELAY: Nanos = MILLISECOND;

impl Simulation<'_> {
    /// A client sends its first request, unless its sidecar is down: then the application waits
    /// and sends nothing.
    pub(super) fn on_client_arrives(&mut self) {
        self.schedule_next_arrival();
        let class = Traffic::draw_class(&mut self.rng);
        let sidecar = self.traffic.draw_sidecar(&mut self.rng);
        if self.now < self.processes[sidecar].down_until {
            return;
        }
        let early_timeout = self.traffic.draw_early_timeout(&mut self.rng, self.now - BEGIN);
        self.clients.push(Client {
            class,
            sidecar,
            first_sent_at: self.now,
            sent_at: self.now,
            requests: 0,
            is_waiting: false,
            request_id: None,
            runs: 0,
            early_timeout,
        });
        let slice = self.slice();
        slice.requested_weight += CLASSES[class].priority_weight;
        slice.first_requests += 1;
        self.send_request(self.clients.len() - 1);
    }

    fn schedule_next_arrival(&mut self) {
        let gap = self.traffic.draw_gap(&mut self.rng, self.now - BEGIN);
        self.events.schedule(self.now + gap, Event::ClientArrives);
    }

    /// Sends a client's request, once its sidecar is up.
    pub(super) fn send_request(&mut self, client: usize) {
        let now = self.now;
        let state = &mut self.clients[client];
        let down_until = self.processes[state.sidecar].down_until;
        if now < down_until {
            self.events.schedule(down_until, Event::ClientSends(client));
            return;
        }
        state.sent_at = now;
        state.is_waiting = true;
        state.requests += 1;
        let class = state.class;
        let sidecar = state.sidecar;
        let requests = state.requests;
        let timeout = state.timeout();
        self.slice().requests += 1;
        let gives_up_at = now + timeout + TIMEOUT_SLACK;
        self.events.schedule(gives_up_at, Event::ClientTimesOut { client, requests });
        let owner = RequestOwner { client, class };
        let request_id = self.sidecars[sidecar].handle_request(now, owner, timeout);
        self.clients[client].request_id = request_id;
        self.perform_actions(sidecar);
    }

    /// A client gives up if it still waits. Its request is lost: the response was due before.
    pub(super) fn on_client_timeout(&mut self, client: usize, requests: u32) {
        let state = &mut self.clients[client];
        if !state.is_waiting || state.requests != requests {
            return;
        }
        state.is_waiting = false;
        self.report.lost += 1;
        let sidecar = state.sidecar;
        if let Some(id) = state.request_id.clone() {
            self.sidecars[sidecar].handle_disconnect(self.now, &id);
        }
        self.perform_actions(sidecar);
    }

    pub(super) fn on_reply(&mut self, client: usize, reply: Reply) {
        let state = &mut self.clients[client];
        if !std::mem::replace(&mut state.is_waiting, false) {
            self.report.lost += 1;
            return;
        }
        let requests = state.requests;
        self.update_digest(client as u64);
        self.count_reply(client, reply);
        if requests <= MAX_RETRIES && self.may_retry(client, reply) {
            self.schedule_retry(client, reply);
        }
    }

    fn count_reply(&mut self, client: usize, reply: Reply) {
        let Client { class, first_sent_at, sent_at, .. } = self.clients[client];
        match reply {
            Reply::Served if self.now - sent_at <= CLASSES[class].latency_objective => {
                self.slice_at(sent_at).in_time += 1;
                self.slice_at(first_sent_at).earned_weight += CLASSES[class].priority_weight;
            }
            Reply::Served => {}
            Reply::Rejected(_) => self.slice().rejected += 1,
            Reply::RejectedByRamp(_) => {
                let slice = self.slice();
                slice.rejected += 1;
                slice.rejected_by_ramp += 1;
            }
            Reply::Failed => self.slice().failed += 1,
        }
    }

    /// Whether a retry is safe.
    fn may_retry(&self, client: usize, reply: Reply) -> bool {
        match reply {
            Reply::Served => false,
            Reply::Rejected(_) | Reply::RejectedByRamp(_) => true,
            Reply::Failed => CLASSES[self.clients[client].class].effect != Effect::Unsafe,
        }
    }

    fn schedule_retry(&mut self, client: usize, reply: Reply) {
        let advice = match reply {
            Reply::Rejected(advice) | Reply::RejectedByRamp(advice) => advice,
            Reply::Served | Reply::Failed => None,
        };
        let delay = match (self.scenario.retry, advice) {
            (RetryBehavior::Never, _) => return,
            (RetryBehavior::Immediate, _) => IMMEDIATE_RETRY_DELAY,
            (RetryBehavior::Backoff(mean), _) => {
                from_float(as_float(mean) * (MIN_BACKOFF_FACTOR + self.draw()))
            }
            (RetryBehavior::HonorAdvice, Some(advice)) => {
                self.slice_at(self.now + advice).advised_retries += 1;
                advice
            }
            (RetryBehavior::HonorAdvice, None) => DEFAULT_RETRY_DELAY,
        };
        self.events.schedule(self.now + delay, Event::ClientSends(client));
    }
}
