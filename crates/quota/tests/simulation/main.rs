//! Never more than the quota, under drawn faults in virtual time. `MINTSHELF_SEEDS=10000` plays
//! more seeds.

mod config;
mod faults;
mod member;
#[path = "../common/mutations.rs"]
mod mutations;
mod network;
#[path = "../../../consensus/tests/common/seeds.rs"]
mod seeds;
mod world;

use config::{Mutant, SimulationConfig};
use mintshelf_lease::timing::ClockError;
use mintshelf_time::{Nanos, MILLISECOND};
use seeds::seed_count;
use std::ops::Range;
use world::World;

/// More units in use than the quota has.
#[derive(Debug)]
#[allow(dead_code, reason = "the fields are printed by Debug only")]
struct Violation {
    seed: u64,
    at_ms: Nanos,
    used: u64,
}

/// What a number of seeds came to.
#[derive(Debug, Default)]
struct Summary {
    violations: Vec<Violation>,
    /// Part of the quota that was in use at the end, without faults: mean and least.
    mean_served: f64,
    min_served: f64,
    /// Most units in use at one time.
    max_used: u64,
    kills: u64,
    stops: u64,
    leaders: u64,
}

fn play(config: &SimulationConfig, seeds: Range<u64>) -> Summary {
    let mut summary = Summary { min_served: 1.0, ..Summary::default() };
    let count = seeds.clone().count() as f64;
    for seed in seeds {
        let mut world = World::new(config.clone(), seed);
        world.run();
        if let Some(excess) = &world.excess {
            let at_ms = excess.at / MILLISECOND;
            summary.violations.push(Violation { seed, at_ms, used: excess.used });
        }
        let served = world.served();
        summary.mean_served += served / count;
        summary.min_served = summary.min_served.min(served);
        summary.max_used = summary.max_used.max(world.max_used);
        summary.kills += world.kills;
        summary.stops += world.stops;
        summary.leaders += world.leaders;
    }
    summary
}

/// The first seed in which the quota is exceeded.
fn first_violation(config: &SimulationConfig) -> Option<u64> {
    (0..400).find(|seed| !play(config, *seed..seed + 1).violations.is_empty())
}

#[test]
fn all_members_together_never_use_more_than_the_quota() {
    let config = SimulationConfig { one_demands: false, ..SimulationConfig::default() };
    let seeds = seed_count(300);
    let summary = play(&config, 0..seeds);
    println!("{summary:?}");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    assert!(summary.kills > 10 * seeds && summary.stops > 10 * seeds);
    assert!(summary.leaders > 5 * seeds);
    // Nothing is proved where the quota is never near.
    assert!(summary.max_used > 95, "{summary:?}");
    assert!(summary.min_served > 0.85, "what is free is not granted without faults: {summary:?}");
}

#[test]
fn one_member_that_has_all_the_demand_gets_what_the_others_leave() {
    let summary = play(&SimulationConfig::default(), 0..seed_count(100));
    println!("{summary:?}");
    assert!(summary.violations.is_empty(), "{:?}", summary.violations);
    // All but the others' floors and the headroom: (103 - 4 x 5 - 8) / 103 = 0.73.
    assert!(summary.min_served > 0.70, "{summary:?}");
}

/// The checker and the faults find what is wrong on purpose.
#[test]
fn each_mutant_is_found() {
    let mutants = [
        Mutant::ExpiresEarly,
        Mutant::FreesFormerIncarnation,
        Mutant::FreesOnShrink,
        Mutant::ConfirmsOnResponse,
        Mutant::FloorsNotSetAside,
        Mutant::FloorAtOnce,
        Mutant::RoundsUp,
        Mutant::KeepsFormerLeadersCounts,
        Mutant::IgnoresUseDuration,
        Mutant::CountsFromResponse,
    ];
    for mutant in mutants {
        let config = SimulationConfig { mutant, one_demands: false, ..SimulationConfig::default() };
        let found = first_violation(&config);
        println!("{mutant:?}: seed {found:?}");
        assert!(found.is_some(), "{mutant:?} is not found");
    }
}

#[test]
fn ignoring_the_clock_error_is_found() {
    let mut config = SimulationConfig {
        mutant: Mutant::IgnoresClockError,
        one_demands: false,
        ..SimulationConfig::default()
    };
    config.quota.clock_error = ClockError { ppm: 200_000 };
    assert!(first_violation(&config).is_some());
    let correct = play(&SimulationConfig { mutant: Mutant::None, ..config }, 0..60);
    assert!(correct.violations.is_empty(), "{:?}", correct.violations);
}
