//! A token bucket with a variable rate.

use mintshelf_time::{as_seconds, Nanos};

/// Capacity of the bucket, in seconds of the current rate.
const BURST_SECONDS: f64 = 0.1;

/// A token bucket that is refilled at a rate given by the caller.
#[derive(Debug, Default)]
pub(crate) struct TokenBucket {
    /// Available tokens, one per request.
    tokens: f64,
    updated_at: Nanos,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) fn empty(now: Nanos) -> Self {
        TokenBucket { tokens: 0.0, updated_at: now }
    }

    /// Takes one token and returns whether one was available. `rate_per_second` is the refill rate
    /// since the last call.
    pub(crate) fn try_take(&mut self, now: Nanos, rate_per_second: f64) -> bool {
        let elapsed_seconds = as_seconds(now.saturating_sub(self.updated_at));
        self.updated_at = now.max(self.updated_at);
        let max_tokens = (rate_per_second * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + elapsed_seconds * rate_per_second).min(max_tokens);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
