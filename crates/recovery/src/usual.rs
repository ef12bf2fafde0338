//! What is usual in a second, remembered through an outage.

use crate::SECOND;

/// Part of the usual count that a second's own takes over: when it rises, and when it
/// falls. Danger: one that falls as fast forgets in an outage what servers can do.
const RISE: f64 = 0.3;
const FALL: f64 = 0.01;
/// Seconds after which nothing more of the past is left to count.
const LONGEST: u64 = 1_000;

/// Counts by the second, and what is usual.
#[derive(Debug, Default)]
pub struct Usual {
    second: u64,
    count: u32,
    usual: f64,
}

impl Usual {
    /// Moves on to `now` in nanoseconds, and tells how many seconds began since the last
    /// call. Time that goes back is taken to stand still.
    pub fn turn(&mut self, now: u64) -> u64 {
        let second = now / SECOND;
        let passed = second.saturating_sub(self.second);
        for _ in 0..passed.min(LONGEST) {
            let count = f64::from(std::mem::take(&mut self.count));
            let share = if count > self.usual { RISE } else { FALL };
            self.usual += share * (count - self.usual);
        }
        self.second += passed;
        passed
    }

    /// Counts one at `now`.
    pub fn count(&mut self, now: u64) {
        self.turn(now);
        self.count = self.count.saturating_add(1);
    }

    /// What is usual in a second.
    pub fn rate(&self) -> f64 {
        self.usual
    }
}
