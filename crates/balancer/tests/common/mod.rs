//! Settings, servers and requests for the tests.
#![allow(dead_code)]

use mintshelf_balancer::api::*;
use mintshelf_balancer::decide::Balancer;
use std::sync::Arc;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;

pub fn class(effect: Effect, group: Group) -> Class {
    Class {
        effect,
        group,
        dedup_window: 5 * S,
        latency_objective: 400 * MS,
        deadline: 2 * S,
        priority_weight: 1.0,
        late_weight: 0.0,
        max_attempts: 6,
        backoff: Backoff::default(),
    }
}

pub fn settings() -> Settings {
    Settings {
        self_index: 3,
        instances: 20,
        zone: 0,
        zones: 2,
        kinds: 2,
        classes: vec![
            class(Effect::Safe, Group::All),
            class(Effect::Idempotent, Group::All),
            class(Effect::Idempotent, Group::Zone),
            class(Effect::Idempotent, Group::Cell),
            class(Effect::Unsafe, Group::All),
        ],
        tenants: Vec::new(),
        over_quota_weight: 0.1,
        is_weighted_by_work: false,
        must_poll: false,
        poll_within: 10 * S,
        size_kind: SizeKind::Nominal,
        report_mode: ReportMode::Absent,
        report_fields: Vec::new(),
        tick: 5 * MS,
        answer_slack: 15 * MS,
        drain_grace: 500 * MS,
        initial_capacity: 0.2,
        warm_up: 10 * S,
        overload_multiple: 4.0,
        overload_duration: 2 * S,
        can_cancel: true,
        can_probe: false,
        has_peers: false,
        retry_after: true,
        max_retry_after: 2 * S,
        allows_parallel_attempts: true,
        max_attempts: 5,
        retry_ratio: 0.2,
        retry_budget_max: 5.0,
        is_silence_local: false,
        connect_timeout: 200 * MS,
        idle_timeout: 15 * S,
        objective: Objective { overall: 1.0, ..Objective::default() },
        prices: Prices::default(),
    }
}

pub fn server(id: ServerId) -> ListedServer {
    ListedServer { id, size: 1.0, zone: id % 2, cell: id % 4, ..ListedServer::default() }
}

pub fn list(kind: ListKind, entries: Vec<ListedServer>) -> Event {
    Event::Servers { kind, version: 1, entries: entries.into() }
}

pub fn request(id: &str, class: u32, client_timeout: Nanos) -> Event {
    Event::Request {
        id: id.into(),
        class,
        tenant: 0,
        key: None,
        cost_hint: None,
        repeat: false,
        client_timeout,
    }
}

pub fn ended(id: &str, attempt: u32, server: ServerId, outcome: Outcome, finished: bool) -> Event {
    let (id, took, report) = (Arc::from(id), 20 * MS, None);
    Event::AttemptEnded { id, attempt, outcome, finished, took, server, report }
}

/// The end of a request's first and last attempt.
pub fn ended_after(took: Nanos, id: &str, server: ServerId, outcome: Outcome) -> Event {
    let (id, attempt, finished, report) = (Arc::from(id), 0, true, None);
    Event::AttemptEnded { id, attempt, outcome, finished, took, server, report }
}

/// An instance with its actions.
pub struct Rig {
    pub balancer: Balancer,
}

impl Rig {
    pub fn new(settings: Settings) -> (Self, Vec<Action>) {
        let mut out = Vec::new();
        (Rig { balancer: Balancer::new(settings, 42, S, &mut out) }, out)
    }

    pub fn with(settings: Settings, servers: impl IntoIterator<Item = ServerId>) -> Self {
        let mut rig = Rig::new(settings).0;
        rig.feed(S, list(ListKind::Full, servers.into_iter().map(server).collect()));
        rig
    }

    pub fn feed(&mut self, now: Nanos, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.balancer.handle(now, event, &mut out);
        out
    }
}

pub fn sends(actions: &[Action]) -> Vec<ServerId> {
    let to = |a: &Action| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
