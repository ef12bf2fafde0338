//! The servers in service, sorted by a rank that each instance computes for itself and then by id.

use super::server_index::ServerIndex;
use crate::api::ServerId;
use std::collections::{BTreeSet, HashMap};
use std::mem;

/// Changes to fewer than one in this many servers are applied one by one; more are merged in one
/// pass over the list.
const BULK_MERGE_DIVISOR: usize = 16;

/// Sort key of a server in the order: by rank, then by id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct OrderKey {
    pub(crate) rank: u64,
    pub(crate) id: ServerId,
    /// Index of the server in the server table.
    pub(crate) index: ServerIndex,
}

/// A sorted list of servers with pending changes.
#[derive(Debug, Default)]
pub(crate) struct OrderedServers {
    keys: Vec<OrderKey>,
    pending_removals: BTreeSet<OrderKey>,
    pending_insertions: BTreeSet<OrderKey>,
}

impl OrderedServers {
    pub(crate) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the server at a position of the order.
    pub(crate) fn at(&self, position: usize) -> ServerIndex {
        self.keys[position].index
    }

    /// Iterates over the servers in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ServerIndex> + '_ {
        self.keys.iter().map(|key| key.index)
    }

    /// Queues the removal of a server until [`Self::apply_changes`].
    pub(crate) fn queue_removal(&mut self, key: OrderKey) {
        if !self.pending_insertions.remove(&key) {
            self.pending_removals.insert(key);
        }
    }

    /// Queues the insertion of a server until [`Self::apply_changes`].
    pub(crate) fn queue_insertion(&mut self, key: OrderKey) {
        self.pending_insertions.insert(key);
    }

    /// Applies the pending changes.
    pub(crate) fn apply_changes(&mut self) {
        let removals = mem::take(&mut self.pending_removals);
        let insertions = mem::take(&mut self.pending_insertions);
        if BULK_MERGE_DIVISOR * (removals.len() + insertions.len()) < self.keys.len() {
            removals.iter().for_each(|key| self.remove(key));
            insertions.into_iter().for_each(|key| self.insert(key));
            return;
        }
        self.keys.retain(|key| !removals.contains(key));
        self.keys.extend(insertions);
        // The list consists of two sorted runs, which the sort merges in linear time.
        self.keys.sort();
    }

    fn remove(&mut self, key: &OrderKey) {
        if let Ok(position) = self.keys.binary_search(key) {
            self.keys.remove(position);
        }
    }

    fn insert(&mut self, key: OrderKey) {
        if let Err(position) = self.keys.binary_search(&key) {
            self.keys.insert(position, key);
        }
    }
}

/// The servers in service by zone or by failure domain, each group in order.
#[derive(Debug, Default)]
pub(crate) struct GroupedServers {
    by_group: HashMap<u32, OrderedServers>,
    /// Numbers of the zones or failure domains that have queued insertions or removals.
    changed: BTreeSet<u32>,
}

impl GroupedServers {
    pub(crate) fn get(&self, group: u32) -> Option<&OrderedServers> {
        self.by_group.get(&group)
    }

    /// Queues the removal of a server from its group until [`Self::apply_changes`].
    pub(crate) fn queue_removal(&mut self, group: u32, key: OrderKey) {
        self.changed.insert(group);
        self.by_group.entry(group).or_default().queue_removal(key);
    }

    /// Queues the insertion of a server into its group until [`Self::apply_changes`].
    pub(crate) fn queue_insertion(&mut self, group: u32, key: OrderKey) {
        self.changed.insert(group);
        self.by_group.entry(group).or_default().queue_insertion(key);
    }

    /// Applies the pending changes.
    pub(crate) fn apply_changes(&mut self) {
        for group in mem::take(&mut self.changed) {
            let Some(servers) = self.by_group.get_mut(&group) else { continue };
            servers.apply_changes();
            if servers.is_empty() {
                self.by_group.remove(&group);
            }
        }
    }
}
