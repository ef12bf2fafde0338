//! Nanoseconds of a monotonic clock: the unit of time of all decisions.
//!
//! A decision takes the present time as an argument and never reads a clock. Both points in time
//! and durations are [`Nanos`]. Points in time of two processes cannot be compared.
//!
//! ```
//! use mintshelf_time::{as_seconds, from_duration, Nanos, MILLISECOND, SECOND};
//! use std::time::Duration;
//!
//! let timeout: Nanos = 2 * SECOND + 500 * MILLISECOND;
//! assert_eq!(as_seconds(timeout), 2.5);
//! assert_eq!(from_duration(Duration::from_millis(2_500)), timeout);
//! ```

#![forbid(unsafe_code)]

use std::time::Duration;

/// A point in time on one process's monotonic clock, or a duration, in nanoseconds.
pub type Nanos = u64;

/// A microsecond.
pub const MICROSECOND: Nanos = 1_000;
/// A millisecond.
pub const MILLISECOND: Nanos = 1_000 * MICROSECOND;
/// A second.
pub const SECOND: Nanos = 1_000 * MILLISECOND;

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// A duration in seconds, rounded to the nearest number that an `f64` can state.
#[must_use]
pub fn as_seconds(duration: Nanos) -> f64 {
    as_float(duration) / NANOS_PER_SECOND
}

/// A duration in milliseconds, rounded to the nearest number that an `f64` can state.
#[must_use]
pub fn as_milliseconds(duration: Nanos) -> f64 {
    as_float(duration) / NANOS_PER_MILLISECOND
}

/// A duration as a number, for calculations; exact below 104 days (2^53 ns).
#[must_use]
pub fn as_float(duration: Nanos) -> f64 {
    duration as f64
}

/// A calculated number of nanoseconds as a duration, without its fraction: 0 for a negative
/// number or none (NaN), `u64::MAX` for one that is too large.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, as documented"
)]
pub fn from_float(nanoseconds: f64) -> Nanos {
    nanoseconds as Nanos
}

/// A calculated number of seconds as a duration; bounded as in [`from_float`].
#[must_use]
pub fn from_seconds(seconds: f64) -> Nanos {
    from_float(seconds * NANOS_PER_SECOND)
}

/// A standard duration in nanoseconds; `u64::MAX` for one that is longer (584 years).
#[must_use]
pub fn from_duration(duration: Duration) -> Nanos {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
