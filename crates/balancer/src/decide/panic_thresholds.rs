//! Panic thresholds: unhealthy servers are used if too few healthy servers are left.

use crate::state::ServerState;
use mintshelf_time::Nanos;

/// Share of the total size of the servers in service below which the healthy servers are too few,
/// and overdue attempts are ignored.
const OVERDUE_PANIC_SHARE: f64 = 0.5;
/// Share of the total size of the servers in service below which the servers that are not ejected
/// are too few, and ejections are ignored.
const EJECTION_PANIC_SHARE: f64 = 0.3;

/// Decides which servers are healthy enough to use. If too few are, the cause lies elsewhere than
/// in the servers: those with overdue attempts are used first, then the ejected ones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HealthFilter {
    now: Nanos,
    ignores_overdue: bool,
    ignores_ejections: bool,
}

impl HealthFilter {
    /// Creates a filter for the servers in service at `now`, from their total size and those of
    /// them that are unhealthy.
    pub(crate) fn new<'a>(
        total_size: f64,
        unhealthy: impl Iterator<Item = &'a ServerState>,
        now: Nanos,
    ) -> Self {
        let mut unhealthy_size = 0.0;
        let mut ejected_size = 0.0;
        for server in unhealthy {
            unhealthy_size += server.listed.size;
            if server.health.is_ejected(now) {
                ejected_size += server.listed.size;
            }
        }
        HealthFilter {
            now,
            ignores_overdue: total_size - unhealthy_size < OVERDUE_PANIC_SHARE * total_size,
            ignores_ejections: total_size - ejected_size < EJECTION_PANIC_SHARE * total_size,
        }
    }

    /// Returns whether a server may be used.
    pub(crate) fn allows(&self, server: &ServerState) -> bool {
        self.ignores_ejections
            || server.is_healthy(self.now)
            || self.ignores_overdue && !server.health.is_ejected(self.now)
    }
}
