//! Limits the rate of log lines about single requests, and counts the omitted ones.

use crate::clock::Clock;
use mintshelf_admission::rate::{RateConfig, RateLimit};
use std::cell::Cell;
use std::num::NonZeroU32;
use std::time::Duration;

/// Maximum number of log lines per second.
const LINES_PER_SECOND: NonZeroU32 = NonZeroU32::new(10).unwrap();

/// A rate limit for log lines.
#[derive(Debug)]
pub struct RequestLog {
    rate: RateLimit,
    omitted: Cell<u64>,
}

impl RequestLog {
    /// Creates a rate limit that has not counted any lines yet.
    #[must_use]
    pub fn new(clock: &Clock) -> Self {
        let config = RateConfig {
            count: LINES_PER_SECOND,
            period: Duration::from_secs(1),
            burst: LINES_PER_SECOND,
        };
        RequestLog { rate: RateLimit::new(config, clock.now()), omitted: Cell::new(0) }
    }

    /// Returns the number of lines omitted since the last written one, if a line may be written
    /// now. Otherwise counts the line as omitted and returns `None`.
    pub fn try_write(&self, clock: &Clock) -> Option<u64> {
        if self.rate.try_acquire(clock.now()).is_ok() {
            return Some(self.omitted.take());
        }
        self.omitted.set(self.omitted.get() + 1);
        None
    }

    /// Returns the number of lines omitted since the last one that was written.
    pub fn omitted(&self) -> u64 {
        self.omitted.get()
    }
}
