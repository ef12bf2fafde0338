//! The monotonic clock used to measure durations.

use mintshelf_time::{Nanos, SECOND};
use rustix::time::{clock_gettime, ClockId};

/// Nanoseconds since boot (`CLOCK_BOOTTIME`). Includes time in suspend, so that leases expire while
/// the machine sleeps. Setting the wall clock has no effect.
#[must_use]
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Boottime);
    // Neither part is ever negative on this clock.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * SECOND + nanos
}
