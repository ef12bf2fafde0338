//! A sidecar: the decision module and the recovery package, with what the real one's driver
//! does for them.

use crate::plan::{Plan, CLASSES, WINDOW};
use crate::{MS, SECOND};
use mintshelf_balancer::api::*;
use mintshelf_balancer::decide::Balancer;
use mintshelf_recovery::{OutageSignal, Recovery};
use std::collections::{HashMap, VecDeque};

/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Idle connections that it keeps to a server, and for how long.
const IDLE_MAX: usize = 16;
const IDLE_FOR: Nanos = 12 * SECOND;
/// Longest wait for a connection.
pub const CONNECT_TIMEOUT: Nanos = 200 * MS;

/// What a client is told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// An answer.
    Served,
    /// It has not run, or may be repeated; when to come back, 0 for nothing said.
    Refused(Nanos),
    /// The same, by the pace.
    Paced(Nanos),
    /// Nothing is promised.
    Failed,
}

/// What a sidecar does.
pub enum Deed {
    /// Sends an attempt.
    Send { id: RequestId, attempt: u32, server: ServerId, until: Nanos },
    /// Stops waiting for one.
    Cancel { id: RequestId, attempt: u32 },
    /// Answers a client.
    Reply { client: usize, reply: Reply },
    /// Wants to be called.
    Timer { at: Nanos, token: u64 },
    /// Closes idle connections.
    CloseIdle { server: ServerId },
    /// Calls the source of lists, to watch it.
    Watch,
}

struct Attempt {
    server: ServerId,
    sent: Nanos,
    over: bool,
}

struct Taken {
    client: usize,
    class: usize,
    deadline: Nanos,
    /// A final answer is owed.
    open: bool,
    attempts: Vec<Attempt>,
}

/// See the module.
pub struct Sidecar {
    balancer: Balancer,
    recovery: Option<Recovery>,
    taken: HashMap<RequestId, Taken>,
    events: VecDeque<Event>,
    last: u64,
    /// Idle connections, by server: since when each has rested.
    idle: Vec<Vec<Nanos>>,
    /// When it was told that a server drains or is gone.
    pub told: HashMap<ServerId, Nanos>,
    /// Sends that broke a rule: another was out, or too many.
    pub unruly: u64,
}

/// Prices of the fleet's site.
const PRICES: Prices = Prices {
    cross_zone: 0.02,
    waste: 0.02,
    handshake: 0.08,
    connection: 0.0,
    probe: 0.0,
    peer: 0.0,
    late_fail: 0.03,
};

fn settings(plan: &Plan, number: usize) -> Settings {
    let class = |lab: &crate::plan::Lab| Class {
        effect: lab.effect,
        group: Group::All,
        dedup_window: WINDOW,
        latency_objective: lab.latency_objective,
        deadline: lab.deadline,
        priority_weight: lab.priority_weight,
        late_weight: 0.0,
        max_attempts: MAX_ATTEMPTS,
        backoff: Backoff::default(),
    };
    Settings {
        self_index: number as u32,
        instances: plan.sidecars as u32,
        zone: plan.fleet.zone(number),
        zones: plan.fleet.zones.max(1),
        must_poll: plan.fleet.registry.is_some(),
        poll_within: 10 * SECOND,
        prices: if plan.fleet.prices { PRICES } else { Prices::default() },
        kinds: 1,
        classes: CLASSES.iter().map(class).collect(),
        size_kind: SizeKind::Nominal,
        tick: 5 * MS,
        answer_slack: 20 * MS,
        drain_grace: 250 * MS,
        initial_capacity: plan.cold_from,
        warm_up: plan.cold,
        overload_multiple: 3.0,
        overload_duration: SECOND,
        can_cancel: true,
        retry_after: true,
        max_retry_after: plan.max_retry_after,
        max_attempts: MAX_ATTEMPTS,
        retry_ratio: 0.2,
        retry_budget_max: 5.0,
        is_silence_local: false,
        connect_timeout: CONNECT_TIMEOUT,
        idle_timeout: 15 * SECOND,
        objective: Objective {
            overall: 0.5,
            worst_window: 0.3,
            worst_class: 0.2,
            worst_tenant: 0.0,
        },
        ..Settings::default()
    }
}

