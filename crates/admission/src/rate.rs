//! A rate with a burst, by the generic cell rate algorithm, on time that is handed in.

use governor::clock::Clock;
use governor::middleware::NoOpMiddleware;
use governor::nanos::Nanos as Span;
use governor::state::{InMemoryState, NotKeyed};
use governor::{Quota, RateLimiter};
use mintshelf_balancer::api::Nanos;
use std::cell::Cell;
use std::fmt;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::Duration;

/// So many in a time, and so many at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateConfig {
    /// How many.
    pub count: NonZeroU32,
    /// In what time.
    pub per: Duration,
    /// How many at once after a pause.
    pub burst: NonZeroU32,
}

impl RateConfig {
    /// The quota; none if it is finer than a nanosecond.
    fn quota(&self) -> Option<Quota> {
        let each = self.per.checked_div(self.count.get())?;
        Some(Quota::with_period(each)?.allow_burst(self.burst))
    }

    /// Whether it can be kept.
    pub fn is_sound(&self) -> bool {
        self.quota().is_some()
    }
}

#[derive(Debug, Clone, Default)]
struct Told(Rc<Cell<Nanos>>);

impl Clock for Told {
    type Instant = Span;

    fn now(&self) -> Span {
        self.0.get().into()
    }
}

type Limiter = RateLimiter<NotKeyed, InMemoryState, Told, NoOpMiddleware<Span>>;

/// A rate that is kept.
pub struct RateLimit {
    set: RateConfig,
    clock: Told,
    limiter: Option<Limiter>,
}

impl fmt::Debug for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Rate").field("set", &self.set).finish_non_exhaustive()
    }
}

impl RateLimit {
    /// With its whole burst.
    pub fn new(set: RateConfig, now: Nanos) -> Self {
        let clock = Told(Rc::new(Cell::new(now)));
        let limiter = set.quota().map(|quota| Limiter::direct_with_clock(quota, clock.clone()));
        RateLimit { set, clock, limiter }
    }

    /// What it was made of.
    pub fn set(&self) -> RateConfig {
        self.set
    }

    /// Takes one; else how long until one is there.
    pub fn take(&self, now: Nanos) -> Result<(), Nanos> {
        // The library's clock may not go back.
        self.clock.0.set(self.clock.0.get().max(now));
        let Some(limiter) = &self.limiter else { return Ok(()) };
        limiter.check().map_err(|not_until| {
            let wait = not_until.wait_time_from(self.clock.now());
            u64::try_from(wait.as_nanos()).unwrap_or(Nanos::MAX)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn a_rate_is_kept_and_says_when() {
        let count = NonZeroU32::new(100).unwrap();
        let per = Duration::from_secs(1);
        let rate =
            RateLimit::new(RateConfig { count, per, burst: NonZeroU32::new(10).unwrap() }, 5 * MS);
        let mut taken = 0;
        let mut now = 5 * MS;
        let mut wait = 0;
        while now < 1005 * MS {
            match rate.take(now) {
                Ok(()) => taken += 1,
                Err(after) => wait = after,
            }
            now += MS;
        }
        assert!((108..=111).contains(&taken), "{taken}");
        assert!(wait > 0 && wait <= 10 * MS, "{wait}");
        // A clock that stands or goes back takes nothing away.
        assert!(rate.take(0).is_err());
    }
}
