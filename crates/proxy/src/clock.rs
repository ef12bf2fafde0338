//! The sidecar's clock: Unix time at start plus monotonic time since, so that
//! start times in server lists need no conversion and never jump.

use mintshelf_time::Nanos;
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
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), origin_unix_ns: nanos(unix) }
    }

    /// The instant from which the clock counts.
    pub fn origin(&self) -> Instant {
        self.origin
    }

    /// What the clock shows at its origin: Unix time in nanoseconds.
    pub fn origin_unix_ns(&self) -> Nanos {
        self.origin_unix_ns
    }

    /// The time now, in nanoseconds of Unix time.
    pub fn now(&self) -> Nanos {
        self.origin_unix_ns + nanos(self.origin.elapsed())
    }

    /// The instant at which the clock shows a time; the origin for any before it.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.origin_unix_ns))
    }
}

/// A duration in nanoseconds; the longest that fits for any longer.
pub fn nanos(duration: Duration) -> Nanos {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
