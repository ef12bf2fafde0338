//! Evicts and probes groups of sockets: when a server is lost or removed, when a slot is reclaimed,
//! and when a handler or the process shuts down.

use super::entry::{ServerLocation, SocketCommand, SocketEntry};
use super::registry::SocketRegistry;
use super::schedules::ServerProbe;
use mintshelf_balancer::api::ServerId;
use mintshelf_time::Nanos;
use mintshelf_websocket::close::reason_with_retry;
use mintshelf_websocket::close_code;
use mintshelf_websocket::session::EvictionRequest;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// Seconds after which a client whose slot was reclaimed may reconnect.
const RECLAIM_RETRY_AFTER_S: u64 = 5;

impl SocketRegistry {
    /// Sets the time, in nanoseconds, over which the sockets of a cluster migrate away from a
    /// server that is lost or removed.
    pub fn set_migration_window(&self, cluster: u32, window_ns: Nanos) {
        self.migration_schedules.borrow_mut().set_window(cluster, window_ns);
    }

    /// Removes the migration schedule of a cluster whose last socket has ended.
    pub fn remove_cluster(&self, cluster: u32) {
        self.migration_schedules.borrow_mut().remove(cluster);
    }

    /// Returns when a socket that has lost its server may migrate. The other sockets of that server
    /// probe it, as they may not have detected the loss yet.
    pub fn schedule_after_loss(&self, entry: &SocketEntry) -> Nanos {
        let location = entry.location();
        entry.set_evicted();
        let others = self.probe_server(location.cluster, location.server);
        let now = self.clock().now();
        self.migration_schedules.borrow_mut().next_slot(now, location, others + 1)
    }

    /// Makes all sockets of a server that may be down ping it, and returns their number. If the
    /// server was probed within the last second, returns the result of that probe instead.
    pub fn probe_server(&self, cluster: u32, server: ServerId) -> usize {
        let now = self.clock().now();
        let location = ServerLocation { cluster, server };
        let mut probes = self.server_probes.borrow_mut();
        if let Some(probe) = probes.recent(now, location) {
            return probe.sockets;
        }
        let entries = self.entries.borrow();
        let probed = entries
            .values()
            .filter(|entry| entry.location() == location && !entry.is_evicted())
            .inspect(|entry| entry.send(SocketCommand::ProbeServer));
        let probe = ServerProbe { at_ns: now, sockets: probed.count() };
        probes.record(location, probe);
        probe.sockets
    }

    /// Evicts the sockets of a cluster from all servers except `servers`. They may migrate.
    pub fn retain_servers(&self, cluster: u32, servers: &HashSet<ServerId>, reason: &str) {
        let now = self.clock().now();
        let entries = self.entries.borrow();
        let evicted: Vec<&Rc<SocketEntry>> = entries
            .values()
            .filter(|entry| entry.location().cluster == cluster)
            .filter(|entry| !servers.contains(&entry.location().server) && !entry.is_evicted())
            .collect();
        let mut remaining: HashMap<ServerId, usize> = HashMap::new();
        for entry in &evicted {
            *remaining.entry(entry.location().server).or_default() += 1;
        }
        for entry in evicted {
            let location = entry.location();
            let left = remaining.entry(location.server).or_default();
            let at_ns = self.migration_schedules.borrow_mut().next_slot(now, location, *left);
            *left = left.saturating_sub(1);
            let reason = reason.to_string();
            let close_code = close_code::SERVICE_RESTART;
            entry.evict(at_ns, EvictionRequest { close_code, reason, may_migrate: true });
        }
    }

    /// Closes the sockets of one handler, or all sockets, at even intervals within `window_ns`.
    pub fn drain(&self, handler_id: Option<usize>, window_ns: Nanos) {
        let now = self.clock().now();
        let entries = self.entries.borrow();
        let drained: Vec<&Rc<SocketEntry>> = entries
            .values()
            .filter(|entry| handler_id.is_none_or(|handler_id| entry.handler_id == handler_id))
            .filter(|entry| !entry.is_draining())
            .collect();
        let count = u64::try_from(drained.len()).unwrap_or(u64::MAX);
        let step_ns = window_ns / count.max(1);
        for (position, entry) in (0..).zip(drained) {
            entry.set_draining();
            // Spreads the reconnects as evenly as the closes, and leaves time for a restart.
            let retry_after_s = 1 + position % 10;
            let reason = reason_with_retry("this sidecar ends", retry_after_s);
            let close_code = close_code::GOING_AWAY;
            let request = EvictionRequest { close_code, reason, may_migrate: false };
            entry.evict(now.saturating_add(step_ns * position), request);
        }
    }

    /// Closes the tenant's socket that has been without a message for longest.
    pub(super) fn reclaim_slot(&self, now: Nanos, tenant: &str) {
        let entries = self.entries.borrow();
        let candidates =
            entries.values().filter(|entry| *entry.owner.tenant == *tenant && !entry.is_evicted());
        if let Some(entry) = candidates.min_by_key(|entry| entry.last_message_at_ns()) {
            let reason = "others want their share of the sockets";
            let reason = reason_with_retry(reason, RECLAIM_RETRY_AFTER_S);
            let close_code = close_code::TRY_AGAIN_LATER;
            entry.evict(now, EvictionRequest { close_code, reason, may_migrate: false });
        }
    }
}
