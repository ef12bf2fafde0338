//! When the sockets of servers migrate, and when servers were probed last.

use super::entry::ServerLocation;
use mintshelf_time::{Nanos, SECOND};
use mintshelf_websocket::migration::MigrationSchedule;
use std::collections::HashMap;

/// Least time between two probes of the same server.
const PROBE_INTERVAL_NS: Nanos = SECOND;

/// The migration schedules of the clusters, by their numbers.
#[derive(Debug, Default)]
pub(super) struct MigrationSchedules(HashMap<u32, MigrationSchedule>);

impl MigrationSchedules {
    /// Sets within how many nanoseconds the sockets of a cluster leave a server.
    pub(super) fn set_window(&mut self, cluster: u32, window_ns: Nanos) {
        self.0.insert(cluster, MigrationSchedule::new(window_ns));
    }

    pub(super) fn remove(&mut self, cluster: u32) {
        self.0.remove(&cluster);
    }

    /// When one more socket may leave a server, `remaining` sockets being there with it; at once
    /// in a cluster without a schedule.
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

/// A probe of a server by all its sockets.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerProbe {
    pub(super) at_ns: Nanos,
    /// How many sockets pinged the server.
    pub(super) sockets: usize,
}

/// The probes of the last [`PROBE_INTERVAL_NS`].
#[derive(Debug, Default)]
pub(super) struct ServerProbes(HashMap<ServerLocation, ServerProbe>);

impl ServerProbes {
    /// The probe of a server within the last [`PROBE_INTERVAL_NS`], if any.
    pub(super) fn recent(&mut self, now: Nanos, location: ServerLocation) -> Option<ServerProbe> {
        self.0.retain(|_, probe| now.saturating_sub(probe.at_ns) < PROBE_INTERVAL_NS);
        self.0.get(&location).copied()
    }

    pub(super) fn record(&mut self, location: ServerLocation, probe: ServerProbe) {
        self.0.insert(location, probe);
    }
}
