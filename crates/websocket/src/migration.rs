//! Spreads migrations over time, so that the sockets of a server that is lost or removed all leave
//! it within a window but do not reach the other servers in one burst.

use mintshelf_time::{Nanos, MILLISECOND};
use std::collections::BTreeMap;

/// Longest interval between two consecutive migrations from a server.
pub const MAX_INTERVAL_NS: Nanos = 20 * MILLISECOND;

/// The ongoing migrations from one server.
#[derive(Debug)]
struct ServerMigration {
    next_slot_ns: Nanos,
    interval_ns: Nanos,
    deadline_ns: Nanos,
}

/// Assigns migration times to the sockets of one cluster.
#[derive(Debug)]
pub struct MigrationSchedule {
    window_ns: Nanos,
    servers: BTreeMap<u32, ServerMigration>,
}

impl MigrationSchedule {
    /// Creates a schedule by which all sockets leave a server within `window_ns`.
    #[must_use]
    pub fn new(window_ns: Nanos) -> Self {
        MigrationSchedule { window_ns, servers: BTreeMap::new() }
    }

    /// Returns when the next socket of a server may leave it. `remaining_sockets` is the number of
    /// the server's sockets that have no slot yet, including this one.
    pub fn next_slot(&mut self, now: Nanos, server: u32, remaining_sockets: usize) -> Nanos {
        self.servers.retain(|_, migration| migration.deadline_ns > now);
        let window_ns = self.window_ns;
        let migration = self.servers.entry(server).or_insert_with(|| ServerMigration {
            next_slot_ns: now,
            interval_ns: (window_ns / (remaining_sockets as u64).max(1)).min(MAX_INTERVAL_NS),
            deadline_ns: now.saturating_add(window_ns),
        });
        let slot_ns = migration.next_slot_ns.max(now);
        migration.next_slot_ns =
            slot_ns.saturating_add(migration.interval_ns).min(migration.deadline_ns);
        slot_ns
    }

    /// Returns the number of servers that sockets were migrating from at the last call to
    /// [`Self::next_slot`].
    #[must_use]
    pub fn migrating_servers(&self) -> usize {
        self.servers.len()
    }
}
