//! The table of all servers and its indexes: the server order, the order within each zone and
//! failure domain, and the totals over the servers in service.

use super::capacity::{CapacityEntry, CapacityTotals};
use super::ordered_servers::{GroupedServers, OrderKey, OrderedServers};
use super::server::ServerState;
use super::server_index::ServerIndex;
use crate::api::{Class, DedupScope, EndpointState, ListedServer, ServerId, Settings};
use mintshelf_time::Nanos;
use std::collections::{BTreeSet, HashMap};
use std::ops::{Index, IndexMut};

/// All servers, identified by a [`ServerIndex`] that is stable while a server is listed.
///
/// [`ServerTable::update`], [`ServerTable::insert`] and [`ServerTable::remove_unlisted`] apply
/// changes of the endpoint list; the server order reflects them after
/// [`ServerTable::apply_changes`].
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    by_id: HashMap<ServerId, ServerIndex>,
    servers: Vec<ServerState>,
    /// Indices of removed servers, which are reused. Server ids are not reused, so the table would
    /// grow without bound otherwise.
    free_indices: BTreeSet<ServerIndex>,
    /// Number of complete lists that this instance has begun to apply.
    complete_list_count: u64,
    /// Servers that may be ejected or have overdue attempts. Only servers that this instance has
    /// sent requests to can be among them.
    maybe_unhealthy: BTreeSet<ServerIndex>,
    capacity: CapacityTotals,
    in_service: OrderedServers,
    /// Servers in service by zone; `None` unless the deduplication groups of a class are zones.
    zones: Option<GroupedServers>,
    /// Servers in service by failure domain; `None` unless the deduplication groups of a class are
    /// failure domains.
    failure_domains: Option<GroupedServers>,
}

impl ServerTable {
    /// Creates an empty table for an instance that starts at `now`.
    pub(crate) fn new(settings: &Settings, now: Nanos) -> Self {
        let has_group =
            |group| settings.classes.iter().any(|class: &Class| class.dedup_scope == group);
        ServerTable {
            capacity: CapacityTotals::new(now, settings.warm_up),
            zones: has_group(DedupScope::Zone).then(GroupedServers::default),
            failure_domains: has_group(DedupScope::FailureDomain).then(GroupedServers::default),
            ..ServerTable::default()
        }
    }

    /// Returns the index of a server; `None` if the server is not in the table.
    pub(crate) fn index_of(&self, id: ServerId) -> Option<ServerIndex> {
        self.by_id.get(&id).copied()
    }

    /// Returns whether any server is listed, in service or draining.
    pub(crate) fn has_listed(&self) -> bool {
        self.free_indices.len() < self.servers.len()
    }

    /// Returns the servers in service, in order.
    pub(crate) fn in_service(&self) -> &OrderedServers {
        &self.in_service
    }

    /// Returns the servers in service of a zone, in order.
    pub(crate) fn in_zone(&self, zone: u32) -> Option<&OrderedServers> {
        self.zones.as_ref()?.get(zone)
    }

    /// Returns the servers in service of a failure domain, in order.
    pub(crate) fn in_failure_domain(&self, domain: u32) -> Option<&OrderedServers> {
        self.failure_domains.as_ref()?.get(domain)
    }

    /// Returns the totals over the servers in service.
    pub(crate) fn capacity(&self) -> &CapacityTotals {
        &self.capacity
    }

    /// Updates the totals to `now`, which must not decrease between calls.
    pub(crate) fn advance(&mut self, now: Nanos) {
        self.capacity.advance(now);
    }

    /// Marks a server that was ejected or has an overdue attempt.
    pub(crate) fn mark_maybe_unhealthy(&mut self, index: ServerIndex) {
        self.maybe_unhealthy.insert(index);
    }

    /// Returns the servers in service that are ejected or have overdue attempts at `now`.
    pub(crate) fn unhealthy(&mut self, now: Nanos) -> impl Iterator<Item = &ServerState> {
        let servers = &self.servers;
        self.maybe_unhealthy.retain(|index| !servers[index.position()].is_healthy(now));
        let unhealthy = self.maybe_unhealthy.iter().map(|index| &servers[index.position()]);
        unhealthy.filter(|server| server.is_live())
    }

    /// Begins to apply a complete list; [`Self::remove_unlisted`] then removes the servers that it
    /// does not contain.
    pub(crate) fn begin_complete_list(&mut self) {
        self.complete_list_count += 1;
    }

