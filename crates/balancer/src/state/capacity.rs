//! Totals over the servers in service, maintained incrementally: summing over all servers for each
//! request would take time proportional to the size of the fleet.

use super::server_index::ServerIndex;
use mintshelf_time::{as_float, Nanos};
use std::collections::BTreeMap;

/// Upper bound of a listed size: one absurdly large size would round away the others in the sums.
const MAX_SIZE: f64 = 1e9;
const NANOS_PER_SECOND: f64 = 1e9;

/// Contribution of one server in service to the totals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CapacityEntry {
    pub(crate) index: ServerIndex,
    /// Listed size of the server.
    pub(crate) size: f64,
    /// Time at which the server started; `None` unless a recent start is known.
    pub(crate) started_at: Option<Nanos>,
}

impl CapacityEntry {
    fn clamped_size(&self) -> f64 {
        if self.size.is_finite() {
            self.size.clamp(0.0, MAX_SIZE)
        } else {
            0.0
        }
    }
}

/// Total sizes of the servers in service, separately for warm servers and servers that are warming
/// up, and the warm-up progress of the latter.
#[derive(Debug, Default)]
pub(crate) struct CapacityTotals {
    /// Reference time of the start times; relative times keep their precision as floats.
    origin: Nanos,
    /// Time of the last update of the totals.
    now: Nanos,
    warm_up: Nanos,
    warm_size: f64,
    warm_count: usize,
    /// Sizes of the servers that are warming up, by start time and index.
    warming: BTreeMap<(Nanos, ServerIndex), f64>,
    warming_size: f64,
    /// Sum, over the servers that are warming up, of size times start time in seconds since the
    /// origin.
    warming_weighted_starts: f64,
}

impl CapacityTotals {
    /// Creates empty totals for servers that take `warm_up` to warm up.
    pub(crate) fn new(origin: Nanos, warm_up: Nanos) -> Self {
        CapacityTotals { origin, now: origin, warm_up, ..CapacityTotals::default() }
    }

    /// Returns the total size of all servers in service.
    pub(crate) fn size(&self) -> f64 {
        self.warm_size + self.warming_size
    }

    /// Returns the total size of the warm servers.
    pub(crate) fn warm_size(&self) -> f64 {
        self.warm_size
    }

    /// Returns the total size of the servers that are warming up.
    pub(crate) fn warming_size(&self) -> f64 {
        self.warming_size
    }

    /// Returns the total size of the servers that are warming up, each weighted by the elapsed
    /// fraction of its warm-up.
    pub(crate) fn warming_progress(&self, now: Nanos) -> f64 {
        if self.warm_up == 0 {
            return self.warming_size;
        }
        let elapsed =
            self.warming_size * self.seconds_since_origin(now) - self.warming_weighted_starts;
        elapsed.max(0.0) * NANOS_PER_SECOND / as_float(self.warm_up)
    }

    /// Adds the contribution of a server to the totals.
    pub(crate) fn add(&mut self, server: CapacityEntry) {
        let size = server.clamped_size();
        match server.started_at.filter(|started_at| !self.is_warm(*started_at)) {
            None => self.add_warm_size(size),
            Some(started_at) => {
                self.warming.insert((started_at, server.index), size);
                self.warming_size += size;
                self.warming_weighted_starts += size * self.seconds_since_origin(started_at);
            }
        }
    }

    /// Removes the contribution of a server from the totals.
    pub(crate) fn remove(&mut self, server: CapacityEntry) {
        let started_at = server.started_at;
        let is_warming = started_at.is_some_and(|at| self.remove_warming(at, server.index));
        if !is_warming {
            self.warm_count = self.warm_count.saturating_sub(1);
            self.warm_size -= server.clamped_size();
            self.reset_empty_sums();
        }
    }

    /// Moves servers whose warm-up has ended by `now` to the warm ones.
    pub(crate) fn advance(&mut self, now: Nanos) {
        self.now = now;
        while let Some((&(started_at, index), &size)) = self.warming.first_key_value() {
            if !self.is_warm(started_at) {
                return;
            }
            self.remove_warming(started_at, index);
            self.add_warm_size(size);
        }
    }

    /// Returns whether a server that started at `started_at` has warmed up.
    fn is_warm(&self, started_at: Nanos) -> bool {
        self.now.saturating_sub(started_at) >= self.warm_up
    }

    fn add_warm_size(&mut self, size: f64) {
        self.warm_count += 1;
        self.warm_size += size;
    }

    fn remove_warming(&mut self, started_at: Nanos, index: ServerIndex) -> bool {
        let Some(size) = self.warming.remove(&(started_at, index)) else { return false };
        self.warming_size -= size;
        self.warming_weighted_starts -= size * self.seconds_since_origin(started_at);
        self.reset_empty_sums();
        true
    }

    /// Resets the sums over no servers to 0, which removes accumulated rounding errors.
    fn reset_empty_sums(&mut self) {
        if self.warm_count == 0 {
            self.warm_size = 0.0;
        }
        if self.warming.is_empty() {
            self.warming_size = 0.0;
            self.warming_weighted_starts = 0.0;
        }
    }

    fn seconds_since_origin(&self, at: Nanos) -> f64 {
        (as_float(at) - as_float(self.origin)) / NANOS_PER_SECOND
    }
}
