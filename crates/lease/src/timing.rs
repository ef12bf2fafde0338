//! Spans on clocks that do not run alike, and whether the spans of a file can work together.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A time or a span on one process's steady clock, in nanoseconds. Times of two processes can't
/// be compared, and nothing here compares them.
pub type Nanos = u64;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000 * MS;

/// By how much the rate of any process's steady clock may be off the true one, in parts per
/// million. Quartz without discipline stays within some 100, and the kernel slews by 500 at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClockError {
    /// Parts per million.
    pub ppm: u32,
}

impl Default for ClockError {
    fn default() -> Self {
        ClockError { ppm: 1_000 }
    }
}

impl ClockError {
    /// What a clock may be off by over a span, rounded up.
    pub fn of(self, span: Nanos) -> Nanos {
        let error = u128::from(span) * u128::from(self.ppm);
        u64::try_from(error.div_ceil(1_000_000)).unwrap_or(u64::MAX)
    }

    /// How long a holder may count on a span: at most `span` of true time, on the fastest or the
    /// slowest clock allowed.
    pub fn holders(self, span: Nanos) -> Nanos {
        span.saturating_sub(self.of(span))
    }

    /// How long a grantor waits for a span to be over: at least `span` of true time.
    pub fn grantors(self, span: Nanos) -> Nanos {
        span.saturating_add(self.of(span))
    }
}

/// The spans of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// A follower that hears no leader for so long asks for an election; up to twice as long,
    /// drawn anew each time.
    pub election: Nanos,
    /// A leader's heartbeat.
    pub heartbeat: Nanos,
    /// A member that is not heard for so long has lost its session.
    pub session: Nanos,
    /// A lease's span, where it names none.
    pub lease: Nanos,
    /// The clocks' error.
    pub error: ClockError,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            election: SECOND,
            heartbeat: 100 * MS,
            session: 5 * SECOND,
            lease: 10 * SECOND,
            error: ClockError::default(),
        }
    }
}

/// Why spans can't work together, with the sum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TimingError {
    /// Followers would take a live leader for a dead one.
    #[error(
        "election {}ms is under 5 times the heartbeat of {}ms ({}ms): one late message would \
         depose a leader; raise election or lower heartbeat",
        election / MS, heartbeat / MS, heartbeat * 5 / MS
    )]
    Election {
        /// As given.
        election: Nanos,
        /// As given.
        heartbeat: Nanos,
    },
    /// A lease would end at each change of leader.
    #[error(
        "lease {}ms is under {}ms = 3 x (2 x election {}ms): a third of it is what a renewal may \
         take, and an election takes up to twice its span; raise lease or lower election",
        lease / MS, election * 6 / MS, election / MS
    )]
    Lease {
        /// As given.
        lease: Nanos,
        /// As given.
        election: Nanos,
    },
    /// Sessions would be lost at each change of leader.
    #[error(
        "session {}ms is under {}ms = 2 x election {}ms: each change of leader would end all \
         sessions; raise session or lower election",
        session / MS, election * 2 / MS, election / MS
    )]
    Session {
        /// As given.
        session: Nanos,
        /// As given.
        election: Nanos,
    },
    /// Holders would be left with too little of their spans.
    #[error(
        "a clock error of {ppm} parts per million is over 100000: a tenth of each span is lost"
    )]
    Error {
        /// As given.
        ppm: u32,
    },
    /// A span of nothing, or of more than a day.
    #[error("each span is 1ms to 24h")]
    Bounds,
}

impl Timing {
    /// Whether the spans work together; the first that does not.
    pub fn check(&self) -> Result<(), TimingError> {
        let Timing { election, heartbeat, session, lease, error } = *self;
        let bounds = MS..=86_400 * SECOND;
        if ![election, heartbeat, session, lease].iter().all(|span| bounds.contains(span)) {
            return Err(TimingError::Bounds);
        }
        if error.ppm > 100_000 {
            return Err(TimingError::Error { ppm: error.ppm });
        }
        if election < heartbeat * 5 {
            return Err(TimingError::Election { election, heartbeat });
        }
        if session < election * 2 {
            return Err(TimingError::Session { session, election });
        }
        if lease < election * 6 {
            return Err(TimingError::Lease { lease, election });
        }
        Ok(())
    }
}
