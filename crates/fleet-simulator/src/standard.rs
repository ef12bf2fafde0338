//! Standard scenarios of the fleet, drawn from a seed.

use crate::fleet::{
    Burst, DiscoveryConfig, EarlyTimeouts, FleetConfig, Release, Restart, Thrashing,
};
use crate::numbers::truncate;
use crate::scenario::{Fault, FaultKind, RetryBehavior, Scenario};
use crate::uniform;
use mintshelf_time::{from_seconds, Nanos, MILLISECOND, SECOND};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::ops::Range;

/// One of the standard scenarios, which a seed varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandardScenario {
    /// No fault; a burst of half as much traffic again.
    Calm,
    /// Half of the servers are replaced in steps, and all sidecars restart, a tenth at a time.
    RollingUpdate,
    /// A release while seven in ten sidecars are killed at once; one server of eight is slow.
    MassRestart,
    /// Three servers in ten are lost and warm up again; one of eight is slow.
    ZoneLoss,
    /// A fifth of the servers are partitioned, and endpoint lists come late.
    Partition,
    /// Six servers in ten are replaced within seven seconds; clients give up early and retry at
    /// once.
    FastRelease,
}

impl StandardScenario {
    /// All standard scenarios, in the order of the tables.
    pub const ALL: [StandardScenario; 6] = [
        StandardScenario::Calm,
        StandardScenario::RollingUpdate,
        StandardScenario::MassRestart,
        StandardScenario::ZoneLoss,
        StandardScenario::Partition,
        StandardScenario::FastRelease,
    ];

    /// Returns the name of the scenario in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            StandardScenario::Calm => "calm",
            StandardScenario::RollingUpdate => "roll",
            StandardScenario::MassRestart => "herd",
            StandardScenario::ZoneLoss => "zone",
            StandardScenario::Partition => "split",
            StandardScenario::FastRelease => "join",
        }
    }
}

/// Time at which the events of a scenario begin, in nanoseconds.
const BEGIN: Nanos = 8 * SECOND;
/// Duration of a scenario in seconds.
const DURATION_SECONDS: u64 = 30;
/// Mean number of requests a second of a sidecar.
const REQUESTS_PER_SECOND: f64 = 11.0;
/// Value that is mixed into the seed, so that the draws differ from those of the run.
const SEED_MASK: u64 = 0x666c_6565_745f_6461;

/// A standard scenario of a fleet with this many sidecars and half as many servers.
#[must_use]
pub fn standard_scenario(kind: StandardScenario, seed: u64, sidecars: usize) -> Scenario {
    let mut builder = Builder::new(seed, sidecars);
    match kind {
        StandardScenario::Calm => {
            let during = BEGIN..BEGIN + 8 * SECOND;
            builder.scenario.fleet.burst = Some(Burst { during, factor: 1.5 });
        }
        StandardScenario::RollingUpdate => builder.rolling_update(),
        StandardScenario::MassRestart => builder.mass_restart(),
        StandardScenario::ZoneLoss => builder.zone_loss(),
        StandardScenario::Partition => builder.partition(),
        StandardScenario::FastRelease => builder.fast_release(),
    }
    builder.scenario
}

/// The scenario that is being built, with its source of random numbers.
struct Builder {
    rng: Pcg64Mcg,
    scenario: Scenario,
}

