//! The steady clock that spans are counted on.

use mintshelf_lease::timing::{Nanos, SECOND};
use rustix::time::{clock_gettime, ClockId};

/// Nanoseconds since the machine started, sleep included: a machine that was put to sleep must not
/// take its leases for young. No setting of the wall clock moves it.
pub fn now() -> Nanos {
    let at = clock_gettime(ClockId::Boottime);
    (at.tv_sec.max(0) as u64) * SECOND + at.tv_nsec.max(0) as u64
}
