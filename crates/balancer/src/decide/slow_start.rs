//! Slow start: limits the requests that are sent to a server while it is warming up.

use crate::api::Settings;
use mintshelf_time::{as_float, as_seconds, Nanos, SECOND};

/// Fraction that all instances together may send of the load that would overload a warming server.
const SAFE_OVERLOAD_FRACTION: f64 = 0.6;
/// Lower bound of the fraction of its full capacity with which a server starts.
const MIN_INITIAL_CAPACITY: f64 = 0.01;
/// Maximum credit, as a fraction of the sends allowed within the overload duration.
const MAX_CREDIT_DURATION_FRACTION: f64 = 0.5;

/// Warm-up credit: the number of sends that this instance may still make to one server while the
/// server is warming up.
#[derive(Debug, Clone, Copy, Default)]
pub struct WarmUpCredit {
    sends: f64,
    updated_at: Nanos,
}

impl WarmUpCredit {
    /// Creates a credit of `sends` at `now`.
    #[must_use]
    pub fn new(sends: f64, now: Nanos) -> Self {
        WarmUpCredit { sends, updated_at: now }
    }

    /// Deducts one send. Sends to warm servers are deducted as well.
    pub fn spend(&mut self) {
        self.sends -= 1.0;
    }

    /// Adds the credit accrued since the last update at `rate` sends per second, up to `max`.
    fn accrue(&mut self, rate: f64, max: f64, now: Nanos) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.sends = (self.sends + rate * as_seconds(elapsed)).clamp(-1.0, max);
        self.updated_at = now;
    }
}

/// Slow start of the servers in one deployment.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowStart {
    /// Time from the start of a server to its full capacity.
    warm_up: Nanos,
    /// Fraction of its full capacity with which a server starts.
    initial_capacity: f64,
    /// Load, as a multiple of a warming server's current capacity, that overloads the server.
    overload_multiple: f64,
    /// Duration for which the load of the overload multiple must last to overload the server.
    overload_duration: Nanos,
}

impl SlowStart {
    /// Creates the slow start that the settings of an instance describe.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        SlowStart {
            warm_up: settings.warm_up,
            initial_capacity: settings.initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0),
            overload_multiple: settings.overload_multiple,
            overload_duration: settings.overload_duration,
        }
    }

    /// Returns the fraction of its capacity that a server has at least, assuming the slowest
    /// warm-up that the settings allow.
    #[must_use]
    pub fn capacity_fraction(&self, started_at: Option<Nanos>, now: Nanos) -> f64 {
        match started_at {
            Some(started_at) if self.warm_up > 0 => {
                let elapsed = as_float(now.saturating_sub(started_at));
                let progress = elapsed / as_float(self.warm_up);
                self.warming_capacity(1.0, progress).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Returns whether a request may be sent to a warming server. `warm_rate` is the rate, in
    /// requests per second, at which this instance would send to the server if it were warm.
    ///
    /// All instances together could overload the server, so each limits itself to a fraction of the
    /// overload multiple, applied to its own warm rate.
    pub fn may_send(
        &self,
        credit: &mut WarmUpCredit,
        capacity_fraction: f64,
        warm_rate: f64,
        now: Nanos,
    ) -> bool {
        let rate = warm_rate * capacity_fraction * self.overload_multiple * SAFE_OVERLOAD_FRACTION;
        let overload_sends = rate * as_float(self.overload_duration) / as_float(SECOND);
        let max = (overload_sends * MAX_CREDIT_DURATION_FRACTION).max(1.0);
        credit.accrue(rate, max, now);
        credit.sends >= 1.0
    }

    /// Returns the capacity of warming servers with a total `size`. `progress` is the sum of their
    /// sizes, each weighted by the part of its warm-up that is over.
    pub(crate) fn warming_capacity(&self, size: f64, progress: f64) -> f64 {
        self.initial_capacity * size + (1.0 - self.initial_capacity) * progress
    }
}
