//! One tenant at a fair queue: its requests in flight and waiting, and its reservation.

use super::rank::Rank;
use mintshelf_time::Nanos;
use std::collections::BTreeMap;

/// A tenant that is active at the queue.
#[derive(Debug, Default)]
pub(super) struct ActiveTenant {
    /// Its requests in flight.
    pub(super) in_flight: u32,
    /// Its requests that wait, with their expected latencies.
    pub(super) waiting: BTreeMap<Rank, Nanos>,
    /// When it last offered a request.
    pub(super) last_seen: Nanos,
    /// Its share, relative to those of the others.
    pub(super) share: f64,
    /// The part of the concurrency that is reserved for it.
    pub(super) reserved: u32,
}

impl ActiveTenant {
    /// Requests in flight and waiting.
    pub(super) fn load(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.in_flight.saturating_add(waiting)
    }

    /// Requests in flight and waiting, for its share.
    pub(super) fn relative_load(&self) -> f64 {
        f64::from(self.load()) / self.share
    }

    /// Requests in flight for its share, if one more is admitted.
    pub(super) fn relative_load_after_admission(&self) -> f64 {
        f64::from(self.in_flight + 1) / self.share
    }

    /// The part of its reservation that it does not use.
    pub(super) fn unused_reservation(&self) -> u32 {
        self.reserved.saturating_sub(self.in_flight)
    }

    /// Whether it has fewer requests in flight than are reserved for it.
    pub(super) fn has_unused_reservation(&self) -> bool {
        self.in_flight < self.reserved
    }

    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}
