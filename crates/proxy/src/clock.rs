//! The sidecar's clock: Unix time at start plus monotonic time since, so that
//! start times in server lists need no conversion and never jump.

use mintshelf_time::{from_duration, Nanos};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Turns instants into the decision module's times and back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    origin_unix_ns: Nanos,
}

impl Clock {
    /// A clock that agrees with the system's now.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix_ns: from_duration(unix) }
    }

    /// The instant from which the clock counts.
    #[must_use]
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// What the clock shows at its origin: Unix time in nanoseconds.
    #[must_use]
    pub fn origin_unix_ns(&self) -> Nanos {
        self.origin_unix_ns
    }

    /// The time now, in nanoseconds of Unix time.
    #[must_use]
    pub fn now(&self) -> Nanos {
        self.origin_unix_ns + from_duration(self.origin.elapsed())
    }

    /// The instant at which the clock shows a time; the origin for any before it.
    #[must_use]
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.origin_unix_ns))
    }
}
