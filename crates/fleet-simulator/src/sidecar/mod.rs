//! A sidecar: a balancer and recovery, with what the real proxy does for them.

mod connections;
mod settings;

use crate::scenario::{Scenario, CLASSES, DEDUP_WINDOW};
use connections::IdleConnections;
use mintshelf_balancer::api::{
    Action, AttemptNumber, ClassId, Effect, EndpointState, Event, ListKind, ListedServer, Outcome,
    RequestId, ServerId, TenantId,
};
use mintshelf_balancer::decide::Balancer;
use mintshelf_recovery::{OutageSignal, Recovery};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use settings::settings;
use std::collections::{HashMap, VecDeque};

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Longest wait for a connection.
pub(crate) const CONNECT_TIMEOUT: Nanos = 200 * MILLISECOND;

/// The response to a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Reply {
    Served,
    /// The request may be repeated after this time; 0 for no advice.
    Rejected(Nanos),
    /// The same, by the recovery ramp.
    RejectedByRamp(Nanos),
    /// The request may or may not have run.
    Failed,
}

/// What a sidecar asks of the simulation.
pub(crate) enum SidecarAction {
    Send {
        id: RequestId,
        /// The attempt's number, from 0.
        attempt: AttemptNumber,
        server: ServerId,
        timeout_at: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        id: RequestId,
        attempt: AttemptNumber,
    },
    Reply {
        client: usize,
        reply: Reply,
    },
    SetTimer {
        at: Nanos,
        token: u64,
    },
    CloseIdle {
        server: ServerId,
    },
    /// Call discovery, to watch it.
    Watch,
}

struct Attempt {
    server: ServerId,
    sent_at: Nanos,
    has_ended: bool,
}

struct PendingRequest {
    owner: RequestOwner,
    deadline: Nanos,
    /// Whether the client awaits a final response.
    is_open: bool,
    attempts: Vec<Attempt>,
}

impl PendingRequest {
    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.has_ended)
    }
}

/// The client of a request, and its class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestOwner {
    pub(crate) client: usize,
    pub(crate) class: usize,
}

