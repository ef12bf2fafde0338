//! Token bucket whose rate follows a grant. A change of the grant neither creates tokens nor lets
//! the bucket hold more than the new capacity.

use crate::client::Limit;
use mintshelf_time::{Nanos, SECOND};

/// Fixed-point scale of [`TokenBucket::level`]: a rate of one token per second adds one part per
/// nanosecond.
const PARTS_PER_TOKEN: u128 = SECOND as u128;

/// Admits requests at a changing rate. If the rates of all members sum up to at most the quota,
/// they together admit at most the quota times the length plus one burst in any interval, because a
/// bucket never holds more than its share of the burst and is filled at its own rate only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenBucket {
    limit: Limit,
    /// Time in which an empty bucket is filled at the current rate: the burst is the rate times
    /// this duration.
    fill_duration: Nanos,
    /// Fill level, in units of 1 / [`PARTS_PER_TOKEN`] token.
    level: u128,
    updated_at: Nanos,
}

impl TokenBucket {
    /// Creates an empty bucket that is filled in `fill_duration` at its rate in requests per
    /// second. It starts empty because otherwise each restart of a process would admit another
    /// burst.
    #[must_use]
    pub fn new(now: Nanos, limit: Limit, fill_duration: Nanos) -> Self {
        TokenBucket { limit, fill_duration, level: 0, updated_at: now }
    }

    fn capacity(&self, rate: u64) -> u128 {
        u128::from(rate) * u128::from(self.fill_duration)
    }

    fn fill_until(&mut self, until: Nanos, rate: u64) {
        let elapsed = u128::from(until.saturating_sub(self.updated_at));
        self.level = (self.level + elapsed * u128::from(rate)).min(self.capacity(rate));
        self.updated_at = self.updated_at.max(until);
    }

    fn update(&mut self, now: Nanos) {
        let Limit { units, expires_at, floor } = self.limit;
        if self.updated_at < expires_at {
            self.fill_until(now.min(expires_at), units);
        }
        // After the expiry only the floor rate applies: tokens at the granted rate may already be
        // allocated to another member.
        if now >= expires_at {
            self.fill_until(now, floor);
        }
    }

    /// Sets a newer limit. The fill level is kept, or reduced to the new capacity if that is
    /// smaller.
    pub fn set_limit(&mut self, now: Nanos, limit: Limit) {
        self.update(now);
        self.limit = limit;
        self.level = self.level.min(self.capacity(limit.units_at(now)));
    }

    /// Takes one token; returns false if the bucket holds less than one token.
    pub fn try_take(&mut self, now: Nanos) -> bool {
        self.update(now);
        let has_token = self.level >= PARTS_PER_TOKEN;
        if has_token {
            self.level -= PARTS_PER_TOKEN;
        }
        has_token
    }

    /// Returns the time until the next token at the current rate; `None` if the capacity at that
    /// rate is less than one token.
    pub fn time_to_next(&mut self, now: Nanos) -> Option<Nanos> {
        self.update(now);
        let rate = self.limit.units_at(now);
        let missing = PARTS_PER_TOKEN.saturating_sub(self.level);
        if missing > 0 && self.capacity(rate) < PARTS_PER_TOKEN {
            return None;
        }
        let wait = missing.div_ceil(u128::from(rate).max(1));
        Some(Nanos::try_from(wait).unwrap_or(Nanos::MAX))
    }
}
