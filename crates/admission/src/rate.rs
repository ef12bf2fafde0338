//! A rate limit with a burst, by the generic cell rate algorithm, on time that is an argument.

use governor::clock::Clock;
use governor::middleware::NoOpMiddleware;
use governor::nanos::Nanos as GovernorNanos;
use governor::state::{InMemoryState, NotKeyed};
use governor::{Quota, RateLimiter};
use mintshelf_time::{from_duration, Nanos};
use std::cell::Cell;
use std::fmt;
use std::num::NonZeroU32;
use std::rc::Rc;
use std::time::Duration;

/// A number of requests in a period, and how many may come at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateConfig {
    /// Requests in a period.
    pub count: NonZeroU32,
    /// The period.
    pub period: Duration,
    /// Requests at once after a time without any.
    pub burst: NonZeroU32,
}

impl RateConfig {
    /// The library's form; none if a request's part of the period is under a nanosecond.
    fn quota(&self) -> Option<Quota> {
        let replenish_interval = self.period.checked_div(self.count.get())?;
        Some(Quota::with_period(replenish_interval)?.allow_burst(self.burst))
    }

    /// Whether the rate can be enforced: at most one request a nanosecond.
    #[must_use]
    pub fn is_enforceable(&self) -> bool {
        self.quota().is_some()
    }
}

/// A clock that shows the time to which it was advanced.
#[derive(Debug, Clone, Default)]
struct ManualClock(Rc<Cell<Nanos>>);

impl ManualClock {
    /// Advances to a time; an earlier one is ignored, since the library requires a monotonic clock.
    fn advance_to(&self, now: Nanos) {
        self.0.set(self.0.get().max(now));
    }
}

impl Clock for ManualClock {
    type Instant = GovernorNanos;

    fn now(&self) -> GovernorNanos {
        self.0.get().into()
    }
}

type Limiter = RateLimiter<NotKeyed, InMemoryState, ManualClock, NoOpMiddleware<GovernorNanos>>;

/// A rate limit in force.
pub struct RateLimit {
    config: RateConfig,
    clock: ManualClock,
    /// `None` for a rate that can't be enforced, which limits nothing.
    limiter: Option<Limiter>,
}

impl fmt::Debug for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RateLimit").field("config", &self.config).finish_non_exhaustive()
    }
}

impl RateLimit {
    /// Starts with the full burst.
    #[must_use]
    pub fn new(config: RateConfig, now: Nanos) -> Self {
        let clock = ManualClock(Rc::new(Cell::new(now)));
        let limiter = config.quota().map(|quota| Limiter::direct_with_clock(quota, clock.clone()));
        RateLimit { config, clock, limiter }
    }

    /// Takes one request from the rate.
    ///
    /// # Errors
    ///
    /// The time until the next request is allowed, if none is now.
    pub fn try_acquire(&self, now: Nanos) -> Result<(), Nanos> {
        self.clock.advance_to(now);
        let Some(limiter) = &self.limiter else { return Ok(()) };
        limiter
            .check()
            .map_err(|not_until| from_duration(not_until.wait_time_from(self.clock.now())))
    }
}
