//! Points in time and durations in nanoseconds of a monotonic clock.
//!
//! Code that makes decisions takes the current time as an argument and never reads a clock. Points
//! in time and durations are both [`Nanos`]; points in time of different processes are not
//! comparable.
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

/// A point in time on a process's monotonic clock, or a duration, in nanoseconds.
pub type Nanos = u64;

/// One microsecond, in nanoseconds.
pub const MICROSECOND: Nanos = 1_000;
/// One millisecond, in nanoseconds.
pub const MILLISECOND: Nanos = 1_000 * MICROSECOND;
/// One second, in nanoseconds.
pub const SECOND: Nanos = 1_000 * MILLISECOND;

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MILLISECOND: f64 = 1e6;

/// Converts a duration to seconds, rounded to the nearest `f64`.
#[must_use]
pub fn as_seconds(duration: Nanos) -> f64 {
    as_float(duration) / NANOS_PER_SECOND
}

/// Converts a duration to milliseconds, rounded to the nearest `f64`.
#[must_use]
pub fn as_milliseconds(duration: Nanos) -> f64 {
    as_float(duration) / NANOS_PER_MILLISECOND
}

/// Converts a duration to a number of nanoseconds; exact below 104 days (2^53 ns).
#[must_use]
pub fn as_float(duration: Nanos) -> f64 {
    duration as f64
}

/// Converts a number of nanoseconds to a duration, truncating the fraction. Negative numbers and
/// NaN become 0; numbers that are too large become `u64::MAX`.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, as documented"
)]
pub fn from_float(nanoseconds: f64) -> Nanos {
    nanoseconds as Nanos
}

/// Converts a number of seconds to a duration; out-of-range numbers saturate as in
/// [`from_float`].
#[must_use]
pub fn from_seconds(seconds: f64) -> Nanos {
    from_float(seconds * NANOS_PER_SECOND)
}

/// Converts a standard duration to nanoseconds; a longer one than `u64::MAX` (584 years)
/// saturates.
#[must_use]
pub fn from_duration(duration: Duration) -> Nanos {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
