//! Connections of a sidecar to its servers.

use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Longest wait for a connection.
pub(crate) const CONNECT_TIMEOUT: Nanos = 200 * MILLISECOND;
/// Upper bound of the idle connections to each server.
const MAX_IDLE: usize = 16;
/// Longest time for which a connection may be idle and still be reused.
const IDLE_TIMEOUT: Nanos = 12 * SECOND;

/// The idle connections by server, each with the time since when it is idle.
#[derive(Default)]
pub(super) struct IdleConnections {
    by_server: Vec<Vec<Nanos>>,
}

impl IdleConnections {
    /// Takes the connection to a server that was used last; returns false if there is none, or
    /// all have been idle for too long.
    pub(super) fn take(&mut self, now: Nanos, server: usize) -> bool {
        let Some(idle) = self.by_server.get_mut(server) else { return false };
        if idle.last().is_some_and(|since| now - since > IDLE_TIMEOUT) {
            idle.clear();
        }
        idle.pop().is_some()
    }

    /// Adds a connection, unless there are enough.
    pub(super) fn add(&mut self, now: Nanos, server: usize) {
        if self.by_server.len() <= server {
            self.by_server.resize(server + 1, Vec::new());
        }
        let idle = &mut self.by_server[server];
        if idle.len() < MAX_IDLE {
            idle.push(now);
        }
    }

    /// Closes the connections to a server.
    pub(super) fn close(&mut self, server: usize) {
        if let Some(idle) = self.by_server.get_mut(server) {
            idle.clear();
        }
    }
}
