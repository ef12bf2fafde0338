//! Durations measured on clocks with a bounded error, and validation of a fleet's timeouts against
//! each other.

use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Shortest duration that [`Timing`] accepts.
const DURATION_MIN: Nanos = MILLISECOND;
/// Longest duration that [`Timing`] accepts.
const DURATION_MAX: Nanos = 86_400 * SECOND;
/// Divisor that converts [`ClockError::ppm`] to a fraction.
const PARTS_PER_MILLION: u128 = 1_000_000;
/// Largest clock error that [`Timing`] accepts, in parts per million.
const CLOCK_ERROR_MAX_PPM: u32 = 100_000;
/// Minimum ratio of the election timeout to the heartbeat interval.
const MIN_HEARTBEATS_PER_ELECTION: Nanos = 5;
/// Minimum ratio of the session timeout to the election timeout.
const MIN_ELECTIONS_PER_SESSION: Nanos = 2;
/// Minimum ratio of the lease duration to the election timeout: three renewal requests, each of
/// which may be delayed by an election that takes up to twice its timeout.
const MIN_ELECTIONS_PER_LEASE: Nanos = 6;

/// Maximum rate error of any process's monotonic clock against true time. An undisciplined quartz
/// oscillator stays within about 100 parts per million, and the kernel slews by at most 500.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClockError {
    /// Maximum rate error in parts per million of elapsed true time.
    pub ppm: u32,
}

impl Default for ClockError {
    fn default() -> Self {
        ClockError { ppm: 1_000 }
    }
}

impl ClockError {
    /// Maximum error of a clock after a duration, rounded up.
    fn drift_over(self, duration: Nanos) -> Nanos {
        let drift = u128::from(duration) * u128::from(self.ppm);
        u64::try_from(drift.div_ceil(PARTS_PER_MILLION)).unwrap_or(u64::MAX)
    }

    /// Returns the time on the holder's own clock for which the holder may rely on a lease: at most
    /// `duration` of true time even on the slowest clock allowed.
    #[must_use]
    pub fn holder_duration(self, duration: Nanos) -> Nanos {
        duration.saturating_sub(self.drift_over(duration))
    }

    /// Returns the time on the leader's own clock after which the leader expires a lease: at least
    /// `duration` of true time even on the fastest clock allowed.
    #[must_use]
    pub fn expiry_duration(self, duration: Nanos) -> Nanos {
        duration.saturating_add(self.drift_over(duration))
    }
}

/// Timeouts and intervals of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// A follower that receives no heartbeat for this long starts an election. The actual timeout
    /// is randomized between one and two times this value and redrawn each time.
    pub election_timeout: Nanos,
    /// Interval between a leader's heartbeats.
    pub heartbeat_interval: Nanos,
    /// A member that sends no message for this long loses its session.
    pub session_timeout: Nanos,
    /// Lease duration if a request for a lease names no other, in nanoseconds.
    pub lease_duration: Nanos,
    /// Maximum rate error of the clocks of all processes of the fleet.
    pub clock_error: ClockError,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            election_timeout: SECOND,
            heartbeat_interval: 100 * MILLISECOND,
            session_timeout: 5 * SECOND,
            lease_duration: 10 * SECOND,
            clock_error: ClockError::default(),
        }
    }
}

/// Rule that a [`Timing`] violates, with the values that were checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TimingError {
    /// Followers would start an election although the leader is alive.
    #[error(
        "election {}ms is under 5 times the heartbeat of {}ms ({}ms): one late message would \
         depose a leader; raise election or lower heartbeat",
        election / MILLISECOND, heartbeat / MILLISECOND,
        heartbeat * MIN_HEARTBEATS_PER_ELECTION / MILLISECOND
    )]
    ElectionTooShort {
        /// The election timeout that was checked.
        election: Nanos,
        /// The heartbeat interval that was checked.
        heartbeat: Nanos,
    },
    /// Leases would expire at each change of leader.
    #[error(
        "lease {}ms is under {}ms = 3 x (2 x election {}ms): a third of it is what a renewal may \
         take, and an election takes up to twice its timeout; raise lease or lower election",
        lease / MILLISECOND, election * MIN_ELECTIONS_PER_LEASE / MILLISECOND,
        election / MILLISECOND
    )]
    LeaseTooShort {
        /// The lease duration that was checked.
        lease: Nanos,
        /// The election timeout that was checked.
        election: Nanos,
    },
    /// Sessions would be lost at each change of leader.
    #[error(
        "session {}ms is under {}ms = 2 x election {}ms: each change of leader would end all \
         sessions; raise session or lower election",
        session / MILLISECOND, election * MIN_ELECTIONS_PER_SESSION / MILLISECOND,
        election / MILLISECOND
    )]
    SessionTooShort {
        /// The session timeout that was checked.
        session: Nanos,
        /// The election timeout that was checked.
        election: Nanos,
    },
    /// The clock error would use up too much of each lease.
    #[error("clock error of {ppm} ppm exceeds 100000 ppm: a tenth of each duration would be lost")]
    ClockErrorTooLarge {
        /// The clock error that was checked, in parts per million.
        ppm: u32,
    },
    /// A duration under 1 ms or over 24 h.
    #[error("each duration must be between 1ms and 24h")]
    DurationOutOfRange,
}

impl Timing {
    /// Checks the timeouts against each other.
    ///
    /// # Errors
    /// The first rule that is violated.
    pub fn check(&self) -> Result<(), TimingError> {
        let election = self.election_timeout;
        let heartbeat = self.heartbeat_interval;
        let session = self.session_timeout;
        let lease = self.lease_duration;
        let bounds = DURATION_MIN..=DURATION_MAX;
        if ![election, heartbeat, session, lease].iter().all(|value| bounds.contains(value)) {
            return Err(TimingError::DurationOutOfRange);
        }
        if self.clock_error.ppm > CLOCK_ERROR_MAX_PPM {
            return Err(TimingError::ClockErrorTooLarge { ppm: self.clock_error.ppm });
        }
        if election < heartbeat * MIN_HEARTBEATS_PER_ELECTION {
            return Err(TimingError::ElectionTooShort { election, heartbeat });
        }
        if session < election * MIN_ELECTIONS_PER_SESSION {
            return Err(TimingError::SessionTooShort { session, election });
        }
        if lease < election * MIN_ELECTIONS_PER_LEASE {
            return Err(TimingError::LeaseTooShort { lease, election });
        }
        Ok(())
    }
}
