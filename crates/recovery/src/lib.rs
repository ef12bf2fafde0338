//! What to do when servers come back after an outage, as far as the decision module does
//! not decide it. No I/O: time is an argument, and random numbers come from a seed.
#![forbid(unsafe_code)]

mod calendar;
mod pace;
mod usual;

/// A second in nanoseconds.
const SECOND: u64 = 1_000_000_000;

pub use calendar::{Calendar, MOST_SECONDS, WINDOW_PART};
pub use pace::{End, Pace, Phase};

/// What one cluster's sidecar does about outages.
#[derive(Debug)]
pub struct Recovery {
    /// What may be sent while the cluster is out or coming back.
    pub pace: Pace,
    /// When those who are refused are told to come back.
    pub calendar: Calendar,
}

impl Recovery {
    /// For a cluster that is taken to be up; `ramp` and `most` in nanoseconds, as in
    /// [`Pace::new`] and [`Calendar::new`].
    pub fn new(seed: u64, ramp: u64, most: u64) -> Self {
        Recovery { pace: Pace::new(seed, ramp), calendar: Calendar::new(seed, most) }
    }
}