    /// Applies a list entry to a server in the table. Returns false without applying it if the
    /// server has restarted since its previous entry, which makes its state out of date.
    pub(crate) fn update(&mut self, index: ServerIndex, entry: &ListedServer) -> bool {
        let list = self.complete_list_count;
        let server = &mut self[index];
        if entry.started_at > server.listed.started_at {
            return false;
        }
        server.last_listed_in = list;
        if server.listed != *entry {
            self.modify(index, |server| server.listed = entry.clone());
        }
        true
    }

    /// Replaces the state of a server that has restarted, except for its attempts in flight.
    pub(crate) fn restart(&mut self, index: ServerIndex, fresh: ServerState) {
        let last_listed_in = self.complete_list_count;
        self.modify(index, |server| {
            let in_flight = server.in_flight;
            let overdue = server.overdue;
            *server = ServerState { in_flight, overdue, last_listed_in, ..fresh };
        });
    }

    /// Adds a server whose id is not in the table; reuses the index of a removed server if there is
    /// one.
    pub(crate) fn insert(&mut self, mut server: ServerState) {
        server.last_listed_in = self.complete_list_count;
        let id = server.listed.id;
        let reused = self.free_indices.pop_first();
        let index = reused.unwrap_or(ServerIndex::new(self.servers.len()));
        if reused.is_some() {
            let previous = self[index].listed.id;
            self.by_id.remove(&previous);
            self.maybe_unhealthy.remove(&index);
            self[index] = server;
        } else {
            self.servers.push(server);
        }
        self.by_id.insert(id, index);
        self.add_to_indexes(index);
    }

    /// Marks the servers that the complete list does not contain as removed; returns their ids.
    pub(crate) fn remove_unlisted(&mut self) -> Vec<ServerId> {
        let is_unlisted = |server: &ServerState| {
            !server.is_removed() && server.last_listed_in != self.complete_list_count
        };
        let indices = (0..self.servers.len()).map(ServerIndex::new);
        let unlisted: Vec<ServerIndex> =
            indices.filter(|index| is_unlisted(&self[*index])).collect();
        for index in &unlisted {
            self.modify(*index, |server| server.listed.state = EndpointState::Removed);
        }
        unlisted.iter().map(|index| self[*index].listed.id).collect()
    }

    /// Applies the changes since the last call to the server order.
    pub(crate) fn apply_changes(&mut self) {
        self.in_service.apply_changes();
        self.zones
            .iter_mut()
            .chain(&mut self.failure_domains)
            .for_each(GroupedServers::apply_changes);
    }

    /// Modifies a server and updates the indexes.
    fn modify(&mut self, index: ServerIndex, modify: impl FnOnce(&mut ServerState)) {
        self.remove_from_indexes(index);
        modify(&mut self[index]);
        self.add_to_indexes(index);
    }

    /// Adds a server to the indexes that its state belongs to.
    fn add_to_indexes(&mut self, index: ServerIndex) {
        if self[index].is_removed() {
            self.free_indices.insert(index);
        }
        if !self[index].is_live() {
            return;
        }
        self.capacity.add(self.capacity_entry(index));
        let key = self.order_key(index);
        let ListedServer { zone, failure_domain, .. } = self[index].listed;
        self.in_service.queue_insertion(key);
        if let Some(zones) = &mut self.zones {
            zones.queue_insertion(zone, key);
        }
        if let Some(domains) = &mut self.failure_domains {
            domains.queue_insertion(failure_domain, key);
        }
    }

    /// Removes a server from all indexes.
    fn remove_from_indexes(&mut self, index: ServerIndex) {
        self.free_indices.remove(&index);
        if !self[index].is_live() {
            return;
        }
        self.capacity.remove(self.capacity_entry(index));
        let key = self.order_key(index);
        let ListedServer { zone, failure_domain, .. } = self[index].listed;
        self.in_service.queue_removal(key);
        if let Some(zones) = &mut self.zones {
            zones.queue_removal(zone, key);
        }
        if let Some(domains) = &mut self.failure_domains {
            domains.queue_removal(failure_domain, key);
        }
    }

    fn capacity_entry(&self, index: ServerIndex) -> CapacityEntry {
        let server = &self[index];
        CapacityEntry { index, size: server.listed.size, started_at: server.started_at }
    }

    fn order_key(&self, index: ServerIndex) -> OrderKey {
        let server = &self[index];
        OrderKey { rank: server.order_rank, id: server.listed.id, index }
    }
}

impl Index<ServerIndex> for ServerTable {
    type Output = ServerState;

    fn index(&self, index: ServerIndex) -> &ServerState {
        &self.servers[index.position()]
    }
}

impl IndexMut<ServerIndex> for ServerTable {
    fn index_mut(&mut self, index: ServerIndex) -> &mut ServerState {
        &mut self.servers[index.position()]
    }
}
