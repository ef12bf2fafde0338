//! The sidecar's clock: Unix time at start plus the monotonic time since then. It can be compared
//! with the start times in endpoint lists, and it is not affected by changes of the system clock.

use mintshelf_time::{from_duration, Nanos};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Converts between [`Instant`] and the decision module's timestamps.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    origin_unix_ns: Nanos,
}

impl Clock {
    /// Creates a clock that is set to the current system time.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix_ns: from_duration(unix) }
    }

    /// Returns the instant at which the clock was created.
    #[must_use]
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// Returns the Unix time at the origin, in nanoseconds.
    #[must_use]
    pub fn origin_unix_ns(&self) -> Nanos {
        self.origin_unix_ns
    }

    /// Returns the current Unix time in nanoseconds.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.origin_unix_ns + from_duration(self.origin.elapsed())
    }

    /// Converts a timestamp to an instant. Timestamps before the origin yield the origin.
    #[must_use]
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.origin_unix_ns))
    }
}
