//! The normal rate of events, which is retained during an outage.

use mintshelf_time::{Nanos, SECOND};

/// Weight of the latest second in the moving average when the rate rises.
const RISE_GAIN: f64 = 0.3;
/// Weight of the latest second when the rate falls. It is far smaller, because a baseline that
/// followed the rate down during an outage would no longer reflect what the servers can handle.
const FALL_GAIN: f64 = 0.01;
/// Longer idle times, in seconds, do not lower the baseline any further.
const MAX_IDLE_SECONDS: u64 = 1_000;

/// Counts events per second and maintains their baseline rate, an exponentially weighted moving
/// average that rises fast and falls slowly.
#[derive(Debug, Default)]
pub(crate) struct RateBaseline {
    /// The current second of the caller's clock.
    second: u64,
    /// Events in the current second.
    count: u32,
    baseline_per_second: f64,
}

impl RateBaseline {
    /// Advances to `now` and returns the number of seconds that began since the last call. A clock
    /// that goes back is treated as standing still.
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

    /// Records one event at `now`.
    pub(crate) fn count(&mut self, now: Nanos) {
        self.advance(now);
        self.count = self.count.saturating_add(1);
    }

    /// Returns the baseline rate in events per second.
    pub(crate) fn per_second(&self) -> f64 {
        self.baseline_per_second
    }
}
