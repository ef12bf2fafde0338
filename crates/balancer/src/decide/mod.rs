//! Every decision of the balancer, and every number it decides by.
//!
//! The ordinary path is He and Down's line for servers of unequal speed
//! (section 4 of their paper). Exceptions act only through who is ready, what
//! a server's speed is, whether a request is admitted and when it is tried again.

use crate::decay::{DecayingCounter, DecayingMean};
use crate::record::{Attempt, End, Health, Legal, Request, Sample};
use crate::{api::*, budget::RetryBudget, gossip::GossipMessage, rng::*, timers::TimerTable};
use std::collections::HashMap;

mod admission;
pub mod attempts;
mod cold;
mod discovery;
mod health;
mod line;
mod speed;

pub use line::{AdjacentPair, Candidates, ServerOrder};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Memory of the arrival and answer rates: mean age in seconds, and its half-life.
const RATE_SPAN: f64 = 10.0;
const RATE_HALF_LIFE: Nanos = 6_931 * MS;

#[derive(Debug, Default)]
struct Server {
    listed: ListedServer,
    /// Place on this instance's line.
    rank: u64,
    /// When it started, if that is known to be recent.
    started: Option<Nanos>,
    in_flight: u32,
    overdue: u32,
    /// Until when it is out for each class, and when what it last answered was sent.
    stuck: Vec<Nanos>,
    answered: Nanos,
    /// When it last answered anything.
    heard: Nanos,
    /// Log latency ratios.
    slow: DecayingMean,
    fails: DecayingCounter,
    ejected_until: Nanos,
    ejections: u32,
    /// Sends a cold server may still get from this instance.
    cold_credit: f64,
    credit_at: Nanos,
    /// The last load report, its queue with what was sent since, and times.
    report: Vec<f64>,
    report_queue: f64,
    report_at: Nanos,
    asked_at: Nanos,
}

impl Server {
    /// Draining or gone, as far as this instance has heard.
    fn leaving(&self) -> bool {
        self.listed.state != EndpointState::Live
    }
}

type Out<'a> = &'a mut Vec<Action>;

#[derive(Debug, Clone)]
enum Wake {
    Overdue(RequestId, usize),
    Held(RequestId),
    Reports(RequestId),
    Discovery,
}

/// The balancer of one instance.
#[derive(Debug, Default)]
pub struct Balancer {
    set: Settings,
    rng: Rng,
    index: HashMap<ServerId, usize>,
    servers: Vec<Server>,
    order: Vec<usize>,
    /// One for each class: kinds of server may suit some classes and not others.
    lines: Vec<ServerOrder>,
    line_at: Nanos,
    line_stale: bool,
    requests: HashMap<RequestId, Request>,
    wakes: TimerTable<Wake>,
    /// Typical log latency per class, once seen, and the same over the cost hint.
    typical: Vec<Option<f64>>,
    pace: Vec<Option<f64>>,
    /// Answers those were learned from.
    taught: Vec<f64>,
    /// What a kind of server adds to each class's log latency.
    kind_offset: Vec<Vec<f64>>,
    arrivals: DecayingCounter,
    /// Log latency ratios of late, of all servers.
    lag: DecayingMean,
    born: Nanos,
    told_at: Nanos,
    retries: RetryBudget,
    /// Share of attempts that fail, at any server.
    usual_fails: f64,
    refuse_level: f64,
    usual_level: f64,
    level_at: Nanos,
    ended_at: Nanos,
    refuse: Vec<f64>,
    mix: Vec<f64>,
    /// Traffic of each tenant, and how many instances' worth it is.
    tenant_seen: Vec<DecayingCounter>,
    tenant_weight: DecayingCounter,
    served: DecayingCounter,
    /// The same by the capacity there was at each answer.
    served_by_unit: DecayingCounter,
    waiting: Vec<RequestId>,
    /// Repeated reports that told nothing new, and those that did.
    reports: [u32; 2],
    watching: bool,
    call_out: bool,
}

impl Balancer {
    /// A fresh instance: it knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Nanos, out: &mut Vec<Action>) -> Self {
        let mut this = Balancer {
            rng: Rng::new(seed),
            line_stale: true,
            typical: vec![None; settings.classes.len()],
            pace: vec![None; settings.classes.len()],
            taught: vec![0.0; settings.classes.len()],
            kind_offset: vec![vec![0.0; settings.kinds.max(1) as usize]; settings.classes.len()],
            born: now,
            told_at: now,
            retries: RetryBudget::new(settings.retry_ratio, settings.retry_budget_max),
            level_at: now,
            ended_at: now,
            refuse: vec![0.0; settings.classes.len()],
            mix: vec![1.0; settings.classes.len()],
            tenant_seen: vec![DecayingCounter::default(); settings.tenants.len()],
            set: settings,
            ..Balancer::default()
        };
        this.tenant_weight.add(now, RATE_HALF_LIFE, 1.0 / RATE_SPAN);
        this.call_discovery(this.set.poll_within.min(discovery::WATCH_SPREAD), out);
        this
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Servers { kind, entries, .. } => self.on_list(now, kind, &entries, out),
            Event::DiscoveryAddressChanged => {
                (self.watching, self.call_out) = (false, false);
                self.call_discovery(discovery::MOVE_SPREAD, out);
            }
            Event::Request { id, class, tenant, client_timeout, repeat, cost_hint, .. } => {
                let (class, tenant) = (class as usize, tenant as usize);
                let cost = cost_hint.filter(|cost| *cost > 0).map(|cost| (cost as f64).ln());
                let (arrived, deadline, rest) =
                    (now, now.saturating_add(client_timeout), Request::default());
                let request = Request { class, tenant, cost, repeat, arrived, deadline, ..rest };
                self.on_request(now, id, request, out)
            }
            Event::StreamStarted { id, .. } => {
                self.requests.entry(id).and_modify(|request| request.streaming = true);
            }
            Event::AttemptEnded { id, attempt, outcome, finished, took, .. } => {
                self.on_ended(now, id, attempt as usize, (outcome, finished, took), out)
            }
            Event::HedgeRequested { id } => self.on_second_copy(now, &id, out),
            Event::ClientDisconnected { id } => self.close(&id, out),
            Event::Timer { token } => self.on_timer(now, token, out),
            Event::Probed { server, outcome, report, .. } => {
                self.on_probed(now, server, (outcome == Outcome::Ok, report), out)
            }
            Event::Gossip { payload, .. } => self.on_peer(now, &payload),
        }
    }

    /// Whether an attempt that may have run could be followed by another now.
    pub fn can_retry(&self) -> bool {
        self.retries.covers(1.0)
    }

    fn on_timer(&mut self, now: Nanos, token: u64, out: Out<'_>) {
        match self.wakes.take(token) {
            Some(Wake::Overdue(id, attempt)) => self.on_overdue(now, id, attempt),
            Some(Wake::Held(id)) => self.advance(now, &id, out),
            Some(Wake::Reports(id)) => self.settle(now, &id, true, out),
            Some(Wake::Discovery) if !self.watching && !self.call_out => {
                self.call_out = true;
                out.push(Action::Watch { on: true });
            }
            None | Some(Wake::Discovery) => {}
        }
    }
}
