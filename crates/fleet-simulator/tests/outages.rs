//! The rules through outages, and what the recovery package changes, on seeded runs.

use mintshelf_fleet_simulator::{simulate, Fault, FaultKind, Report, RetryBehavior, Scenario};
use mintshelf_time::{MILLISECOND, SECOND};
use std::ops::Range;

const RETRIES: [RetryBehavior; 4] = [
    RetryBehavior::Never,
    RetryBehavior::Immediate,
    RetryBehavior::Backoff(100 * MILLISECOND),
    RetryBehavior::HonorAdvice,
];

fn assert_rules_hold(scenario: &Scenario, report: &Report) {
    let effects = [report.repeated_unsafe, report.repeated_idempotent];
    let rules = (effects, report.lost, report.excess_attempts);
    assert_eq!(rules, ([0, 0], 0, 0), "effects, lost, excess attempts with {scenario:?}");
}

fn rejected_share(report: &Report, seconds: Range<u64>) -> f64 {
    let rejected = report.sum(seconds.clone(), |slice| slice.rejected as f64);
    rejected / report.sum(seconds, |slice| slice.requests as f64)
}

/// Runs a scenario with the recovery package, and without it.
fn with_and_without_ramp(scenario: &Scenario) -> (Report, Report) {
    (simulate(scenario), simulate(&Scenario { ramp: None, ..scenario.clone() }))
}

#[test]
fn a_scenario_takes_the_same_course_every_time() {
    let scenario = Scenario::without_faults(3, 200.0, 6).with_outage(FaultKind::Crash, 2, 4);
    let one = simulate(&scenario);
    let other = simulate(&scenario);
    assert_eq!(one, other);
    let another = simulate(&Scenario { seed: 4, ..scenario });
    assert_ne!(one.digest, another.digest);
}

/// Small sites with all kinds of fault, a thousand seeds: no effect twice, one response each.
#[test]
fn a_thousand_outages_break_no_rule() {
    let kinds = [
        FaultKind::Crash,
        FaultKind::Partition,
        FaultKind::Slow(8.0),
        FaultKind::Hang(3),
        FaultKind::Hang(2),
    ];
    let mut served = 0.0;
    let mut outages = 0;
    for seed in 0..1_000 {
        let kind = kinds[seed as usize % kinds.len()];
        let servers = 0..1 + (seed as usize / 5) % 3;
        let retry = RETRIES[(seed as usize / 15) % RETRIES.len()];
        let scenario = Scenario {
            sidecars: 2,
            servers: 3,
            retry,
            max_retry_after: SECOND,
            warm_up: if seed % 2 == 0 { 4 * SECOND } else { 0 },
            ..Scenario::without_faults(seed, 80.0, 4)
        };
        let fault = Fault { from: SECOND, until: 2_500 * MILLISECOND, servers, kind };
        let scenario = scenario.with_fault(fault);
        let report = simulate(&scenario);
        assert_rules_hold(&scenario, &report);
        served += report.sum(0..4, |slice| slice.in_time as f64);
        let unserved = report.sum(0..4, |slice| (slice.rejected + slice.failed) as f64);
        outages += usize::from(unserved > 10.0);
    }
    assert!(served > 150_000.0 && outages > 300, "{served} served, {outages} real outages");
}

#[test]
fn the_recovery_package_costs_nothing_without_faults() {
    let scenario = Scenario::without_faults(5, 340.0, 30);
    let (with, without) = with_and_without_ramp(&scenario);
    assert_rules_hold(&scenario, &with);
    assert_eq!(with.sum(0..30, |slice| slice.rejected_by_ramp as f64), 0.0);
    let earned = |report: &Report| report.sum(5..28, |slice| slice.earned_weight);
    assert_eq!(earned(&with), earned(&without));
}

#[test]
fn the_ramp_rejects_nothing_in_a_false_alarm() {
    let calm = Scenario::without_faults(6, 340.0, 20);
    let fault = |servers, kind| Fault { from: 6 * SECOND, until: 14 * SECOND, servers, kind };
    for fault in [
        // Slow responses everywhere, one server down, one class that hangs everywhere.
        fault(0..6, FaultKind::Slow(1.4)),
        fault(0..1, FaultKind::Crash),
        fault(0..1, FaultKind::Partition),
        fault(0..6, FaultKind::Hang(3)),
    ] {
        let scenario = calm.clone().with_fault(fault.clone());
        let report = simulate(&scenario);
        assert_rules_hold(&scenario, &report);
        let rejected = report.sum(0..20, |slice| slice.rejected_by_ramp as f64);
        assert_eq!(rejected, 0.0, "{fault:?}");
    }
}

#[test]
fn traffic_ramps_up_after_a_partition() {
    let retry = RetryBehavior::HonorAdvice;
    let scenario = Scenario { retry, ..Scenario::without_faults(7, 1_500.0, 60) };
    let scenario = scenario.with_outage(FaultKind::Partition, 15, 25);
    let (with, without) = with_and_without_ramp(&scenario);
    assert_rules_hold(&scenario, &with);
    let work = |report: &Report| report.peak(8..15, 25, |slice| slice.work);
    let ramped = work(&with);
    let plain = work(&without);
    assert!(ramped < 1.8 && ramped < 0.6 * plain, "{ramped} with, {plain} without");
    let seconds = with.recovery_seconds(8..15, 25);
    assert!(seconds < 20.0, "{seconds} s until it has recovered");
    assert!(rejected_share(&with, 50..58) < 0.01, "nothing is rejected any more");
}
