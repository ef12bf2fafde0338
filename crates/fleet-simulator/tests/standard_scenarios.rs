//! The standard scenarios: their served shares, and the rules that hold in each.

use mintshelf_fleet_simulator::{
    simulate, standard_scenario, FleetConfig, Report, Restart, Scenario, StandardScenario,
};
use mintshelf_time::SECOND;
use std::ops::Range;

/// Broken rules of any kind: repeated effects, lost responses, excess attempts, sends to
/// draining servers, overloaded warming servers.
fn violations(report: &Report) -> u64 {
    let effects = report.repeated_unsafe + report.repeated_idempotent;
    let requests = report.lost + report.excess_attempts;
    effects + requests + report.sends_after_drain + report.overloaded_servers
}

/// Mean served share of some seconds, over runs of a scenario with each of the seeds.
fn served_share(
    kind: StandardScenario,
    sidecars: usize,
    seeds: Range<u64>,
    seconds: Range<u64>,
) -> f64 {
    let runs = (seeds.end - seeds.start) as f64;
    let share = |seed| {
        let report = simulate(&standard_scenario(kind, seed, sidecars));
        assert_eq!(violations(&report), 0, "{kind:?} {seed}");
        report.served_share(seconds.clone())
    };
    seeds.map(share).sum::<f64>() / runs
}

#[test]
fn a_scenario_takes_the_same_course_every_time() {
    let scenario = standard_scenario(StandardScenario::MassRestart, 7, 20);
    assert_eq!(simulate(&scenario), simulate(&scenario));
    let other = standard_scenario(StandardScenario::MassRestart, 8, 20);
    assert_ne!(simulate(&scenario).digest, simulate(&other).digest);
}

#[test]
fn all_scenarios_are_served_and_break_no_rule() {
    for kind in StandardScenario::ALL {
        let served = served_share(kind, 40, 1..3, 2..28);
        assert!(served > 0.7, "{kind:?}: {served}");
    }
}

/// Clients give up early and retry at once while servers are replaced: what is sent for them is
/// wasted work, and must not overload the fleet.
#[test]
fn clients_with_early_timeouts_do_not_overload_the_fleet() {
    let served = served_share(StandardScenario::FastRelease, 60, 1..5, 8..20);
    assert!(served > 0.66, "served meanwhile: {served}");
}

#[test]
fn rejections_do_not_outlive_an_overload() {
    let served = served_share(StandardScenario::FastRelease, 60, 1..5, 20..28);
    assert!(served > 0.93, "served once the release is over: {served}");
}

/// Seven in ten of 300 sidecars are killed at once.
#[test]
fn a_mass_restart_opens_connections_without_a_burst() {
    let calm = standard_scenario(StandardScenario::Calm, 3, 300);
    let restart = Restart { at: 10 * SECOND, downtime: SECOND / 2, sidecars: 0..210 };
    let fleet = FleetConfig { burst: None, restarts: vec![restart], ..calm.fleet.clone() };
    let scenario = Scenario { duration: 20 * SECOND, fleet, ..calm };
    let report = simulate(&scenario);
    assert_eq!(violations(&report), 0);
    assert!(report.interrupted > 0, "no request was interrupted: no restart");
    // A sidecar's requests of a second at most, over all that restart.
    let connects = |second: u64| report.sum(second..second + 1, |slice| slice.connects as f64);
    let max = (10..20).map(connects).fold(0.0, f64::max);
    let first = connects(0);
    assert!(max < first, "{max} in a second, {first} when all started");
    // Nor does any one server see many more than in a calm second.
    let [calm, max] = [2..10, 10..20].map(|seconds| report.max_connects(seconds));
    assert!(calm > 0 && max <= 6 * calm, "{max} at a server, {calm} in a calm second");
    // Discovery sees each once, evenly over the 2.4 s that are left for a first call where
    // changes count as known after 6 s: chance adds three roots of a second's share.
    let share: f64 = 210.0 / 2.4;
    let calls = |second: u64| report.sum(second..second + 1, |slice| slice.discovery_calls as f64);
    let max = (10..20).map(calls).fold(0.0, f64::max);
    let all: f64 = (10..20).map(calls).sum();
    assert!(
        (200.0..300.0).contains(&all) && max < share + 3.0 * share.sqrt(),
        "{all} calls, {max} in a second"
    );
}

#[test]
fn a_thousand_small_fleets_break_no_rule() {
    let mut with_starts = 0;
    for seed in 0..1_000 {
        let kind = StandardScenario::ALL[seed as usize % StandardScenario::ALL.len()];
        let mut scenario = standard_scenario(kind, seed, 8);
        scenario.duration = 16 * SECOND;
        with_starts += usize::from(kind != StandardScenario::Calm);
        assert_eq!(violations(&simulate(&scenario)), 0, "{kind:?} {seed}");
    }
    assert!(with_starts > 800);
}

/// Sidecars that see three requests a minute beside others that see a hundred a second.
#[test]
fn idle_and_busy_sidecars_share_a_fleet() {
    let calm = standard_scenario(StandardScenario::Calm, 5, 40);
    let fleet = FleetConfig { load_skew: 3.3, ..calm.fleet.clone() };
    let report = simulate(&Scenario { fleet, ..calm });
    assert_eq!(violations(&report), 0);
    let served = report.served_share(2..28);
    assert!(served > 0.9, "{served}");
}
