//! Application of endpoint lists from discovery to the server table.

use super::estimators::ZonePreference;
use super::slow_start::WarmUpCredit;
use crate::api::{EndpointState, ListKind, ListedServer, ServerId, Settings};
use crate::rng::{hash, Rng};
use crate::state::{ServerState, ServerTable};
use mintshelf_time::{Nanos, SECOND};

/// Age above which the latest start of all servers is implausible when a list first states it:
/// either this machine's clock is ahead, or discovery was unreachable. In the latter case the
/// unnecessary warm-up does little harm.
const IMPLAUSIBLE_AGE: Nanos = 60 * SECOND;
/// Upper bound of a 64-bit hash, rounded up so that a hash divided by it is below 1.
const HASH_UPPER_BOUND: f64 = 1.9e19;
/// Number of ranks per unit of the random variable that is converted to an integer rank.
const RANKS_PER_UNIT: f64 = 1e12;

/// State that an instance keeps from one endpoint list to the next.
#[derive(Debug)]
pub(crate) struct EndpointLists {
    self_index: u32,
    warm_up: Nanos,
    zone_preference: ZonePreference,
    /// Latest start time that any list has stated, on the servers' clocks.
    latest_start: Nanos,
    /// Whether any list came from discovery rather than from the cache.
    has_discovery_list: bool,
}

/// Inputs for the records of new servers, the same for all entries of one list.
struct ListContext<'a> {
    now: Nanos,
    rng: &'a mut Rng,
    /// Whether the server table was empty before the list.
    is_first_list: bool,
}

impl EndpointLists {
    /// Creates the state of an instance that has received no list.
    pub(crate) fn new(settings: &Settings) -> Self {
        EndpointLists {
            self_index: settings.self_index,
            warm_up: settings.warm_up,
            zone_preference: ZonePreference::new(settings),
            latest_start: 0,
            has_discovery_list: false,
        }
    }

    /// Applies a list. Returns the servers that the list states as draining or removed, and those
    /// that a complete list no longer contains.
    pub(crate) fn apply(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: &[ListedServer],
        servers: &mut ServerTable,
        rng: &mut Rng,
    ) -> Vec<ServerId> {
        let mut context = ListContext { now, rng, is_first_list: !servers.has_listed() };
        let is_complete = kind != ListKind::Changes;
        if is_complete {
            servers.begin_complete_list();
        }
        let is_known = |entry: &&ListedServer| servers.index_of(entry.id).is_some();
        let (known, new): (Vec<_>, Vec<_>) = entries.iter().partition(is_known);
        for entry in known {
            self.apply_entry(entry, servers, &mut context);
        }
        // Servers that a complete list does not contain are removed. New servers may reuse their
        // places in the table but not those of known servers, so new servers are added last.
        let removed = if is_complete { servers.remove_unlisted() } else { Vec::new() };
        for entry in new {
            self.apply_entry(entry, servers, &mut context);
        }
        servers.apply_changes();
        self.record_list(kind, entries);
        let out_of_service = entries.iter().filter(|entry| entry.state != EndpointState::Live);
        out_of_service.map(|entry| entry.id).chain(removed).collect()
    }

    /// Records the latest start time and the origin of a list.
    fn record_list(&mut self, kind: ListKind, entries: &[ListedServer]) {
        let latest_start = entries.iter().map(|entry| entry.started_at).max();
        self.latest_start = self.latest_start.max(latest_start.unwrap_or(0));
        self.has_discovery_list |= kind != ListKind::Cached;
    }

    /// Adds, updates or restarts the server of an entry.
    fn apply_entry(
        &self,
        entry: &ListedServer,
        servers: &mut ServerTable,
        context: &mut ListContext<'_>,
    ) {
        match servers.index_of(entry.id) {
            Some(index) if servers.update(index, entry) => {}
            Some(index) => servers.restart(index, self.new_state(entry, context)),
            None if entry.state == EndpointState::Removed => {}
            None => {
                let state = self.new_state(entry, context);
                // A server added by a later list without a start time has just started.
                let is_added = !context.is_first_list && entry.started_at == 0;
                let started_at = state.started_at.or(is_added.then_some(context.now));
                servers.insert(ServerState { started_at, ..state });
            }
        }
    }

    /// Returns the state of a server of which only the entry is known.
    fn new_state(&self, entry: &ListedServer, context: &mut ListContext<'_>) -> ServerState {
        ServerState {
            started_at: self.recent_start_time(entry.started_at, context.now),
            order_rank: self.order_rank(entry),
            // A random initial credit spreads the first sends of all instances over time.
            warm_up_credit: WarmUpCredit::new(context.rng.draw(), context.now),
            listed: entry.clone(),
            ..ServerState::default()
        }
    }

    /// Returns the start time of a server that may still be warming up, or `None` if the server
    /// started earlier. `stated` is the start time in the server's list entry.
    ///
    /// The stated time is read from another machine's clock, and this machine's clock may be wrong
    /// by hours. A start in the future counts as now. If the latest start of all servers seems long
    /// past when a list first states it, this clock is ahead, and the server has just started.
    fn recent_start_time(&self, stated: Nanos, now: Nanos) -> Option<Nanos> {
        if stated == 0 {
            return None;
        }
        let started_at = stated.min(now);
        let age = now - started_at;
        if age < self.warm_up {
            return Some(started_at);
        }
        let is_latest = self.has_discovery_list && stated >= self.latest_start;
        (is_latest && age > IMPLAUSIBLE_AGE).then_some(now)
    }

    /// Returns a server's rank in the order of this instance: random, but the same for every list.
    /// The higher the price of crossing zones, the higher the ranks of servers in other zones, so
    /// that a subset contains more servers of the own zone.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates, and ranks may be equal"
    )]
    fn order_rank(&self, entry: &ListedServer) -> u64 {
        let instance_hash = hash(u64::from(self.self_index) + 1);
        let uniform = hash(hash(u64::from(entry.id)) ^ instance_hash) as f64 / HASH_UPPER_BOUND;
        let zone_divisor = self.zone_preference.speed_divisor(entry.zone);
        (-uniform.ln() * zone_divisor.sqrt() * RANKS_PER_UNIT) as u64
    }
}
