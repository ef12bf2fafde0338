//! Rates of arrivals and of served requests, and the capacity of all servers.

use super::Balancer;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Mean age in seconds of what the arrival and service rates remember.
pub(super) const RATE_MEMORY_SECONDS: f64 = 10.0;
/// The half-life of that memory.
pub(super) const RATE_HALF_LIFE: Nanos = 6_931 * MILLISECOND;
/// Share of the arrivals that is presumed to be served where nothing has been served yet.
const PRESUMED_SERVED_SHARE: f64 = 0.05;
/// Capacity that is presumed at least, in units of listed size.
const CAPACITY_MIN: f64 = 0.1;

impl Balancer {
    /// Arrivals a second, over the part of the memory for which this instance has run.
    pub(super) fn arrivals_per_second(&self) -> f64 {
        let age_seconds = self.now.saturating_sub(self.started_at) as f64 / SECOND as f64;
        let elapsed_share = 1.0 - (-age_seconds.max(1.0) / RATE_MEMORY_SECONDS).exp();
        self.traffic.arrivals.get(self.now, RATE_HALF_LIFE) / RATE_MEMORY_SECONDS / elapsed_share
    }

    /// Requests served a second, since arrivals may exceed what servers can do.
    pub(super) fn served_per_second(&self) -> f64 {
        let served = self.traffic.served.get(self.now, RATE_HALF_LIFE) / RATE_MEMORY_SECONDS;
        served + PRESUMED_SERVED_SHARE * self.arrivals_per_second()
    }

    /// The same by unit of capacity: the rate over all servers is no measure of one server
    /// once some of them have gone out of service.
    pub(super) fn served_per_capacity(&self) -> f64 {
        let presumed = PRESUMED_SERVED_SHARE * self.arrivals_per_second() / self.capacity();
        let served = self.traffic.served_per_capacity.get(self.now, RATE_HALF_LIFE);
        served / RATE_MEMORY_SECONDS + presumed
    }

    /// Capacity of all servers in service, in units of listed size.
    pub(crate) fn capacity(&self) -> f64 {
        let totals = self.servers.capacity();
        let warming =
            self.warming_capacity(totals.warming_size(), totals.warming_progress(self.now));
        (totals.warm_size() + warming).max(CAPACITY_MIN)
    }
}
