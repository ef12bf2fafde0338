//! Outage detection and recovery of one cluster, independent of the balancer's decisions.
//!
//! No I/O: time is an argument, in nanoseconds on the caller's monotonic clock, and random numbers
//! come from a seed.
//!
//! ```
//! use mintshelf_recovery::{OutageSignal, Recovery};
//! use mintshelf_time::SECOND;
//!
//! let mut recovery = Recovery::new(7, 2 * SECOND, 60 * SECOND);
//! let now = SECOND;
//! if recovery.ramp.admit(now) {
//!     recovery.ramp.record(now, OutageSignal::InTime);
//!     recovery.retry_after.record_served(now);
//! } else {
//!     let seconds = recovery.retry_after.schedule_retry(now, None);
//!     println!("Retry-After: {seconds}");
//! }
//! ```
#![forbid(unsafe_code)]

mod baseline;
mod outage_detector;
mod ramp;
mod retry_after;
mod signal;
mod token_bucket;

use mintshelf_time::Nanos;

pub use ramp::{Phase, RecoveryRamp};
pub use retry_after::{RetryAfterSchedule, DEDUP_WINDOW_DIVISOR, MAX_RETRY_AFTER_SECONDS};
pub use signal::OutageSignal;

/// Outage handling of one cluster by one sidecar.
#[derive(Debug)]
pub struct Recovery {
    /// Limits the requests sent during an outage and while the cluster recovers.
    pub ramp: RecoveryRamp,
    /// Schedules the retries of rejected clients.
    pub retry_after: RetryAfterSchedule,
}

impl Recovery {
    /// Starts in the normal phase. `ramp_duration` and `max_retry_after` are as in
    /// [`RecoveryRamp::new`] and [`RetryAfterSchedule::new`].
    #[must_use]
    pub fn new(seed: u64, ramp_duration: Nanos, max_retry_after: Nanos) -> Self {
        Recovery {
            ramp: RecoveryRamp::new(seed, ramp_duration),
            retry_after: RetryAfterSchedule::new(seed, max_retry_after),
        }
    }
}
