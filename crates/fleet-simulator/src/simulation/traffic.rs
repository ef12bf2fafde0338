//! The random traffic of a scenario: when clients arrive, at which sidecar, and with what work.

use crate::fleet::{Burst, EarlyTimeouts};
use crate::scenario::{Scenario, CLASSES};
use crate::server::ServerSize;
use crate::uniform;
use mintshelf_time::{as_float, from_float, Nanos, SECOND};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Spreads the sidecars' traffic: the fractional part of √2, whose multiples are uniform.
const SKEW_ROOT: f64 = 0.414_213_562_373_095;

/// The distributions of a scenario's traffic. Times are counted from the start of the run.
pub(super) struct Traffic {
    requests_per_second: f64,
    burst: Option<Burst>,
    early_timeouts: Option<EarlyTimeouts>,
    /// Traffic of each sidecar and all before it.
    cumulative_load: Vec<f64>,
    /// Time that a unit of work takes, in nanoseconds.
    unit_ns: f64,
    /// Distribution of the work of a class, with mean 1; absent for the default.
    work_spread: Option<LogNormal<f64>>,
}

/// The traffic of each sidecar and all before it: spread over powers of ten, in no order.
fn cumulative_load(scenario: &Scenario) -> Vec<f64> {
    let load = |sidecar: usize| {
        let position = (sidecar as f64 * SKEW_ROOT).fract();
        10f64.powf(scenario.fleet.load_skew * position)
    };
    let mut sum = 0.0;
    let add = |sidecar| {
        sum += load(sidecar);
        sum
    };
    (0..scenario.sidecars).map(add).collect()
}

/// Exponentially distributed with mean 1.
fn draw_exponential(rng: &mut Pcg64Mcg) -> f64 {
    -(1.0 - uniform(rng)).ln()
}

impl Traffic {
    pub(super) fn new(scenario: &Scenario) -> Self {
        let work_spread = |sigma: f64| LogNormal::new(-sigma * sigma / 2.0, sigma).ok();
        Traffic {
            requests_per_second: scenario.requests_per_second,
            burst: scenario.fleet.burst.clone(),
            early_timeouts: scenario.fleet.early_timeouts.clone(),
            cumulative_load: cumulative_load(scenario),
            unit_ns: ServerSize::of(scenario).unit_ns,
            work_spread: scenario.fleet.work_sigma.and_then(work_spread),
        }
    }

    /// Time until the next client arrives.
    pub(super) fn draw_gap(&self, rng: &mut Pcg64Mcg, elapsed: Nanos) -> Nanos {
        let burst = self.burst.as_ref().filter(|burst| burst.during.contains(&elapsed));
        let rate = self.requests_per_second * burst.map_or(1.0, |burst| burst.factor);
        from_float(draw_exponential(rng) / rate * as_float(SECOND))
    }

    /// The class of a client.
    pub(super) fn draw_class(rng: &mut Pcg64Mcg) -> usize {
        let drawn = uniform(rng);
        let mut class = 0;
        let mut cumulative_share = CLASSES[0].share;
        while drawn >= cumulative_share && class + 1 < CLASSES.len() {
            class += 1;
            cumulative_share += CLASSES[class].share;
        }
        class
    }

    /// The sidecar of a client.
    pub(super) fn draw_sidecar(&self, rng: &mut Pcg64Mcg) -> usize {
        let target = uniform(rng) * self.cumulative_load.last().copied().unwrap_or(0.0);
        let sidecar = self.cumulative_load.partition_point(|sum| *sum <= target);
        sidecar.min(self.cumulative_load.len().saturating_sub(1))
    }

    /// The timeout of a client that gives up early, as a fraction of the latency objective.
    pub(super) fn draw_early_timeout(&self, rng: &mut Pcg64Mcg, elapsed: Nanos) -> Option<f64> {
        let config = self.early_timeouts.as_ref();
        let config = config.filter(|config| config.during.contains(&elapsed))?;
        let timeout = config.min_timeout + uniform(rng) * (config.max_timeout - config.min_timeout);
        (uniform(rng) < config.share).then_some(timeout)
    }

    /// The work of an attempt: the time that it takes on a warm server.
    pub(super) fn draw_work(&self, rng: &mut Pcg64Mcg, class: usize) -> Nanos {
        from_float(CLASSES[class].work * self.unit_ns * self.draw_work_factor(rng))
    }

    /// Work of one request, relative to the mean of its class.
    fn draw_work_factor(&self, rng: &mut Pcg64Mcg) -> f64 {
        if let Some(spread) = &self.work_spread {
            return spread.sample(rng);
        }
        // Erlang of two stages: less spread than the exponential, but with a tail.
        let first = draw_exponential(rng) / 2.0;
        let second = draw_exponential(rng) / 2.0;
        first + second
    }
}