impl Sidecar {
    /// One that is told of servers at its start; `life` counts its starts.
    pub fn new(
        plan: &Plan,
        number: usize,
        life: u64,
        now: Nanos,
        known: &[ListedServer],
        deeds: &mut Vec<Deed>,
    ) -> Self {
        let seed = plan.seed.wrapping_mul(1_000_003).wrapping_add(number as u64);
        let seed = seed.wrapping_add(life << 40);
        let mut actions = Vec::new();
        let balancer = Balancer::new(settings(plan, number), seed, now, &mut actions);
        let recovery = plan.ramp.map(|ramp| Recovery::new(seed, ramp, plan.max_retry_after));
        let mut sidecar = Sidecar {
            balancer,
            recovery,
            taken: HashMap::new(),
            events: VecDeque::new(),
            last: life << 32,
            idle: vec![Vec::new(); plan.servers],
            told: HashMap::new(),
            unruly: 0,
        };
        sidecar.perform(now, actions, deeds);
        let asks = plan.fleet.registry.is_some();
        let kind = if asks { ListKind::Cached } else { ListKind::Full };
        sidecar.listed(now, kind, known, deeds);
        sidecar
    }

    /// News of servers.
    pub fn listed(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: &[ListedServer],
        deeds: &mut Vec<Deed>,
    ) {
        for entry in entries {
            match entry.state {
                EndpointState::Live => drop(self.told.remove(&entry.id)),
                _ => drop(self.told.entry(entry.id).or_insert(now)),
            }
        }
        let list = Event::Servers { kind, version: 1, entries: entries.into() };
        self.post(now, list, deeds);
    }

    /// Takes an idle connection to a server, the one used last; none if all have rested for
    /// too long.
    pub fn take_idle(&mut self, now: Nanos, server: usize) -> bool {
        let Some(idle) = self.idle.get_mut(server) else { return false };
        if idle.last().is_some_and(|since| now - since > IDLE_FOR) {
            idle.clear();
        }
        idle.pop().is_some()
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&mut self, server: usize) {
        if let Some(idle) = self.idle.get_mut(server) {
            idle.clear();
        }
    }

    /// Keeps a connection that carries nothing.
    pub fn rest(&mut self, now: Nanos, server: usize) {
        if self.idle.len() <= server {
            self.idle.resize(server + 1, Vec::new());
        }
        let idle = &mut self.idle[server];
        if idle.len() < IDLE_MAX {
            idle.push(now);
        }
    }

    /// The clients whose requests are open here.
    pub fn open_clients(&self) -> Vec<usize> {
        let open = self.taken.values().filter(|taken| taken.open);
        let mut clients: Vec<usize> = open.map(|taken| taken.client).collect();
        clients.sort_unstable();
        clients
    }

    /// A client's try; its id, if it is taken on.
    pub fn serve(
        &mut self,
        now: Nanos,
        client: usize,
        class: usize,
        patience: Nanos,
        deeds: &mut Vec<Deed>,
    ) -> Option<RequestId> {
        if self.recovery.as_mut().is_some_and(|recovery| !recovery.ramp.admit(now)) {
            let reply = Reply::Paced(self.advise(now, class));
            deeds.push(Deed::Reply { client, reply });
            return None;
        }
        self.last += 1;
        let id: RequestId = self.last.to_string().into();
        let deadline = now + patience;
        let taken = Taken { client, class, deadline, open: true, attempts: Vec::new() };
        self.taken.insert(id.clone(), taken);
        let request = Event::Request {
            id: id.clone(),
            class: class as u32,
            tenant: 0,
            key: None,
            cost_hint: None,
            repeat: false,
            client_timeout: patience,
        };
        self.post(now, request, deeds);
        Some(id)
    }

    /// A client has left.
    pub fn leave(&mut self, now: Nanos, id: &RequestId, deeds: &mut Vec<Deed>) {
        let Some(taken) = self.taken.get_mut(id).filter(|taken| taken.open) else { return };
        taken.open = false;
        self.forget(id);
        self.post(now, Event::ClientDisconnected { id: id.clone() }, deeds);
    }

