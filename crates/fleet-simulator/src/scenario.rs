//! Scenarios: the site, its traffic, the faults of its servers and how its clients retry.

use crate::fleet::FleetConfig;
use mintshelf_balancer::api::Effect;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use std::ops::Range;

/// For how long servers discard the repeats of an idempotent request.
pub(crate) const DEDUP_WINDOW: Nanos = 20 * SECOND;

/// A class of requests of the simulated site.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TrafficClass {
    /// Whether requests of the class may run more than once.
    pub(crate) effect: Effect,
    /// Fraction of all requests that belong to the class.
    pub(crate) share: f64,
    /// Mean work of a request of the class, relative to the other classes.
    pub(crate) work: f64,
    /// Maximum latency at which a response counts as in time, in nanoseconds.
    pub(crate) latency_objective: Nanos,
    /// Maximum time that a client waits for the response to one request, in nanoseconds.
    pub(crate) deadline: Nanos,
    /// Weight of a response in time.
    pub(crate) priority_weight: f64,
}

/// The four classes of the simulated site.
pub(crate) const CLASSES: [TrafficClass; 4] = [
    // Class 0: the status of a device is read.
    TrafficClass {
        effect: Effect::Safe,
        share: 0.5,
        work: 8.0,
        latency_objective: 400 * MILLISECOND,
        deadline: 800 * MILLISECOND,
        priority_weight: 1.0,
    },
    // Class 1: the logs of a test run are read.
    TrafficClass {
        effect: Effect::Safe,
        share: 0.25,
        work: 15.0,
        latency_objective: 800 * MILLISECOND,
        deadline: 1_600 * MILLISECOND,
        priority_weight: 1.0,
    },
    // Class 2: a test run is queued.
    TrafficClass {
        effect: Effect::Idempotent,
        share: 0.15,
        work: 20.0,
        latency_objective: 800 * MILLISECOND,
        deadline: 1_600 * MILLISECOND,
        priority_weight: 2.0,
    },
    // Class 3: firmware is flashed to a device.
    TrafficClass {
        effect: Effect::Unsafe,
        share: 0.1,
        work: 40.0,
        latency_objective: 1_200 * MILLISECOND,
        deadline: 2_400 * MILLISECOND,
        priority_weight: 4.0,
    },
];

/// Mean work of a request, in the unit of [`TrafficClass::work`].
pub(crate) fn mean_work() -> f64 {
    CLASSES.iter().map(|class| class.share * class.work).sum()
}

/// Retry behavior of clients that are rejected or have no response. A client retries at most twice,
/// and never if an unsafe request may have run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RetryBehavior {
    /// Clients never retry.
    Never,
    /// Clients retry at once.
    Immediate,
    /// Clients retry after about this time.
    Backoff(Nanos),
    /// Clients follow the retry-after advice; without any they wait a tenth of a second.
    HonorAdvice,
}

/// A fault of some servers for some time.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Start of the fault, in nanoseconds from the start of the run.
    pub from: Nanos,
    /// End of the fault, in nanoseconds from the start of the run.
    pub until: Nanos,
    /// Numbers of the servers that have the fault.
    pub servers: Range<usize>,
    /// Effect of the fault on the servers.
    pub kind: FaultKind,
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// The process ends: its connections break, new ones are refused, and it restarts.
    Crash,
    /// The network drops everything to and from the server; connections stay open.
    Partition,
    /// All work takes this many times as long.
    Slow(f64),
    /// Requests of one class are never answered: device status (0), run logs (1), queued runs (2)
    /// or device flashes (3).
    Hang(usize),
}

/// A run of the simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of sidecars.
    pub sidecars: usize,
    /// Number of servers.
    pub servers: usize,
    /// First requests of clients a second, over all sidecars.
    pub requests_per_second: f64,
    /// Capacity of all servers when warm, as a multiple of the work of those requests.
    pub capacity: f64,
    /// Duration of the run, in nanoseconds.
    pub duration: Nanos,
    /// Faults of servers during the run.
    pub faults: Vec<Fault>,
    /// Retry behavior of all clients.
    pub retry: RetryBehavior,
    /// The recovery ramp; absent for the balancer without the recovery package.
    pub ramp: Option<Nanos>,
    /// The longest retry-after advice.
    pub max_retry_after: Nanos,
    /// Time that a started server takes to reach its full capacity, in nanoseconds.
    pub warm_up: Nanos,
    /// Fraction of its full capacity that a server has at its start.
    pub initial_capacity: f64,
    /// Changes of the fleet, and the site's special conditions.
    pub fleet: FleetConfig,
}

impl Scenario {
    /// The site without faults, for some seconds.
    #[must_use]
    pub fn without_faults(seed: u64, requests_per_second: f64, seconds: u64) -> Self {
        Scenario {
            seed,
            sidecars: 50,
            servers: 6,
            requests_per_second,
            capacity: 1.5,
            duration: seconds * SECOND,
            faults: Vec::new(),
            retry: RetryBehavior::Backoff(100 * MILLISECOND),
            ramp: Some(2 * SECOND),
            max_retry_after: 60 * SECOND,
            warm_up: 0,
            initial_capacity: 0.3,
            fleet: FleetConfig::default(),
        }
    }

    /// Adds a fault of all servers, from one second to another.
    #[must_use]
    pub fn with_outage(self, kind: FaultKind, from_second: u64, until_second: u64) -> Self {
        let servers = 0..self.servers;
        let from = from_second * SECOND;
        let until = until_second * SECOND;
        self.with_fault(Fault { from, until, servers, kind })
    }

    /// Adds a fault of some servers.
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.faults.push(fault);
        self
    }
}
