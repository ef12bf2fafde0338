//! Tracks a member's use of its limit and estimates its demand. Requests acquire and release units
//! here.

use crate::client::Limit;
use mintshelf_time::Nanos;
use std::num::NonZeroU64;

/// Number of windows that the demand is estimated from. A single window would have too few samples
/// just after its start.
const WINDOWS: usize = 3;
/// Fraction of the demand that is added as headroom (as a divisor), besides one unit, so that a
/// small increase does not have to wait for the next grant.
const HEADROOM_DIVISOR: u64 = 4;
/// Divisor of the exponential moving average of the use duration: the last duration contributes one
/// part in this many.
const MEAN_WEIGHT: Nanos = 16;

/// Counters of one window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Window {
    /// Maximum number of units in use concurrently.
    peak: u64,
    /// Acquisitions rejected because no unit was free.
    rejected: u64,
}

/// Units in use under a changing limit. No operation blocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    limit: Limit,
    used: u64,
    /// Counters of the last windows, the newest and still open window first.
    windows: [Window; WINDOWS],
    window_duration: Nanos,
    /// Time at which the newest window ends.
    window_ends_at: Nanos,
    /// Moving average of the time that a unit is in use; `None` while the average is unknown or
    /// zero.
    mean_use_duration: Option<NonZeroU64>,
}

impl Usage {
    /// Creates a tracker without units in use. The recommended window is a third of the grant
    /// duration.
    #[must_use]
    pub fn new(now: Nanos, limit: Limit, window_duration: Nanos) -> Self {
        let window_duration = window_duration.max(1);
        Usage {
            limit,
            used: 0,
            windows: [Window::default(); WINDOWS],
            window_duration,
            window_ends_at: now.saturating_add(window_duration),
            mean_use_duration: None,
        }
    }

    /// Sets a newer limit. Units in use beyond the new limit stay in use until they are released.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Returns the number of units in use.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.used
    }

    fn rotate_windows(&mut self, now: Nanos) {
        for _ in 0..WINDOWS {
            if now < self.window_ends_at {
                return;
            }
            self.windows.rotate_right(1);
            // Units that are still in use count for the new window too.
            self.windows[0] = Window { peak: self.used, rejected: 0 };
            self.window_ends_at = self.window_ends_at.saturating_add(self.window_duration);
        }
        if now >= self.window_ends_at {
            self.window_ends_at = now.saturating_add(self.window_duration);
        }
    }

    /// Acquires a unit; returns false if no unit is free under the limit at `now`.
    pub fn try_acquire(&mut self, now: Nanos) -> bool {
        self.rotate_windows(now);
        let newest = &mut self.windows[0];
        if self.used >= self.limit.units_at(now) {
            newest.rejected = newest.rejected.saturating_add(1);
            return false;
        }
        self.used += 1;
        newest.peak = newest.peak.max(self.used);
        true
    }

    /// Releases a unit that was in use for `use_duration`.
    pub fn release(&mut self, now: Nanos, use_duration: Nanos) {
        self.rotate_windows(now);
        self.used = self.used.saturating_sub(1);
        let mean = self.mean_use_duration.map_or(use_duration, |mean| {
            let mean = mean.get();
            mean - mean / MEAN_WEIGHT + use_duration / MEAN_WEIGHT
        });
        self.mean_use_duration = NonZeroU64::new(mean);
    }

    /// Returns an estimate of the units that would be used if they were granted: the highest demand
    /// of the last windows, plus headroom.
    pub fn demand(&mut self, now: Nanos) -> u64 {
        self.rotate_windows(now);
        match self.windows.iter().map(|window| self.window_demand(window)).max().unwrap_or(0) {
            0 => 0,
            highest => highest.saturating_add(highest / HEADROOM_DIVISOR + 1),
        }
    }

    /// Returns the peak use plus the estimated use of rejected acquisitions. Each rejected
    /// acquisition counts for the fraction of the window in which it would have used a unit, so
    /// that a hundred short requests do not demand a hundred units.
    fn window_demand(&self, window: &Window) -> u64 {
        let use_duration = u128::from(self.mean_use_duration.map_or(1, NonZeroU64::get));
        let rejected_use = u128::from(window.rejected) * use_duration;
        // At least one unit for all rejected acquisitions together, since rejected clients retry,
        // and at most one for each.
        let units = rejected_use.div_ceil(u128::from(self.window_duration));
        let units = u64::try_from(units).unwrap_or(u64::MAX);
        window.peak.saturating_add(units.min(window.rejected))
    }
}
