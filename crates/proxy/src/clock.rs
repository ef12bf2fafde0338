//! The sidecar's clock: Unix time at start plus monotonic time since, so that
//! start times in server lists need no conversion and never jump.

use mintshelf_balancer::api::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Turns instants into the decision module's times and back.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Nanos,
}

impl Clock {
    /// A clock that agrees with the system's now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix: nanos(unix) }
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.unix + nanos(self.origin.elapsed())
    }

    /// The instant at which the clock shows a time; the origin for any before it.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.origin + Duration::from_nanos(at.saturating_sub(self.unix))
    }
}

/// A span in nanoseconds.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_and_instants_agree() {
        let clock = Clock::start();
        let at = clock.now() + 5_000_000_000;
        assert_eq!(clock.unix + nanos(clock.instant(at) - clock.origin), at);
        assert_eq!(clock.instant(0), clock.origin);
    }
}
