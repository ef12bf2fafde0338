//! Log lines about single requests: a bounded number a second, with a count of those omitted.

use crate::clock::Clock;
use mintshelf_admission::rate::{RateConfig, RateLimit};
use std::cell::Cell;
use std::num::NonZeroU32;
use std::time::Duration;

/// Lines in a second.
const LINES_PER_SECOND: NonZeroU32 = NonZeroU32::new(10).unwrap();

/// Decides which lines are written.
#[derive(Debug)]
pub struct RequestLog {
    rate: RateLimit,
    omitted: Cell<u64>,
}

impl RequestLog {
    /// A log without lines.
    #[must_use]
    pub fn new(clock: &Clock) -> Self {
        let config = RateConfig {
            count: LINES_PER_SECOND,
            period: Duration::from_secs(1),
            burst: LINES_PER_SECOND,
        };
        RequestLog { rate: RateLimit::new(config, clock.now()), omitted: Cell::new(0) }
    }

    /// Whether a line may be written now; if so, how many were omitted before it.
    pub fn try_write(&self, clock: &Clock) -> Option<u64> {
        if self.rate.try_acquire(clock.now()).is_ok() {
            return Some(self.omitted.take());
        }
        self.omitted.set(self.omitted.get() + 1);
        None
    }

    /// How many lines were omitted since the last that was written.
    pub fn omitted(&self) -> u64 {
        self.omitted.get()
    }
}
