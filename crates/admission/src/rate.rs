//! A rate limit with a burst, using the generic cell rate algorithm. Time is an argument.

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

/// A number of requests per period, and the burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateConfig {
    /// Number of requests allowed per period.
    pub count: NonZeroU32,
    /// Length of the period.
    pub period: Duration,
    /// Maximum number of requests at once after an idle time.
    pub burst: NonZeroU32,
}

impl RateConfig {
    /// Converts to the library's type; `None` if the interval between requests is under a
    /// nanosecond.
    fn quota(&self) -> Option<Quota> {
        let replenish_interval = self.period.checked_div(self.count.get())?;
        Some(Quota::with_period(replenish_interval)?.allow_burst(self.burst))
    }

    /// Returns whether the rate can be enforced, which requires at most one request per nanosecond.
    #[must_use]
    pub fn is_enforceable(&self) -> bool {
        self.quota().is_some()
    }
}

/// A clock that returns the time to which it was last advanced.
#[derive(Debug, Clone, Default)]
struct ManualClock(Rc<Cell<Nanos>>);

impl ManualClock {
    /// Advances to `now`; an earlier time is ignored, since the library requires a monotonic clock.
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

/// The limiter for one rate, with the requests charged so far.
pub struct RateLimit {
    config: RateConfig,
    clock: ManualClock,
    /// `None` if the rate can't be enforced; nothing is limited then.
    limiter: Option<Limiter>,
}

impl fmt::Debug for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("RateLimit").field("config", &self.config).finish_non_exhaustive()
    }
}

impl RateLimit {
    /// Creates a limit whose full burst is available.
    #[must_use]
    pub fn new(config: RateConfig, now: Nanos) -> Self {
        let clock = ManualClock(Rc::new(Cell::new(now)));
        let limiter = config.quota().map(|quota| Limiter::direct_with_clock(quota, clock.clone()));
        RateLimit { config, clock, limiter }
    }

    /// Charges one request to the rate.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request is allowed, in nanoseconds, if the rate is exceeded.
    pub fn try_acquire(&self, now: Nanos) -> Result<(), Nanos> {
        self.clock.advance_to(now);
        let Some(limiter) = &self.limiter else { return Ok(()) };
        limiter
            .check()
            .map_err(|not_until| from_duration(not_until.wait_time_from(self.clock.now())))
    }
}
