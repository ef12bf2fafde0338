//! Replicas, leases and their clients in virtual time, under drawn faults, with clocks that run
//! apart by all that is allowed. `MINTSHELF_SEEDS=10000` plays more seeds.

mod checker;
mod common;
#[path = "common/seeds.rs"]
mod seeds;

use checker::{find_violation, handovers, Violation};
use common::simulation::config::{Mutant, SimulationConfig};
use common::simulation::Simulation;
use mintshelf_lease::timing::ClockError;
use seeds::seed_count;
use std::ops::Range;

#[derive(Debug)]
#[allow(dead_code, reason = "the fields are printed by Debug only")]
struct SeedViolation {
    seed: u64,
    violation: Violation,
}

/// What a number of seeds came to.
#[derive(Debug, Default)]
struct Summary {
    operations: usize,
    handovers: usize,
    rejected_tokens: usize,
    crashes: u64,
    leaderships: usize,
    violations: Vec<SeedViolation>,
    /// Seeds in which no holder acts at the end, without faults.
    idle_seeds: Vec<u64>,
}

fn play(config: &SimulationConfig, seeds: Range<u64>) -> Summary {
    let mut summary = Summary::default();
    for seed in seeds {
        let mut simulation = Simulation::new(config.clone(), seed);
        simulation.run();
        let Simulation { operations, token_checks, .. } = &simulation;
        summary.operations += operations.len();
        summary.handovers += handovers(operations);
        summary.rejected_tokens += token_checks.iter().filter(|check| !check.is_admitted).count();
        summary.crashes += u64::from(simulation.crashes);
        summary.leaderships += simulation.leaderships.len();
        if let Some(violation) = find_violation(operations, token_checks) {
            summary.violations.push(SeedViolation { seed, violation });
        }
        let late = config.fault_period + config.calm_period / 2;
        if !operations.iter().any(|operation| operation.start > late) {
            summary.idle_seeds.push(seed);
        }
    }
    summary
}

#[test]
fn two_holders_never_act_at_once_among_three_replicas() {
    let seeds = seed_count(150);
    let summary = play(&SimulationConfig::default(), 0..seeds);
    println!("{summary:?}");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(summary.idle_seeds.is_empty(), "idle without faults: {:?}", summary.idle_seeds);
    let played = seeds as usize;
    assert!(summary.handovers > 5 * played, "too few handovers to prove anything");
    assert!(summary.rejected_tokens > played / 10, "no stopped holder came too late");
    assert!(summary.leaderships > 2 * played, "too few elections");
}

#[test]
fn two_holders_never_act_at_once_among_five_replicas() {
    let config = SimulationConfig { replicas: 5, clients: 6, ..SimulationConfig::default() };
    let summary = play(&config, 0..seed_count(60));
    println!("{summary:?}");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(summary.idle_seeds.is_empty(), "idle without faults: {:?}", summary.idle_seeds);
}

/// The checker and the faults find what is wrong on purpose.
#[test]
fn a_lease_counted_from_the_response_is_found() {
    let config =
        SimulationConfig { mutant: Mutant::CountsFromResponse, ..SimulationConfig::default() };
    let summary = play(&config, 0..100);
    assert!(!summary.violations.is_empty(), "{summary:?}");
}

#[test]
fn ignoring_the_clock_error_is_found() {
    // A leader that stays, and holders that are cut off from it while their clocks run slow.
    let mutant = SimulationConfig {
        mutant: Mutant::IgnoresClockError,
        clock_error: ClockError { ppm: 100_000 },
        replicas_fail: false,
        ..SimulationConfig::default()
    };
    let summary = play(&mutant, 0..40);
    assert!(!summary.violations.is_empty(), "{summary:?}");
    let correct = play(&SimulationConfig { mutant: Mutant::None, ..mutant }, 0..40);
    assert!(correct.violations.is_empty(), "{:?}", correct.violations);
}

#[test]
fn a_resource_that_checks_no_token_is_found() {
    let config = SimulationConfig { mutant: Mutant::NoFence, ..SimulationConfig::default() };
    let summary = play(&config, 0..100);
    assert!(!summary.violations.is_empty(), "{summary:?}");
}
