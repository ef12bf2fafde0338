//! What a member uses of its limit, and what it demands: requests acquire their units here.

use crate::client::Limit;
use mintshelf_time::Nanos;
use std::num::NonZeroU64;

/// Number of windows that the demand is taken from: one that has just begun has seen too little.
const WINDOWS: usize = 3;
/// Part of the demand that is added to it, as a divisor, so that a little more does not wait for
/// the next grant; and one unit more.
const HEADROOM_DIVISOR: u64 = 4;
/// Weight of the mean duration against the last one.
const MEAN_WEIGHT: Nanos = 16;

/// What one window has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Window {
    /// Most units in use at once.
    peak: u64,
    /// Acquisitions that were rejected since no unit was free.
    rejected: u64,
}

/// Units in use under a limit that changes. Nothing here waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Usage {
    limit: Limit,
    used: u64,
    /// Newest first.
    windows: [Window; WINDOWS],
    window_duration: Nanos,
    /// When the newest window ends.
    window_ends_at: Nanos,
    /// How long a unit is in use, as a moving mean; `None` while it is not known to take any time.
    mean_use_duration: Option<NonZeroU64>,
}

impl Usage {
    /// Creates a usage of nothing. Demand is counted by windows, best of a third of a grant's
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

    /// Sets a newer limit. What is in use over it stays in use.
    pub fn set_limit(&mut self, limit: Limit) {
        self.limit = limit;
    }

    /// Units in use now.
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
            // What is in use goes on from one window into the next.
            self.windows[0] = Window { peak: self.used, rejected: 0 };
            self.window_ends_at = self.window_ends_at.saturating_add(self.window_duration);
        }
        if now >= self.window_ends_at {
            self.window_ends_at = now.saturating_add(self.window_duration);
        }
    }

    /// Acquires a unit; returns whether there is one.
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

    /// Releases a unit that was in use for a duration.
    pub fn release(&mut self, now: Nanos, use_duration: Nanos) {
        self.rotate_windows(now);
        self.used = self.used.saturating_sub(1);
        let mean = self.mean_use_duration.map_or(use_duration, |mean| {
            let mean = mean.get();
            mean - mean / MEAN_WEIGHT + use_duration / MEAN_WEIGHT
        });
        self.mean_use_duration = NonZeroU64::new(mean);
    }

    /// Units that would be used if they were granted, with some headroom: the highest demand of
    /// the last windows.
    pub fn demand(&mut self, now: Nanos) -> u64 {
        self.rotate_windows(now);
        match self.windows.iter().map(|window| self.window_demand(window)).max().unwrap_or(0) {
            0 => 0,
            highest => highest.saturating_add(highest / HEADROOM_DIVISOR + 1),
        }
    }

    /// A rejected acquisition counts for the part of a window in which a unit is in use: a hundred
    /// short requests do not demand a hundred units.
    fn window_demand(&self, window: &Window) -> u64 {
        let use_duration = u128::from(self.mean_use_duration.map_or(1, NonZeroU64::get));
        let rejected_use = u128::from(window.rejected) * use_duration;
        // Rejected clients retry: one unit at least for all of them, and at most one for each.
        let units = rejected_use.div_ceil(u128::from(self.window_duration));
        let units = u64::try_from(units).unwrap_or(u64::MAX);
        window.peak.saturating_add(units.min(window.rejected))
    }
}
