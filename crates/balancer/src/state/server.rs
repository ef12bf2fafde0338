//! What is known of each server, and the table of all servers.

use crate::api::{EndpointState, ListedServer, Nanos, Outcome, ServerId};
use crate::decay::{DecayingCounter, DecayingMean};
use crate::server_order::ServerOrder;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// What one instance knows of a server.
#[derive(Debug, Default)]
pub(crate) struct ServerState {
    pub(crate) listed: ListedServer,
    /// Sort key of its position in this instance's order.
    pub(crate) order_rank: u64,
    /// When it started, if that is known to be recent.
    pub(crate) started_at: Option<Nanos>,
    pub(crate) in_flight: u32,
    pub(crate) overdue: u32,
    /// Until when it is ejected for each class.
    pub(crate) class_ejected_until: Vec<Nanos>,
    /// When the latest attempt that it served was sent.
    pub(crate) last_served_sent_at: Nanos,
    /// When it last responded to anything.
    pub(crate) last_response_at: Nanos,
    /// Logs of the ratios of its latencies to the typical ones.
    pub(crate) log_latency_ratio: DecayingMean,
    pub(crate) failures: DecayingCounter,
    pub(crate) ejected_until: Nanos,
    /// Number of ejections in succession.
    pub(crate) ejections: u32,
    /// Sends that this instance may still direct to it while it warms up.
    pub(crate) warm_up_credit: f64,
    pub(crate) credit_updated_at: Nanos,
    /// The last load report, in the order of the settings.
    pub(crate) report: Vec<f64>,
    /// Queue of the last load report, plus the requests sent since.
    pub(crate) reported_queue: f64,
    pub(crate) reported_at: Nanos,
    pub(crate) probed_at: Nanos,
}

impl ServerState {
    /// Whether it is in service, neither draining nor removed, as far as this instance knows.
    pub(crate) fn is_live(&self) -> bool {
        self.listed.state == EndpointState::Live
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.listed.state == EndpointState::Removed
    }

    /// Whether it is ejected for a class at `now`.
    pub(crate) fn is_ejected_for(&self, class: usize, now: Nanos) -> bool {
        self.class_ejected_until.get(class).is_some_and(|until| *until > now)
    }

    /// Ejects it for a class.
    pub(crate) fn eject_for(&mut self, class: usize, until: Nanos) {
        if self.class_ejected_until.len() <= class {
            self.class_ejected_until.resize(class + 1, 0);
        }
        self.class_ejected_until[class] = until;
    }

    /// Records a load report and the queue that it states.
    pub(crate) fn record_report(&mut self, now: Nanos, report: &[f64], queue: f64) {
        self.report = report.to_vec();
        self.reported_queue = queue;
        self.reported_at = now;
    }

    /// Records that an attempt has ended.
    pub(crate) fn record_end(&mut self, now: Nanos, was_overdue: bool, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.overdue = self.overdue.saturating_sub(u32::from(was_overdue));
        if outcome.answered() {
            self.last_response_at = now;
        }
    }
}

/// All servers; they are referred to by their index in this table.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    by_id: HashMap<ServerId, usize>,
    servers: Vec<ServerState>,
    /// Servers that are not removed, sorted by rank.
    pub(crate) order: Vec<usize>,
}

impl ServerTable {
    /// Index of a server; `None` if it is not in the table.
    pub(crate) fn index_of(&self, id: ServerId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.iter()
    }

    /// Sum of the listed sizes of those servers that satisfy a condition.
    pub(crate) fn size_of(
        &self,
        servers: &[usize],
        condition: impl Fn(&ServerState) -> bool,
    ) -> f64 {
        let states = servers.iter().map(|index| &self.servers[*index]);
        states.filter(|server| condition(server)).map(|server| server.listed.size).sum()
    }

    /// Servers in service, in order.
    pub(crate) fn live(&self) -> Vec<usize> {
        self.order.iter().copied().filter(|index| self.servers[*index].is_live()).collect()
    }

    /// Marks all servers removed, before a complete list is applied.
    pub(crate) fn mark_all_removed(&mut self) {
        for server in &mut self.servers {
            server.listed.state = EndpointState::Removed;
        }
    }

    /// Applies a new entry to a server that is in the table. `fresh` has that entry and the
    /// state of a server of which nothing else is known; it replaces the state if the server
    /// has restarted, except for the attempts in flight.
    pub(crate) fn update(&mut self, fresh: ServerState) {
        let Some(index) = self.index_of(fresh.listed.id) else { return };
        let server = &mut self.servers[index];
        if fresh.listed.started_at > server.listed.started_at {
            let in_flight = server.in_flight;
            let overdue = server.overdue;
            *server = ServerState { in_flight, overdue, ..fresh };
        } else {
            server.listed = fresh.listed;
        }
    }

    /// Adds a server whose id is not in the table. It takes the place of a removed one, if
    /// there is any: ids are never reused, and the table would grow without bound.
    pub(crate) fn insert(&mut self, server: ServerState) {
        let reused = self.servers.iter().position(ServerState::is_removed);
        self.by_id.insert(server.listed.id, reused.unwrap_or(self.servers.len()));
        self.servers.push(server);
        if let Some(reused) = reused {
            let replaced = self.servers.swap_remove(reused);
            self.by_id.remove(&replaced.listed.id);
        }
    }

    /// Sorts the servers that are not removed by rank, then by id.
    pub(crate) fn sort(&mut self) {
        let servers = &self.servers;
        self.order = (0..servers.len()).filter(|index| !servers[*index].is_removed()).collect();
        let sort_key = |index: &usize| (servers[*index].order_rank, servers[*index].listed.id);
        self.order.sort_by_key(sort_key);
    }
}

impl Index<usize> for ServerTable {
    type Output = ServerState;

    fn index(&self, index: usize) -> &ServerState {
        &self.servers[index]
    }
}

impl IndexMut<usize> for ServerTable {
    fn index_mut(&mut self, index: usize) -> &mut ServerState {
        &mut self.servers[index]
    }
}

/// The server orders of all classes: kinds of server may suit some classes and not others.
#[derive(Debug, Default)]
pub(crate) struct ClassOrders {
    /// One order for each class; empty until first refreshed.
    pub(crate) by_class: Vec<ServerOrder>,
    pub(crate) refreshed_at: Nanos,
    /// Whether they must be refreshed before the next use.
    pub(crate) is_stale: bool,
}

/// State of the calls to discovery.
#[derive(Debug, Default)]
pub(crate) struct DiscoveryCall {
    /// Whether a watch is established.
    pub(crate) is_watching: bool,
    /// Whether a call was made and has not ended.
    pub(crate) is_pending: bool,
}

impl DiscoveryCall {
    /// Notes that a call is made; returns false if none is needed.
    #[must_use]
    pub(crate) fn begin_call(&mut self) -> bool {
        let is_needed = !self.is_watching && !self.is_pending;
        self.is_pending |= is_needed;
        is_needed
    }

    /// Notes that discovery has responded to the pending call, if there is one.
    pub(crate) fn establish_watch(&mut self) {
        if self.is_pending {
            self.is_watching = true;
            self.is_pending = false;
        }
    }
}
