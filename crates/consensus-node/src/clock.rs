//! The monotonic clock that durations are counted on.

use mintshelf_time::{Nanos, SECOND};
use rustix::time::{clock_gettime, ClockId};

/// Nanoseconds since the machine started, including the time in which it was suspended: a machine
/// that was suspended must not take its leases for young. Setting the wall clock has no effect.
pub fn now() -> Nanos {
    let time = clock_gettime(ClockId::Boottime);
    (time.tv_sec.max(0) as u64) * SECOND + time.tv_nsec.max(0) as u64
}