    /// An attempt has ended; each does once, what comes later is not heard.
    pub fn ended(
        &mut self,
        now: Nanos,
        id: &RequestId,
        number: u32,
        outcome: Outcome,
        deeds: &mut Vec<Deed>,
    ) {
        let Some(taken) = self.taken.get_mut(id) else { return };
        let Some(attempt) = taken.attempts.get_mut(number as usize).filter(|a| !a.over) else {
            return;
        };
        attempt.over = true;
        let (server, took) = (attempt.server, now - attempt.sent);
        if taken.open && outcome == Outcome::Ok {
            taken.open = false;
            deeds.push(Deed::Reply { client: taken.client, reply: Reply::Served });
            if let Some(recovery) = &mut self.recovery {
                recovery.retry_after.record_served(now);
            }
        }
        let (finished, in_time) = (!taken.open, took <= CLASSES[taken.class].latency_objective);
        if let Some((recovery, end)) =
            self.recovery.as_mut().zip(OutageSignal::from_outcome(outcome, in_time))
        {
            recovery.ramp.record(now, end);
        }
        self.forget(id);
        let (id, attempt, report) = (id.clone(), number, None);
        let end = Event::AttemptEnded { id, attempt, outcome, finished, took, server, report };
        self.post(now, end, deeds);
    }

    /// A timer fires.
    pub fn timer(&mut self, now: Nanos, token: u64, deeds: &mut Vec<Deed>) {
        self.post(now, Event::Timer { token }, deeds);
    }

    fn advise(&mut self, now: Nanos, class: usize) -> Nanos {
        let window = (CLASSES[class].effect == Effect::Idempotent).then_some(WINDOW);
        let recovery = self.recovery.as_mut();
        recovery.map_or(0, |recovery| recovery.retry_after.advise_seconds(now, window) * SECOND)
    }

    fn forget(&mut self, id: &RequestId) {
        if self.taken.get(id).is_some_and(|t| !t.open && t.attempts.iter().all(|a| a.over)) {
            self.taken.remove(id);
        }
    }

    fn post(&mut self, now: Nanos, event: Event, deeds: &mut Vec<Deed>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = Vec::new();
            self.balancer.handle(now, event, &mut actions);
            self.perform(now, actions, deeds);
        }
    }

    fn perform(&mut self, now: Nanos, actions: Vec<Action>, deeds: &mut Vec<Deed>) {
        for action in actions {
            match action {
                Action::Send { id, server, timeout_at } => {
                    self.send(now, id, server, timeout_at, deeds)
                }
                Action::Cancel { id, attempt } => deeds.push(Deed::Cancel { id, attempt }),
                Action::Reject { id, retry_after } => {
                    let class = self.taken.get(&id).map_or(0, |taken| taken.class);
                    let after = match self.recovery {
                        Some(_) => self.advise(now, class),
                        None => retry_after,
                    };
                    self.conclude(&id, Reply::Refused(after), deeds);
                }
                Action::Fail { id } => self.conclude(&id, Reply::Failed, deeds),
                Action::SetTimer { after, token } => {
                    deeds.push(Deed::Timer { at: now + after, token })
                }
                Action::CloseIdle { server } => deeds.push(Deed::CloseIdle { server }),
                Action::Watch { on: true } => deeds.push(Deed::Watch),
                // A dropped timer that fires does nothing; the rest is off in these settings.
                Action::DropTimer { .. }
                | Action::Probe { .. }
                | Action::SendGossip { .. }
                | Action::Watch { .. }
                | Action::FetchServers
                | Action::Log { .. } => {}
            }
        }
    }

    fn conclude(&mut self, id: &RequestId, reply: Reply, deeds: &mut Vec<Deed>) {
        let Some(taken) = self.taken.get_mut(id).filter(|taken| taken.open) else { return };
        taken.open = false;
        deeds.push(Deed::Reply { client: taken.client, reply });
        self.forget(id);
    }

    fn send(
        &mut self,
        now: Nanos,
        id: RequestId,
        server: ServerId,
        timeout_at: Nanos,
        deeds: &mut Vec<Deed>,
    ) {
        let Some(taken) = self.taken.get_mut(&id) else { return };
        let attempt = taken.attempts.len() as u32;
        let out = taken.attempts.iter().any(|attempt| !attempt.over);
        self.unruly += u64::from(out || attempt >= MAX_ATTEMPTS);
        taken.attempts.push(Attempt { server, sent: now, over: false });
        let until = match timeout_at {
            0 => taken.deadline,
            at => at.min(taken.deadline),
        };
        deeds.push(Deed::Send { id, attempt, server, until });
    }

    /// Whose request it is, and its class.
    pub fn of(&self, id: &RequestId) -> Option<(usize, usize)> {
        self.taken.get(id).map(|taken| (taken.client, taken.class))
    }
}
