//! One tenant of a fair queue: its requests in flight and waiting, and its reservation.

use super::rank::Rank;
use mintshelf_time::Nanos;
use std::collections::BTreeMap;

/// A tenant that is active in the queue.
#[derive(Debug, Default)]
pub(super) struct ActiveTenant {
    /// Number of the tenant's requests in flight.
    pub(super) in_flight: u32,
    /// The tenant's waiting requests with their expected latencies, in nanoseconds.
    pub(super) waiting: BTreeMap<Rank, Nanos>,
    /// The time at which the tenant last submitted a request, in nanoseconds.
    pub(super) last_seen: Nanos,
    /// The share of the tenant, relative to those of other tenants.
    pub(super) share: f64,
    /// The number of concurrent requests reserved for the tenant.
    pub(super) reserved: u32,
}

impl ActiveTenant {
    /// Returns the number of requests in flight and waiting.
    pub(super) fn load(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        self.in_flight.saturating_add(waiting)
    }

    /// Returns the load relative to the tenant's share.
    pub(super) fn relative_load(&self) -> f64 {
        f64::from(self.load()) / self.share
    }

    /// Returns the requests in flight relative to the tenant's share, if one more is admitted.
    pub(super) fn relative_load_after_admission(&self) -> f64 {
        f64::from(self.in_flight + 1) / self.share
    }

    /// Returns the unused part of the tenant's reservation, in requests.
    pub(super) fn unused_reservation(&self) -> u32 {
        self.reserved.saturating_sub(self.in_flight)
    }

    /// Returns whether the tenant has fewer requests in flight than its reservation.
    pub(super) fn has_unused_reservation(&self) -> bool {
        self.in_flight < self.reserved
    }

    pub(super) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }
}
