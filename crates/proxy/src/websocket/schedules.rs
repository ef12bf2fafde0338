//! The migration schedules of clusters, and the recent probes of servers.

use super::entry::ServerLocation;
use mintshelf_time::{Nanos, SECOND};
use mintshelf_websocket::migration::MigrationSchedule;
use std::collections::HashMap;

/// Minimum interval between two probes of the same server.
const PROBE_INTERVAL_NS: Nanos = SECOND;

/// The migration schedules by cluster number.
#[derive(Debug, Default)]
pub(super) struct MigrationSchedules(HashMap<u32, MigrationSchedule>);

impl MigrationSchedules {
    /// Sets the time, in nanoseconds, over which the sockets of a cluster migrate away from a
    /// server.
    pub(super) fn set_window(&mut self, cluster: u32, window_ns: Nanos) {
        self.0.insert(cluster, MigrationSchedule::new(window_ns));
    }

    pub(super) fn remove(&mut self, cluster: u32) {
        self.0.remove(&cluster);
    }

    /// Returns when the next socket of a server may leave it: now if its cluster has no schedule.
    /// `remaining`: the sockets of the server that are not scheduled yet, this one included.
    pub(super) fn next_slot(
        &mut self,
        now: Nanos,
        location: ServerLocation,
        remaining: usize,
    ) -> Nanos {
        let schedule = self.0.get_mut(&location.cluster);
        schedule.map_or(now, |schedule| schedule.next_slot(now, location.server, remaining))
    }
}

/// A probe of a server, sent by all its sockets.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerProbe {
    pub(super) at_ns: Nanos,
    /// The number of sockets that pinged the server.
    pub(super) sockets: usize,
}

/// The probes within the last [`PROBE_INTERVAL_NS`], by server.
#[derive(Debug, Default)]
pub(super) struct ServerProbes(HashMap<ServerLocation, ServerProbe>);

impl ServerProbes {
    /// Returns the probe of a server within the last [`PROBE_INTERVAL_NS`], if there was one.
    pub(super) fn recent(&mut self, now: Nanos, location: ServerLocation) -> Option<ServerProbe> {
        self.0.retain(|_, probe| now.saturating_sub(probe.at_ns) < PROBE_INTERVAL_NS);
        self.0.get(&location).copied()
    }

    pub(super) fn record(&mut self, location: ServerLocation, probe: ServerProbe) {
        self.0.insert(location, probe);
    }
}
