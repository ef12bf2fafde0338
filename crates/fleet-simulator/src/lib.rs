//! Simulates a fleet on virtual time in one process: many sidecars, each with its own balancer and
//! recovery, servers that queue, warm up and can be overloaded, and clients that retry.
//!
//! A run is determined by its [`Scenario`], which includes the seed of all random numbers.
//!
//! ```
//! use mintshelf_fleet_simulator::{simulate, FaultKind, Scenario};
//!
//! let scenario = Scenario::without_faults(3, 100.0, 4).with_outage(FaultKind::Crash, 1, 2);
//! let report = simulate(&scenario);
//! println!("served: {:.3}", report.served_share(2..4));
//! ```
#![forbid(unsafe_code)]

mod discovery;
mod fleet;
mod numbers;
mod report;
mod scenario;
mod server;
mod sidecar;
mod simulation;
mod standard;

pub use fleet::{Burst, DiscoveryConfig, EarlyTimeouts, FleetConfig, Release, Restart, Thrashing};
pub use report::{Report, SideEffectCosts, Slice};
pub use scenario::{Fault, FaultKind, RetryBehavior, Scenario};
pub use simulation::simulate;
pub use standard::{standard_scenario, StandardScenario};

/// A uniform number in [0, 1).
fn uniform(rng: &mut impl rand_core::RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
