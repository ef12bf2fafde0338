//! Rates of arriving and served requests.

use crate::decay::DecayingCounter;
use mintshelf_time::{as_seconds, Nanos, MILLISECOND};

/// Time constant of the rates in seconds: the mean age of the requests that they are based on.
pub(crate) const RATE_TIME_CONSTANT_SECONDS: f64 = 10.0;
/// Half-life of the rates: the time constant times ln 2.
pub(crate) const RATE_HALF_LIFE: Nanos = 6_931 * MILLISECOND;
/// Share of the arrivals that is added to the served requests, so that the rate of an instance that
/// has not served any yet is not 0.
const PRESUMED_SERVED_SHARE: f64 = 0.05;

/// Decaying counts of the arrivals and served requests of this instance.
#[derive(Debug, Default)]
pub(crate) struct TrafficRates {
    started_at: Nanos,
    /// Decaying number of requests that are not retries by a client.
    arrivals: DecayingCounter,
    served: DecayingCounter,
    /// Decaying number of served requests, each divided by the total capacity at the time of
    /// service.
    served_per_capacity: DecayingCounter,
}

impl TrafficRates {
    /// Creates the rates of an instance that starts at `started_at`.
    pub(crate) fn new(started_at: Nanos) -> Self {
        TrafficRates { started_at, ..TrafficRates::default() }
    }

    /// Counts a request that is not a retry by a client.
    pub(crate) fn count_arrival(&mut self, now: Nanos) {
        self.arrivals.add(now, RATE_HALF_LIFE, 1.0);
    }

    /// Counts a served request. `per_capacity` is the reciprocal of the total capacity, or 0 if the
    /// server is out of service.
    pub(crate) fn count_served(&mut self, now: Nanos, per_capacity: f64) {
        self.served.add(now, RATE_HALF_LIFE, 1.0);
        self.served_per_capacity.add(now, RATE_HALF_LIFE, per_capacity);
    }

    /// Returns the rate of arrivals per second, corrected for the time before this instance
    /// started.
    pub(crate) fn arrivals_per_second(&self, now: Nanos) -> f64 {
        let age_seconds = as_seconds(now.saturating_sub(self.started_at));
        let elapsed_share = 1.0 - (-age_seconds.max(1.0) / RATE_TIME_CONSTANT_SECONDS).exp();
        self.arrivals.get(now, RATE_HALF_LIFE) / RATE_TIME_CONSTANT_SECONDS / elapsed_share
    }

    /// Returns the requests served per second. Arrivals may exceed what servers can handle.
    pub(crate) fn served_per_second(&self, now: Nanos) -> f64 {
        let served = self.served.get(now, RATE_HALF_LIFE) / RATE_TIME_CONSTANT_SECONDS;
        served + PRESUMED_SERVED_SHARE * self.arrivals_per_second(now)
    }

    /// Returns the requests served per second and unit of capacity. After servers have left, the
    /// remembered rate over all servers would overstate what each remaining server handles.
    pub(crate) fn served_per_capacity(&self, now: Nanos, total_capacity: f64) -> f64 {
        let presumed = PRESUMED_SERVED_SHARE * self.arrivals_per_second(now) / total_capacity;
        self.served_per_capacity.get(now, RATE_HALF_LIFE) / RATE_TIME_CONSTANT_SECONDS + presumed
    }
}
