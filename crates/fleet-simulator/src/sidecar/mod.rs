//! A simulated sidecar: a balancer and recovery, with the part of the proxy that serves them.

mod action;
mod connections;
mod requests;
mod settings;

pub(crate) use action::{Reply, SidecarAction};
pub(crate) use connections::CONNECT_TIMEOUT;
pub(crate) use requests::RequestOwner;

use crate::scenario::{Scenario, CLASSES, DEDUP_WINDOW};
use connections::IdleConnections;
use mintshelf_balancer::api::{
    Action, AttemptNumber, ClassId, Effect, EndpointState, Event, ListKind, ListedServer, Outcome,
    RequestId, ServerId, TenantId,
};
use mintshelf_balancer::decide::Balancer;
use mintshelf_recovery::{OutageSignal, Recovery};
use mintshelf_time::{Nanos, SECOND};
use requests::{EndedAttempt, RequestTable};
use settings::settings;
use std::collections::HashMap;

/// A simulated sidecar. Its methods append to the actions that [`Self::take_actions`] returns.
pub(crate) struct Sidecar {
    balancer: Balancer,
    recovery: Option<Recovery>,
    requests: RequestTable,
    actions: Vec<SidecarAction>,
    last_request: u64,
    idle_connections: IdleConnections,
    /// Times at which the sidecar was notified that a server drains or was removed.
    drain_notified_at: HashMap<ServerId, Nanos>,
    /// Attempts sent while another was in flight, or past the limit.
    pub(crate) excess_attempts: u64,
}

impl Sidecar {
    /// Starts a sidecar that knows some servers; `incarnation` counts its starts, from 0.
    pub(crate) fn new(
        scenario: &Scenario,
        number: usize,
        incarnation: u64,
        now: Nanos,
        servers: &[ListedServer],
    ) -> Self {
        let seed = scenario.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        let seed = seed.wrapping_add(incarnation << 40);
        let mut actions = Vec::new();
        let balancer = Balancer::new(settings(scenario, number), seed, now, &mut actions);
        let max_retry_after = scenario.max_retry_after;
        let mut sidecar = Sidecar {
            balancer,
            recovery: scenario.ramp.map(|ramp| Recovery::new(seed, ramp, max_retry_after)),
            requests: RequestTable::default(),
            actions: Vec::new(),
            last_request: incarnation << 32,
            idle_connections: IdleConnections::default(),
            drain_notified_at: HashMap::new(),
            excess_attempts: 0,
        };
        sidecar.perform(now, actions);
        let has_discovery = scenario.fleet.discovery.is_some();
        let kind = if has_discovery { ListKind::Cached } else { ListKind::Full };
        sidecar.update_servers(now, kind, servers);
        sidecar
    }

    /// Takes the actions that have accumulated.
    pub(crate) fn take_actions(&mut self) -> Vec<SidecarAction> {
        std::mem::take(&mut self.actions)
    }

    /// Handles an update of the endpoint list.
    pub(crate) fn update_servers(&mut self, now: Nanos, kind: ListKind, entries: &[ListedServer]) {
        for entry in entries {
            if entry.state == EndpointState::Live {
                self.drain_notified_at.remove(&entry.id);
            } else {
                self.drain_notified_at.entry(entry.id).or_insert(now);
            }
        }
        self.post(now, Event::EndpointListUpdate { kind, revision: 1, entries: entries.into() });
    }

    /// Returns the time at which the sidecar was notified that a server drains or was removed; `None`
    /// if it was not.
    pub(crate) fn drain_notified_at(&self, server: ServerId) -> Option<Nanos> {
        self.drain_notified_at.get(&server).copied()
    }

    /// Takes an idle connection to a server; returns false if there is none.
    pub(crate) fn take_idle(&mut self, now: Nanos, server: usize) -> bool {
        self.idle_connections.take(now, server)
    }

    /// Adds an idle connection to a server.
    pub(crate) fn add_idle(&mut self, now: Nanos, server: usize) {
        self.idle_connections.add(now, server);
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&mut self, server: usize) {
        self.idle_connections.close(server);
    }

    /// The clients that await a final response, in order.
    pub(crate) fn open_clients(&self) -> Vec<usize> {
        self.requests.open_clients()
    }

    /// The client and class of a request.
    pub(crate) fn owner(&self, id: &RequestId) -> Option<RequestOwner> {
        self.requests.owner(id)
    }

    /// Handles a client's request; returns its id unless the recovery ramp rejects it.
    pub(crate) fn handle_request(
        &mut self,
        now: Nanos,
        owner: RequestOwner,
        client_timeout: Nanos,
    ) -> Option<RequestId> {
        let RequestOwner { client, class } = owner;
        if self.recovery.as_mut().is_some_and(|recovery| !recovery.ramp.admit(now)) {
            let reply = Reply::RejectedByRamp(self.advise(now, class));
            self.actions.push(SidecarAction::Reply { client, reply });
            return None;
        }
        self.last_request += 1;
        let id: RequestId = self.last_request.to_string().into();
        self.requests.open(id.clone(), owner, now + client_timeout);
        let event = Event::Request {
            id: id.clone(),
            class: ClassId::from_index(class),
            tenant: TenantId::default(),
            key: None,
            cost_estimate: None,
            is_client_retry: false,
            client_timeout,
        };
        self.post(now, event);
        Some(id)
    }