/// A simulated sidecar. Its methods append to the actions that [`Self::take_actions`] returns.
pub(crate) struct Sidecar {
    balancer: Balancer,
    recovery: Option<Recovery>,
    requests: HashMap<RequestId, PendingRequest>,
    events: VecDeque<Event>,
    actions: Vec<SidecarAction>,
    last_request: u64,
    idle_connections: IdleConnections,
    /// When it learned that a server drains or was removed.
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
            requests: HashMap::new(),
            events: VecDeque::new(),
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
        self.post(now, Event::Servers { kind, version: 1, entries: entries.into() });
    }

    /// When it learned that a server drains or was removed, if it has.
    pub(crate) fn drain_notified_at(&self, server: ServerId) -> Option<Nanos> {
        self.drain_notified_at.get(&server).copied()
    }

    /// Takes an idle connection to a server; returns false if there is none.
    pub(crate) fn take_idle(&mut self, now: Nanos, server: usize) -> bool {
        self.idle_connections.take(now, server)
    }

    /// Keeps an idle connection to a server.
    pub(crate) fn add_idle(&mut self, now: Nanos, server: usize) {
        self.idle_connections.add(now, server);
    }

    /// Closes the idle connections to a server.
    pub(crate) fn close_idle(&mut self, server: usize) {
        self.idle_connections.close(server);
    }

    /// The clients that await a final response, in order.
    pub(crate) fn open_clients(&self) -> Vec<usize> {
        let open = self.requests.values().filter(|request| request.is_open);
        let mut clients: Vec<usize> = open.map(|request| request.owner.client).collect();
        clients.sort_unstable();
        clients
    }

    /// The client and class of a request.
    pub(crate) fn owner(&self, id: &RequestId) -> Option<RequestOwner> {
        self.requests.get(id).map(|request| request.owner)
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
        let deadline = now + client_timeout;
        let request = PendingRequest { owner, deadline, is_open: true, attempts: Vec::new() };
        self.requests.insert(id.clone(), request);
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

    /// Handles the departure of a client.
    pub(crate) fn handle_disconnect(&mut self, now: Nanos, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.is_open) else {
            return;
        };
        request.is_open = false;
        self.forget_if_done(id);
        self.post(now, Event::ClientDisconnected { id: id.clone() });
    }

    /// Handles the end of an attempt; each ends once, and a later end has no effect.
    pub(crate) fn handle_attempt_end(
        &mut self,
        now: Nanos,
        id: &RequestId,
        number: AttemptNumber,
        outcome: Outcome,
    ) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let attempt = request.attempts.get_mut(number.index());
        let Some(attempt) = attempt.filter(|attempt| !attempt.has_ended) else { return };
        attempt.has_ended = true;
        let server = attempt.server;
        let took = now - attempt.sent_at;
        let is_served = request.is_open && outcome == Outcome::Ok;
        let RequestOwner { client, class } = request.owner;
        if is_served {
            request.is_open = false;
            self.actions.push(SidecarAction::Reply { client, reply: Reply::Served });
        }
        let finished = !request.is_open;
        let in_time = took <= CLASSES[class].latency_objective;
        if let Some(recovery) = &mut self.recovery {
            if is_served {
                recovery.retry_after.record_served(now);
            }
            if let Some(signal) = OutageSignal::from_outcome(outcome, in_time) {
                recovery.ramp.record(now, signal);
            }
        }
        self.forget_if_done(id);
        let id = id.clone();
        let attempt = number;
        let report = None;
        let end = Event::AttemptEnded {
            id,
            attempt,
            outcome,
            is_request_finished: finished,
            elapsed: took,
            server,
            report,
        };
        self.post(now, end);
    }

    /// Handles a timer that fired.
    pub(crate) fn handle_timer(&mut self, now: Nanos, token: u64) {
        self.post(now, Event::Timer { token });
    }

    /// Retry-after advice for a rejected request, 0 without the recovery package.
    fn advise(&mut self, now: Nanos, class: usize) -> Nanos {
        let window = (CLASSES[class].effect == Effect::Idempotent).then_some(DEDUP_WINDOW);
        let recovery = self.recovery.as_mut();
        recovery.map_or(0, |recovery| recovery.retry_after.advise_seconds(now, window) * SECOND)
    }

    fn forget_if_done(&mut self, id: &RequestId) {
        let request = self.requests.get(id);
        if request.is_some_and(|request| !request.is_open && !request.has_attempt_in_flight()) {
            self.requests.remove(id);
        }
    }

    fn post(&mut self, now: Nanos, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(now, event, &mut actions);
            self.perform(now, actions);
        }
    }

    fn perform(&mut self, now: Nanos, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, timeout_at } => self.send(now, id, server, timeout_at),
                Action::Cancel { id, attempt } => {
                    self.actions.push(SidecarAction::Cancel { id, attempt });
                }
                Action::Reject { id, retry_after, .. } => self.reject(now, &id, retry_after),
                Action::Fail { id, .. } => self.conclude(&id, Reply::Failed),
                Action::SetTimer { after, token } => {
                    self.actions.push(SidecarAction::SetTimer { at: now + after, token });
                }
                Action::CloseIdle { server } => {
                    self.actions.push(SidecarAction::CloseIdle { server });
                }
                Action::StartWatch => self.actions.push(SidecarAction::Watch),
                // A dropped timer that fires has no effect; the settings permit none of the
                // others.
                Action::DropTimer { .. }
                | Action::Probe { .. }
                | Action::SendGossip { .. }
                | Action::StopWatch
                | Action::FetchServers
                | Action::Log { .. } => {}
            }
        }
    }

    /// Rejects a request, with the advice of the recovery package in place of the balancer's.
    fn reject(&mut self, now: Nanos, id: &RequestId, retry_after: Nanos) {
        let class = self.requests.get(id).map_or(0, |request| request.owner.class);
        let retry_after = match self.recovery {
            Some(_) => self.advise(now, class),
            None => retry_after,
        };
        self.conclude(id, Reply::Rejected(retry_after));
    }

    fn conclude(&mut self, id: &RequestId, reply: Reply) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.is_open) else {
            return;
        };
        request.is_open = false;
        let client = request.owner.client;
        self.actions.push(SidecarAction::Reply { client, reply });
        self.forget_if_done(id);
    }

    fn send(&mut self, now: Nanos, id: RequestId, server: ServerId, timeout_at: Nanos) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptNumber::from_index(request.attempts.len());
        let is_excess = request.has_attempt_in_flight() || attempt.get() >= MAX_ATTEMPTS;
        self.excess_attempts += u64::from(is_excess);
        request.attempts.push(Attempt { server, sent_at: now, has_ended: false });
        let timeout_at = match timeout_at {
            0 => request.deadline,
            at => at.min(request.deadline),
        };
        self.actions.push(SidecarAction::Send { id, attempt, server, timeout_at });
    }
}
