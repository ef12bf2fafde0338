//! An outage rig: many sidecars, each with its own decision module and recovery, servers that
//! queue, start cold and fall over, and clients that come again, in one process on virtual
//! time. A run is given by its [`Plan`], seed and all, and plays the same every time.
#![forbid(unsafe_code)]

mod day;
mod fleet;
mod lists;
mod plan;
mod report;
mod server;
mod sidecar;
mod world;

pub use day::{day, Day};
pub use fleet::{Burst, Fleet, Hurry, Registry, Release, Restart};
pub use plan::{Kind, Lab, Plan, Retry, Trouble, CLASSES};
pub use report::{Report, Span, SLICE};
pub use world::play;

/// A uniform number in [0, 1).
fn uniform(rng: &mut impl rand_core::RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A millisecond in nanoseconds.
pub const MS: u64 = 1_000_000;
/// A second in nanoseconds.
pub const SECOND: u64 = 1_000 * MS;
