//! Spreads the migrations of sockets over time: all sockets of a server that is lost or removed
//! leave it within a window, and do not reach the other servers in one burst.

use mintshelf_time::{Nanos, MILLISECOND};
use std::collections::BTreeMap;

/// Longest time between the migrations of two sockets of a server.
pub const MAX_STEP_NS: Nanos = 20 * MILLISECOND;

/// The migrations from one server.
#[derive(Debug)]
struct ServerMigration {
    next_slot_ns: Nanos,
    step_ns: Nanos,
    deadline_ns: Nanos,
}

/// The migrations of one cluster.
#[derive(Debug)]
pub struct MigrationSchedule {
    window_ns: Nanos,
    servers: BTreeMap<u32, ServerMigration>,
}

impl MigrationSchedule {
    /// A schedule by which the sockets of a server leave it within `window_ns`.
    #[must_use]
    pub fn new(window_ns: Nanos) -> Self {
        MigrationSchedule { window_ns, servers: BTreeMap::new() }
    }

    /// When the next socket of a server may leave it. `remaining_sockets`: the sockets of the
    /// server that have no slot yet, this one among them.
    pub fn next_slot(&mut self, now: Nanos, server: u32, remaining_sockets: usize) -> Nanos {
        self.servers.retain(|_, migration| migration.deadline_ns > now);
        let window_ns = self.window_ns;
        let migration = self.servers.entry(server).or_insert_with(|| ServerMigration {
            next_slot_ns: now,
            step_ns: (window_ns / (remaining_sockets as u64).max(1)).min(MAX_STEP_NS),
            deadline_ns: now.saturating_add(window_ns),
        });
        let slot_ns = migration.next_slot_ns.max(now);
        migration.next_slot_ns =
            slot_ns.saturating_add(migration.step_ns).min(migration.deadline_ns);
        slot_ns
    }

    /// How many servers are being left, as of the last call to [`Self::next_slot`].
    #[must_use]
    pub fn migrating_servers(&self) -> usize {
        self.servers.len()
    }
}
