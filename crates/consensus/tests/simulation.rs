//! Simulates replicas and lease clients in virtual time under random faults, with clocks that drift
//! apart as far as the configured clock error allows. `MINTSHELF_SEEDS=10000` runs more seeds.

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

/// Totals over a number of seeds.
#[derive(Debug, Default)]
struct Summary {
    operations: usize,
    handovers: usize,
    rejected_tokens: usize,
    crashes: u64,
    leaderships: usize,
    violations: Vec<SeedViolation>,
    /// Seeds in which no holder operates in the second half of the fault-free period.
    seeds_without_progress: Vec<u64>,
}

fn run_seeds(config: &SimulationConfig, seeds: Range<u64>) -> Summary {
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
        let last_phase_start = config.fault_period + config.fault_free_period / 2;
        if !operations.iter().any(|operation| operation.start > last_phase_start) {
            summary.seeds_without_progress.push(seed);
        }
    }
    summary
}

/// Asserts that no two holders operated at once, and that the lease is held once faults have ended.
fn assert_safe_and_live(summary: &Summary) {
    println!("{summary:?}");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(
        summary.seeds_without_progress.is_empty(),
        "no holder operates late in the fault-free period: {:?}",
        summary.seeds_without_progress
    );
}

#[test]
fn two_holders_never_operate_at_once_with_three_replicas() {
    let seeds = seed_count(150);
    let summary = run_seeds(&SimulationConfig::default(), 0..seeds);
    assert_safe_and_live(&summary);
    let seed_total = seeds as usize;
    assert!(summary.handovers > 5 * seed_total, "too few handovers to prove anything");
    assert!(
        summary.rejected_tokens > seed_total / 10,
        "no paused holder was rejected by its token"
    );
    assert!(summary.leaderships > 2 * seed_total, "too few elections");
}

#[test]
fn two_holders_never_operate_at_once_with_five_replicas() {
    let config = SimulationConfig { replicas: 5, clients: 6, ..SimulationConfig::default() };
    let summary = run_seeds(&config, 0..seed_count(60));
    assert_safe_and_live(&summary);
}

/// The mutants prove that faults and checker detect a faulty client or resource.
#[test]
fn the_checker_finds_a_lease_counted_from_the_response() {
    let config =
        SimulationConfig { mutant: Mutant::CountsFromResponse, ..SimulationConfig::default() };
    let summary = run_seeds(&config, 0..100);
    assert!(!summary.violations.is_empty(), "{summary:?}");
}

#[test]
fn the_checker_finds_an_ignored_clock_error() {
    // The leader stays up while holders with slow clocks are isolated from it.
    let mutant = SimulationConfig {
        mutant: Mutant::IgnoresClockError,
        clock_error: ClockError { ppm: 100_000 },
        replica_faults: false,
        ..SimulationConfig::default()
    };
    let summary = run_seeds(&mutant, 0..40);
    assert!(!summary.violations.is_empty(), "{summary:?}");
    let correct = run_seeds(&SimulationConfig { mutant: Mutant::None, ..mutant }, 0..40);
    assert!(correct.violations.is_empty(), "{:?}", correct.violations);
}

#[test]
fn the_checker_finds_a_missing_token_check() {
    let config = SimulationConfig { mutant: Mutant::NoTokenCheck, ..SimulationConfig::default() };
    let summary = run_seeds(&config, 0..100);
    assert!(!summary.violations.is_empty(), "{summary:?}");
}