impl Builder {
    /// Creates a builder of a fleet without events. All builders draw in the same order, so that a
    /// seed gives the same site in each scenario.
    fn new(seed: u64, sidecars: usize) -> Self {
        let requests_per_second = REQUESTS_PER_SECOND * sidecars as f64;
        let ordinary = Scenario::without_faults(seed, requests_per_second, DURATION_SECONDS);
        let rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_MASK);
        let mut builder = Builder { rng, scenario: ordinary.clone() };
        let discovery = builder.draw_discovery(sidecars);
        let fleet = builder.draw_fleet(discovery);
        builder.scenario = Scenario {
            sidecars,
            servers: (sidecars / 2).max(8),
            capacity: 1.0 / builder.draw(0.45, 0.6),
            retry: RetryBehavior::Backoff(from_seconds(builder.draw(0.02, 0.16))),
            ramp: None,
            max_retry_after: 2 * SECOND,
            warm_up: from_seconds(builder.draw(3.4, 8.4)),
            initial_capacity: builder.draw(0.3, 0.57),
            fleet,
            ..ordinary
        };
        builder
    }

    /// A uniform number between two bounds.
    fn draw(&mut self, from: f64, to: f64) -> f64 {
        from + uniform(&mut self.rng) * (to - from)
    }

    fn draw_discovery(&mut self, sidecars: usize) -> DiscoveryConfig {
        DiscoveryConfig {
            min_notice: from_seconds(0.78),
            max_notice: from_seconds(self.draw(1.5, 4.8)),
            spread: from_seconds(self.draw(0.15, 0.59)),
            calls_per_second: sidecars as f64 * self.draw(0.1, 0.3),
            timeout: SECOND,
        }
    }

    fn draw_fleet(&mut self, discovery: DiscoveryConfig) -> FleetConfig {
        let load_skew = self.draw(0.5, 1.2);
        let from_multiple = self.draw(4.3, 7.4);
        let slowdown = self.draw(0.12, 0.3);
        FleetConfig {
            load_skew,
            discovery: Some(discovery),
            zones: 2,
            thrashing: Some(Thrashing { from_multiple, slowdown }),
            queue_multiple: Some(16),
            work_sigma: Some(self.draw(1.1, 1.4)),
            has_prices: true,
            ..FleetConfig::default()
        }
    }

    /// Adds the release of a share of the servers, over some seconds, in steps.
    fn add_release(&mut self, share: f64, seconds: f64, steps: usize, drain_seconds: f64) {
        let servers = 0..truncate(self.scenario.servers as f64 * share);
        self.scenario.fleet.releases.push(Release {
            from: BEGIN,
            until: BEGIN + from_seconds(seconds),
            steps,
            servers,
            drain: from_seconds(drain_seconds),
            start_delay: from_seconds(2.5),
        });
    }

    fn add_fault(&mut self, servers: Range<usize>, seconds: f64, kind: FaultKind) {
        let until = BEGIN + from_seconds(seconds);
        self.scenario.faults.push(Fault { from: BEGIN, until, servers, kind });
    }

    /// The last eighth of the servers.
    fn last_eighth(&self) -> Range<usize> {
        let servers = self.scenario.servers;
        servers - servers / 8..servers
    }

    fn rolling_update(&mut self) {
        self.add_release(0.5, 12.0, 8, 3.0);
        let sidecars = self.scenario.sidecars;
        let tenth = sidecars.div_ceil(10);
        let restart = |number: usize| Restart {
            at: BEGIN + number as u64 * SECOND,
            downtime: 300 * MILLISECOND,
            sidecars: number * tenth..((number + 1) * tenth).min(sidecars),
        };
        self.scenario.fleet.restarts = (0..10).map(restart).collect();
    }

    fn mass_restart(&mut self) {
        self.add_release(0.35, 9.0, 4, 3.0);
        let sidecars = 0..self.scenario.sidecars * 7 / 10;
        let at = BEGIN + from_seconds(self.draw(1.0, 3.0));
        self.scenario.fleet.restarts.push(Restart { at, downtime: 500 * MILLISECOND, sidecars });
        let factor = self.draw(3.0, 6.0);
        self.add_fault(self.last_eighth(), 8.0, FaultKind::Slow(factor));
    }

    fn zone_loss(&mut self) {
        self.add_fault(0..self.scenario.servers * 3 / 10, 5.0, FaultKind::Crash);
        let factor = self.draw(2.0, 5.0);
        self.add_fault(self.last_eighth(), 10.0, FaultKind::Slow(factor));
    }

    fn partition(&mut self) {
        self.add_fault(0..self.scenario.servers / 5, 6.0, FaultKind::Partition);
        if let Some(discovery) = &mut self.scenario.fleet.discovery {
            discovery.min_notice += from_seconds(6.0);
            discovery.max_notice += from_seconds(6.0);
        }
        self.add_release(0.1, 1.0, 1, 3.0);
    }

    fn fast_release(&mut self) {
        self.add_release(0.6, 7.0, 2, 6.0);
        let until = BEGIN + 8 * SECOND;
        let min_timeout = self.draw(0.05, 0.1);
        let max_timeout = self.draw(0.25, 0.5);
        let share = self.draw(0.4, 0.9);
        let during = BEGIN..until;
        let early_timeouts = EarlyTimeouts { during, share, min_timeout, max_timeout };
        self.scenario.fleet.early_timeouts = Some(early_timeouts);
        self.scenario.retry = RetryBehavior::Immediate;
        let during = BEGIN + 3 * SECOND..until;
        self.scenario.fleet.burst = Some(Burst { during, factor: 1.4 });
    }
}
