//! The normal rate of events, remembered through an outage.

use mintshelf_time::{Nanos, SECOND};

/// Weight of a second's own count in the baseline when the rate rises.
const RISE_GAIN: f64 = 0.3;
/// The same when it falls. It is far smaller because a baseline that follows an outage down
/// forgets what the servers can do.
const FALL_GAIN: f64 = 0.01;
/// Seconds without an event after which the baseline no longer falls.
const MAX_IDLE_SECONDS: u64 = 1_000;

/// Counts events by the second and keeps the baseline of that rate, an exponentially weighted
/// moving average that rises fast and falls slowly.
#[derive(Debug, Default)]
pub(crate) struct RateBaseline {
    /// The current second, counted from the start of the caller's clock.
    second: u64,
    /// Events in the current second.
    count: u32,
    baseline_per_second: f64,
}

impl RateBaseline {
    /// Advances to `now` and returns how many seconds began since the last call.
    /// A clock that goes back is treated as one that stands still.
    pub(crate) fn advance(&mut self, now: Nanos) -> u64 {
        let second = now / SECOND;
        let passed = second.saturating_sub(self.second);
        for _ in 0..passed.min(MAX_IDLE_SECONDS) {
            let count = f64::from(std::mem::take(&mut self.count));
            let gain = if count > self.baseline_per_second { RISE_GAIN } else { FALL_GAIN };
            self.baseline_per_second += gain * (count - self.baseline_per_second);
        }
        self.second += passed;
        passed
    }

    /// Counts one event at `now`.
    pub(crate) fn count(&mut self, now: Nanos) {
        self.advance(now);
        self.count = self.count.saturating_add(1);
    }

    /// The normal number of events a second.
    pub(crate) fn per_second(&self) -> f64 {
        self.baseline_per_second
    }
}
