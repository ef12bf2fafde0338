//! Lines of the log about single requests: so many a second at most, with a count of those
//! that were left out.

use crate::clock::Clock;
use mintshelf_admission::rate::{RateConfig, RateLimit};
use std::cell::Cell;
use std::num::NonZeroU32;
use std::time::Duration;

/// Lines in a second.
const LINES: NonZeroU32 = NonZeroU32::new(10).unwrap();

/// Decides which lines are written.
#[derive(Debug)]
pub struct RequestLog {
    rate: RateLimit,
    left_out: Cell<u64>,
}

impl RequestLog {
    /// None written yet.
    pub fn new(clock: &Clock) -> Self {
        let set = RateConfig { count: LINES, per: Duration::from_secs(1), burst: LINES };
        RequestLog { rate: RateLimit::new(set, clock.now()), left_out: Cell::new(0) }
    }

    /// Whether a line may be written now; if so, how many were left out before it.
    pub fn may_write(&self, clock: &Clock) -> Option<u64> {
        if self.rate.take(clock.now()).is_ok() {
            return Some(self.left_out.take());
        }
        self.left_out.set(self.left_out.get() + 1);
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_of_lines_is_cut_and_counted() {
        let clock = Clock::start();
        let notes = RequestLog::new(&clock);
        let written: Vec<u64> = (0..10_000).filter_map(|_| notes.may_write(&clock)).collect();
        let left_out: u64 = written.iter().sum();
        // Ten at once, and ten for each second that this takes.
        assert!(written.len() >= 10 && written.len() < 1_000, "{}", written.len());
        assert_eq!(written.len() as u64 + left_out + notes.left_out.get(), 10_000);
    }
}
