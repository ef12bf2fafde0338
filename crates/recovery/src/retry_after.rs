//! `Retry-After` values for rejected clients, which spread their retries over time; the more
//! clients there are, the longer the time.

use crate::baseline::RateBaseline;
use mintshelf_time::{Nanos, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;

/// Maximum `Retry-After` in seconds, and so the maximum length of the schedule.
pub const MAX_RETRY_AFTER_SECONDS: u64 = 600;
/// The `Retry-After` of an idempotent request is at most the request's deduplication window divided
/// by this number. An earlier attempt may have run, and a retry after the window would run again.
pub const DEDUP_WINDOW_DIVISOR: u64 = 4;
/// Rate at which retries are scheduled as long as the longest `Retry-After` allows it, as a
/// fraction of the baseline rate.
const RETURN_RATE_FRACTION: f64 = 0.2;

/// Number of clients scheduled to retry in each future second.
///
/// `Retry-After` is in whole seconds (RFC 9110, section 10.2.3). A client that is told to wait `n`
/// seconds retries `n` seconds after its response, so clients that were told the same within one
/// second retry spread over a second, as their responses were.
#[derive(Debug)]
pub struct RetryAfterSchedule {
    /// Clients expected to retry in the current second, the next one, and so on.
    returns_by_second: VecDeque<u32>,
    /// The total number of clients in `returns_by_second`.
    pending_returns: u64,
    max_seconds: u32,
    /// Rate of served requests; `returns_by_second` begins with its current second.
    served: RateBaseline,
    rng: Pcg32,
}

impl RetryAfterSchedule {
    /// Creates an empty schedule. Its longest `Retry-After` is `max_retry_after`, limited to
    /// between one second and [`MAX_RETRY_AFTER_SECONDS`].
    #[must_use]
    pub fn new(seed: u64, max_retry_after: Nanos) -> Self {
        let max_seconds = bounded_seconds(max_retry_after, MAX_RETRY_AFTER_SECONDS);
        RetryAfterSchedule {
            returns_by_second: VecDeque::from(vec![0; max_seconds as usize + 1]),
            pending_returns: 0,
            max_seconds,
            served: RateBaseline::default(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Counts a request served at `now` in the baseline rate.
    pub fn record_served(&mut self, now: Nanos) {
        self.advance(now);
        self.served.count(now);
    }

    /// Schedules the retry of a client that is rejected at `now`, and returns its `Retry-After` in
    /// seconds. `dedup_window` is how long servers deduplicate the request; `None` if the request
    /// is not idempotent.
    #[must_use = "the client is scheduled to retry after this time"]
    pub fn schedule_retry(&mut self, now: Nanos, dedup_window: Option<Nanos>) -> u64 {
        self.advance(now);
        let max_seconds = match dedup_window {
            Some(window) => {
                bounded_seconds(window / DEDUP_WINDOW_DIVISOR, u64::from(self.max_seconds))
            }
            None => self.max_seconds,
        };
        let second = self.least_loaded_second(self.spread_seconds(max_seconds));
        self.add_return(second);
        u64::from(second)
    }

    /// Returns the number of clients whose scheduled retry is still ahead.
    #[must_use]
    pub fn expected_clients(&self) -> u64 {
        self.pending_returns
    }

    /// Returns the baseline rate of served requests per second.
    #[must_use]
    pub fn baseline_per_second(&self) -> f64 {
        self.served.per_second()
    }

    /// Returns the number of seconds over which the retries are spread, from 1 to `max_seconds`.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number of clients is far below 2^53, the quotient is positive and bounded"
    )]
    fn spread_seconds(&self, max_seconds: u32) -> u32 {
        let needed = (self.pending_returns + 1) as f64 / self.target_returns_per_second();
        needed.ceil().min(f64::from(max_seconds)) as u32
    }

    /// Returns the number of retries to schedule per second. It is 1 for a sidecar without a
    /// baseline, and less for one with a small baseline, since there may be many such sidecars.
    fn target_returns_per_second(&self) -> f64 {
        let baseline = self.baseline_per_second();
        if baseline > 0.0 {
            baseline * RETURN_RATE_FRACTION
        } else {
            1.0
        }
    }

    /// Picks the second with the fewest clients among two random ones and the last one. This fills
    /// the seconds evenly, and differently at each sidecar.
    fn least_loaded_second(&mut self, spread: u32) -> u32 {
        let candidates = [1 + self.random_below(spread), 1 + self.random_below(spread), spread];
        let returns = |second: &u32| self.returns_by_second[*second as usize];
        candidates.into_iter().min_by_key(returns).unwrap_or(spread)
    }

    fn add_return(&mut self, second: u32) {
        let returns = &mut self.returns_by_second[second as usize];
        if let Some(increased) = returns.checked_add(1) {
            *returns = increased;
            self.pending_returns += 1;
        }
    }

    /// Returns a uniformly distributed number below `bound`, which must not be 0.
    fn random_below(&mut self, bound: u32) -> u32 {
        ((u64::from(self.rng.next_u32()) * u64::from(bound)) >> 32) as u32
    }

    /// Drops the seconds that have passed from the schedule.
    fn advance(&mut self, now: Nanos) {
        let passed = self.served.advance(now);
        // All entries have been replaced after as many seconds as the schedule is long.
        for _ in 0..passed.min(u64::from(self.max_seconds) + 1) {
            let returned = self.returns_by_second.pop_front().unwrap_or(0);
            self.pending_returns -= u64::from(returned);
            self.returns_by_second.push_back(0);
        }
    }
}

/// Converts a duration to seconds, rounded down and clamped to between 1 and `max`.
fn bounded_seconds(duration: Nanos, max: u64) -> u32 {
    let seconds = (duration / SECOND).clamp(1, max);
    u32::try_from(seconds).unwrap_or(u32::MAX)
}
