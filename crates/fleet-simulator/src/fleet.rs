//! Changes of the fleet beside its servers' faults, and special conditions of a site: releases,
//! restarts, a discovery service of limited speed, skewed traffic, impatient clients.

use mintshelf_time::Nanos;
use std::ops::Range;

/// Changes and conditions of a fleet. By default there are none: sidecars know their servers from
/// the start, all have the same traffic, and clients wait as long as their class states.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetConfig {
    /// Traffic of the busiest sidecar relative to the least busy, as a power of ten: 0 for the
    /// same everywhere, 2 for a hundred times.
    pub load_skew: f64,
    /// Restarts of sidecars during the run.
    pub restarts: Vec<Restart>,
    /// Releases of servers during the run.
    pub releases: Vec<Release>,
    /// The discovery service; absent, every sidecar keeps the first endpoint list.
    pub discovery: Option<DiscoveryConfig>,
    /// Clients that give up early.
    pub early_timeouts: Option<EarlyTimeouts>,
    /// More traffic for a while.
    pub burst: Option<Burst>,
    /// Number of zones, to which sidecars and servers belong in turn; 0 is the same as 1.
    pub zones: u32,
    /// Slowdown of servers under many requests; `None` if servers never slow down.
    pub thrashing: Option<Thrashing>,
    /// Spread of the work of a class: sigma of a lognormal distribution; absent for an Erlang
    /// distribution of two stages.
    pub work_sigma: Option<f64>,
    /// Queue of a server, in multiples of its concurrency; four if absent.
    pub queue_multiple: Option<usize>,
    /// Whether the settings of sidecars have prices of side effects.
    pub has_prices: bool,
}

impl FleetConfig {
    /// The zone of a sidecar, or of a server of the initial list.
    pub(crate) fn zone(&self, number: usize) -> u32 {
        u32::try_from(number).unwrap_or(u32::MAX) % self.zones.max(1)
    }
}

/// Some sidecars are killed at once and restart without state.
#[derive(Debug, Clone, PartialEq)]
pub struct Restart {
    /// Time of the kill, in nanoseconds from the start of the run.
    pub at: Nanos,
    /// Time from the kill to the restart.
    pub downtime: Nanos,
    /// The sidecars, by number.
    pub sidecars: Range<usize>,
}

/// Servers are replaced by new ones, in steps: the old ones drain, end and are removed; the new
/// ones warm up.
#[derive(Debug, Clone, PartialEq)]
pub struct Release {
    /// Start of the first step, in nanoseconds from the start of the run.
    pub from: Nanos,
    /// Start of the last step, in nanoseconds from the start of the run.
    pub until: Nanos,
    /// Number of steps in which the servers are replaced.
    pub steps: usize,
    /// The servers, by number.
    pub servers: Range<usize>,
    /// Time from the drain of a server to the end of its process, in nanoseconds.
    pub drain: Nanos,
    /// Time from the drain of a server to the start of its successor, in nanoseconds.
    pub start_delay: Nanos,
}

/// Settings of the discovery service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DiscoveryConfig {
    /// Minimum delay between a change and its entry in the endpoint list, in nanoseconds.
    pub min_notice: Nanos,
    /// Maximum delay between a change and its entry in the endpoint list, in nanoseconds.
    pub max_notice: Nanos,
    /// Time over which the notifications of all watching sidecars are spread, in nanoseconds.
    pub spread: Nanos,
    /// Number of calls that the service answers per second.
    pub calls_per_second: f64,
    /// A call that would wait longer than this fails.
    pub timeout: Nanos,
}

/// Clients that wait less than the deadline of their class.
#[derive(Debug, Clone, PartialEq)]
pub struct EarlyTimeouts {
    /// Interval in which clients give up early, in nanoseconds from the start of the run.
    pub during: Range<Nanos>,
    /// Fraction of the clients that give up early.
    pub share: f64,
    /// Shortest timeout, as a fraction of the latency objective of the class.
    pub min_timeout: f64,
    /// Longest timeout, as a fraction of the latency objective of the class.
    pub max_timeout: f64,
}

/// More traffic for a while.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// Interval of the burst, in nanoseconds from the start of the run.
    pub during: Range<Nanos>,
    /// Multiple of the ordinary traffic.
    pub factor: f64,
}

/// Slowdown of a server under many requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Thrashing {
    /// Requests at the server, in multiples of its concurrency, from which it slows down.
    pub from_multiple: f64,
    /// Fraction by which work takes longer for each further multiple.
    pub slowdown: f64,
}
