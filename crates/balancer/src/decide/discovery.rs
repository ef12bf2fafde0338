//! Calls to discovery, and the endpoint lists that it provides.

use super::rates::{RATE_HALF_LIFE, RATE_MEMORY_SECONDS};
use super::Balancer;
use crate::api::{Action, EndpointState, ListKind, ListedServer, NOTIFIED_WITHIN};
use crate::rng::hash;
use crate::state::{DiscoveryCall, ServerState, Timer};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// The first call to discovery falls within this part of the time after which changes count as
/// known.
const WATCH_SPREAD: Nanos = NOTIFIED_WITHIN / 5 * 2;
/// The same after discovery's address has changed: the old one may fall silent.
const ADDRESS_CHANGE_SPREAD: Nanos = 600 * MILLISECOND;
/// Delay after a failed call, give or take a half.
const WATCH_RETRY: Nanos = NOTIFIED_WITHIN / 5;
/// No list tells of the latest start of all so late, unless the clock is wrong or discovery was
/// out of reach; then a warm-up too many does little harm.
const IMPLAUSIBLE_AGE: Nanos = 60 * SECOND;

impl Balancer {
    pub(crate) fn on_start(&mut self) {
        let own_weight = 1.0 / RATE_MEMORY_SECONDS;
        self.traffic.tenant_weight.add(self.now, RATE_HALF_LIFE, own_weight);
        self.schedule_discovery(self.settings.poll_within.min(WATCH_SPREAD));
    }

    /// Schedules a call at a random time within `spread`: instances that start together, or
    /// learn of a new address together, must not call all at once.
    pub(super) fn schedule_discovery(&mut self, spread: Nanos) {
        if self.settings.must_poll {
            let after = (self.rng.draw() * spread as f64) as Nanos;
            self.set_timer(after, Timer::DiscoveryDue);
        }
    }

    pub(crate) fn call_discovery(&mut self) {
        if self.discovery.begin_call() {
            self.actions.push(Action::StartWatch);
        }
    }

    pub(crate) fn on_discovery_address_changed(&mut self) {
        self.discovery = DiscoveryCall::default();
        self.schedule_discovery(ADDRESS_CHANGE_SPREAD);
    }

    fn on_discovery_failed(&mut self) {
        self.discovery = DiscoveryCall::default();
        let after = WATCH_RETRY as f64 * (0.5 + self.rng.draw());
        self.set_timer(after as Nanos, Timer::DiscoveryDue);
    }

    pub(crate) fn on_list(&mut self, kind: ListKind, entries: &[ListedServer]) {
        if kind == ListKind::Failed {
            return self.on_discovery_failed();
        }
        if kind != ListKind::Cached {
            self.discovery.establish_watch();
        }
        let is_first = !self.servers.has_listed();
        let is_complete = kind != ListKind::Changes;
        if is_complete {
            self.servers.begin_complete_list();
        }
        let is_known = |entry: &&ListedServer| self.servers.index_of(entry.id).is_some();
        let (known, new): (Vec<_>, Vec<_>) = entries.iter().partition(is_known);
        known.into_iter().for_each(|entry| self.apply_entry(entry, is_first));
        // A server that a complete list lacks has been removed. Its place in the table may go to
        // a new one, and that of a server that stays must not: so new ones come last.
        let removed = if is_complete { self.servers.remove_unnamed() } else { Vec::new() };
        new.into_iter().for_each(|entry| self.apply_entry(entry, is_first));
        self.servers.apply_changes();
        let latest_start = entries.iter().map(|entry| entry.started_at).max();
        self.latest_start = self.latest_start.max(latest_start.unwrap_or(0));
        self.has_current_list |= kind != ListKind::Cached;
        // Idle connections to these are of no use, and cost both sides file descriptors.
        let out_of_service = entries.iter().filter(|entry| entry.state != EndpointState::Live);
        let out_of_service = out_of_service.map(|entry| entry.id).chain(removed);
        self.actions.extend(out_of_service.map(|server| Action::CloseIdle { server }));
        self.orders.is_stale = true;
    }

    /// Applies an entry; `is_first`: no server was listed before this list.
    fn apply_entry(&mut self, entry: &ListedServer, is_first: bool) {
        match self.servers.index_of(entry.id) {
            Some(index) if self.servers.update(index, entry) => {}
            Some(index) => {
                let fresh = self.fresh_server(entry);
                self.servers.restart(index, fresh);
            }
            None if entry.state == EndpointState::Removed => {}
            None => {
                let fresh = self.fresh_server(entry);
                // A server that a later list adds has just started, unless it states when.
                let is_added = !is_first && entry.started_at == 0;
                let started_at = fresh.started_at.or(is_added.then_some(self.now));
                self.servers.insert(ServerState { started_at, ..fresh });
            }
        }
    }

    /// The state of a server of which nothing but its entry is known.
    fn fresh_server(&mut self, entry: &ListedServer) -> ServerState {
        ServerState {
            started_at: self.recent_start(entry.started_at),
            order_rank: self.order_rank(entry),
            warm_up_credit: self.rng.draw(),
            credit_updated_at: self.now,
            listed: entry.clone(),
            ..ServerState::default()
        }
    }

    /// When a server started that states this time, if that is recent.
    ///
    /// The time is of another machine's clock, and this one's may be wrong by hours. A start that
    /// seems to lie ahead is no later than now. One that is the latest of all, and yet seems long
    /// past when a change first tells of it, shows that this clock is ahead.
    fn recent_start(&self, stated: Nanos) -> Option<Nanos> {
        if stated == 0 {
            return None;
        }
        let started_at = stated.min(self.now);
        let age = self.now - started_at;
        if age < self.settings.warm_up {
            return Some(started_at);
        }
        let is_latest = self.has_current_list && stated >= self.latest_start;
        (is_latest && age > IMPLAUSIBLE_AGE).then_some(self.now)
    }

    /// A random rank, the same at each list. An order that is cut short then has more servers
    /// of the own zone, according to the price of crossing zones.
    fn order_rank(&self, entry: &ListedServer) -> u64 {
        let own = hash(u64::from(self.settings.self_index) + 1);
        let uniform = hash(hash(u64::from(entry.id)) ^ own) as f64 / 1.9e19;
        (-uniform.ln() * self.zone_penalty(entry.zone).sqrt() * 1e12) as u64
    }
}
