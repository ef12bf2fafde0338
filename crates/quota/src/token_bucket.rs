//! A token bucket whose rate is a share: tokens are neither made nor kept by dividing anew.

use crate::client::Limit;
use mintshelf_lease::timing::{Nanos, SECOND};

/// Parts of a token that are counted.
const PARTS: u128 = SECOND as u128;

/// Admits at a rate that changes. Over all members whose rates sum up to at most the whole, what
/// is admitted in any interval is at most the whole's rate times its length and one burst: a
/// bucket is never fuller than its part of the burst, and grows only by its own rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bucket {
    limit: Limit,
    /// The burst, as the time in which the rate fills it.
    fill: Nanos,
    /// In [`PARTS`] of a token.
    tokens: u128,
    at: Nanos,
}

impl Bucket {
    /// An empty bucket that its rate, in requests a second, fills in `fill`. Empty: a process
    /// that starts again and again would else have a burst each time.
    pub fn new(now: Nanos, limit: Limit, fill: Nanos) -> Self {
        Bucket { limit, fill, tokens: 0, at: now }
    }

    fn full(&self, rate: u64) -> u128 {
        u128::from(rate) * u128::from(self.fill)
    }

    fn fill_up(&mut self, until: Nanos, rate: u64) {
        let passed = u128::from(until.saturating_sub(self.at));
        self.tokens = (self.tokens + passed * u128::from(rate)).min(self.full(rate));
        self.at = self.at.max(until);
    }

    fn run(&mut self, now: Nanos) {
        let Limit { units, until, floor } = self.limit;
        if self.at < until {
            self.fill_up(now.min(until), units);
        }
        // Danger: at the larger rate past its end, tokens would be made that are another's.
        if now >= until {
            self.fill_up(now, floor);
        }
    }

    /// The share has changed: a larger one fills up from what is there, a smaller one keeps no
    /// more than it can hold.
    pub fn set(&mut self, now: Nanos, limit: Limit) {
        self.run(now);
        self.limit = limit;
        self.tokens = self.tokens.min(self.full(limit.at(now)));
    }

    /// Admits one, if there is a token.
    pub fn admit(&mut self, now: Nanos) -> bool {
        self.run(now);
        let admits = self.tokens >= PARTS;
        if admits {
            self.tokens -= PARTS;
        }
        admits
    }

    /// How long until the next one could be admitted at the rate as it is; none where a bucket
    /// of that rate never holds a whole token.
    pub fn next_in(&mut self, now: Nanos) -> Option<Nanos> {
        self.run(now);
        let rate = self.limit.at(now);
        let short = PARTS.saturating_sub(self.tokens);
        let span = short.div_ceil(u128::from(rate).max(1));
        (self.full(rate) >= PARTS || short == 0)
            .then(|| Nanos::try_from(span).unwrap_or(Nanos::MAX))
    }
}