    /// Handles the disconnect of a client.
    pub(crate) fn handle_disconnect(&mut self, now: Nanos, id: &RequestId) {
        if self.requests.close(id).is_some() {
            self.post(now, Event::ClientDisconnected { id: id.clone() });
        }
    }

    /// Handles the end of an attempt; each ends once, and a later end has no effect.
    pub(crate) fn handle_attempt_end(
        &mut self,
        now: Nanos,
        id: &RequestId,
        number: AttemptNumber,
        outcome: Outcome,
    ) {
        let ended = self.requests.end_attempt(now, id, number, outcome);
        let Some(ended) = ended else { return };
        if ended.is_served {
            let client = ended.owner.client;
            self.actions.push(SidecarAction::Reply { client, reply: Reply::Served });
        }
        self.record_in_recovery(now, &ended, outcome);
        let end = Event::AttemptEnded {
            id: id.clone(),
            attempt: number,
            outcome,
            is_request_finished: ended.is_request_finished,
            elapsed: ended.elapsed,
            server: ended.server,
            report: None,
        };
        self.post(now, end);
    }

    fn record_in_recovery(&mut self, now: Nanos, ended: &EndedAttempt, outcome: Outcome) {
        let Some(recovery) = &mut self.recovery else { return };
        if ended.is_served {
            recovery.retry_after.record_served(now);
        }
        let is_in_time = ended.elapsed <= CLASSES[ended.owner.class].latency_objective;
        if let Some(signal) = OutageSignal::from_outcome(outcome, is_in_time) {
            recovery.ramp.record(now, signal);
        }
    }

    /// Handles a timer that fired.
    pub(crate) fn handle_timer(&mut self, now: Nanos, token: u64) {
        self.post(now, Event::Timer { token });
    }

    /// Retry-after advice for a rejected request, if there is the recovery package.
    fn advise(&mut self, now: Nanos, class: usize) -> Option<Nanos> {
        let window = (CLASSES[class].effect == Effect::Idempotent).then_some(DEDUP_WINDOW);
        let recovery = self.recovery.as_mut()?;
        Some(recovery.retry_after.schedule_retry(now, window) * SECOND)
    }

    fn post(&mut self, now: Nanos, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(now, event, &mut actions);
        self.perform(now, actions);
    }

    fn perform(&mut self, now: Nanos, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, timeout_at } => self.send(now, id, server, timeout_at),
                Action::Cancel { id, attempt } => {
                    self.actions.push(SidecarAction::Cancel { id, attempt });
                }
                Action::Reject { id, retry_after, .. } => self.reject(now, &id, retry_after),
                Action::Fail { id, .. } => self.reply(&id, Reply::Failed),
                Action::SetTimer { after, token } => {
                    self.actions.push(SidecarAction::SetTimer { at: now + after, token });
                }
                Action::CloseIdle { server } => {
                    self.actions.push(SidecarAction::CloseIdle { server });
                }
                Action::StartWatch => self.actions.push(SidecarAction::Watch),
                // A dropped timer that fires has no effect. The settings permit none of the others.
                Action::DropTimer { .. }
                | Action::Probe { .. }
                | Action::SendGossip { .. }
                | Action::StopWatch
                | Action::FetchEndpointList
                | Action::Log { .. } => {}
            }
        }
    }

    /// Rejects a request, with the advice of the recovery package in place of the balancer's.
    fn reject(&mut self, now: Nanos, id: &RequestId, retry_after: Nanos) {
        let class = self.requests.owner(id).map_or(0, |owner| owner.class);
        let retry_after = match self.recovery {
            Some(_) => self.advise(now, class),
            None => (retry_after > 0).then_some(retry_after),
        };
        self.reply(id, Reply::Rejected(retry_after));
    }

    /// Sends the final response to a request, unless its client no longer awaits one.
    fn reply(&mut self, id: &RequestId, reply: Reply) {
        if let Some(RequestOwner { client, .. }) = self.requests.close(id) {
            self.actions.push(SidecarAction::Reply { client, reply });
        }
    }

    fn send(&mut self, now: Nanos, id: RequestId, server: ServerId, timeout_at: Nanos) {
        let Some(begun) = self.requests.begin_attempt(now, &id, server) else { return };
        if begun.is_excess {
            self.excess_attempts += 1;
        }
        let timeout_at = match timeout_at {
            0 => begun.deadline,
            at => at.min(begun.deadline),
        };
        let attempt = begun.number;
        self.actions.push(SidecarAction::Send { id, attempt, server, timeout_at });
    }
}
