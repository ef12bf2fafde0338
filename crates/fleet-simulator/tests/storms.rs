//! The rules through storms, and what the recovery package changes, on seeded runs.

use mintshelf_fleet_simulator::{play, Kind, Plan, Report, Retry, Trouble, MS, SECOND};

const RETRIES: [Retry; 4] = [Retry::Never, Retry::AtOnce, Retry::Pause(100 * MS), Retry::Honour];

fn keeps_the_rules(plan: &Plan, report: &Report) {
    let rules = (report.twice, report.lost, report.unruly);
    assert_eq!(rules, ([0, 0], 0, 0), "twice, lost, unruly with {plan:?}");
}

fn refused(report: &Report, seconds: std::ops::Range<u64>) -> f64 {
    report.sum(seconds.clone(), |s| s.refused as f64) / report.sum(seconds, |s| s.tries as f64)
}

#[test]
fn the_same_plan_plays_the_same() {
    let plan = Plan::calm(3, 200.0, 6).outage(Kind::Crash, 2, 4);
    let (one, other) = (play(&plan), play(&plan));
    assert_eq!(one, other);
    let another = play(&Plan { seed: 4, ..plan });
    assert_ne!(one.digest, another.digest);
}

/// Small sites in all kinds of trouble, a thousand seeds: no effect twice, one answer each.
#[test]
fn a_thousand_storms_break_no_rule() {
    let kinds = [Kind::Crash, Kind::Silence, Kind::Slow(8.0), Kind::Hang(3), Kind::Hang(2)];
    let (mut ran, mut out) = (0.0, 0);
    for seed in 0..1_000 {
        let kind = kinds[seed as usize % kinds.len()];
        let servers = 0..1 + (seed as usize / 5) % 3;
        let retry = RETRIES[(seed as usize / 15) % RETRIES.len()];
        let plan = Plan {
            sidecars: 2,
            servers: 3,
            retry,
            max_retry_after: SECOND,
            cold: if seed % 2 == 0 { 4 * SECOND } else { 0 },
            ..Plan::calm(seed, 80.0, 4)
        };
        let plan = plan.trouble(Trouble { from: SECOND, until: 2_500 * MS, servers, kind });
        let report = play(&plan);
        keeps_the_rules(&plan, &report);
        ran += report.sum(0..4, |s| s.in_time as f64);
        out += usize::from(report.sum(0..4, |s| (s.refused + s.failed) as f64) > 10.0);
    }
    assert!(ran > 150_000.0 && out > 300, "{ran} served, {out} real storms");
}

#[test]
fn a_calm_day_costs_nothing() {
    let plan = Plan::calm(5, 340.0, 30);
    let (with, without) = (play(&plan), play(&Plan { ramp: None, ..plan.clone() }));
    keeps_the_rules(&plan, &with);
    assert_eq!(with.sum(0..30, |s| s.paced as f64), 0.0);
    let earned = |report: &Report| report.sum(5..28, |s| s.earned);
    assert_eq!(earned(&with), earned(&without));
}

#[test]
fn false_alarms_pace_nothing() {
    let calm = Plan::calm(6, 340.0, 20);
    let some = |servers, kind| Trouble { from: 6 * SECOND, until: 14 * SECOND, servers, kind };
    for trouble in [
        // Slow answers everywhere, a server that is out, one class that hangs everywhere.
        some(0..6, Kind::Slow(1.4)),
        some(0..1, Kind::Crash),
        some(0..1, Kind::Silence),
        some(0..6, Kind::Hang(3)),
    ] {
        let plan = calm.clone().trouble(trouble.clone());
        let report = play(&plan);
        keeps_the_rules(&plan, &report);
        let paced = report.sum(0..20, |s| s.paced as f64);
        assert_eq!(paced, 0.0, "{trouble:?}");
    }
}

#[test]
fn a_site_that_was_silent_is_met_by_the_ramp() {
    let plan = Plan { retry: Retry::Honour, ..Plan::calm(7, 1_500.0, 60) };
    let plan = plan.outage(Kind::Silence, 15, 25);
    let (with, without) = (play(&plan), play(&Plan { ramp: None, ..plan.clone() }));
    keeps_the_rules(&plan, &with);
    let work = |report: &Report| report.peak(8..15, 25, |s| s.work);
    let (paced, plain) = (work(&with), work(&without));
    assert!(paced < 1.8 && paced < 0.6 * plain, "{paced} with, {plain} without");
    let after = with.calm_after(8..15, 25);
    assert!(after < 20.0, "{after} s until it is as usual");
    assert!(refused(&with, 50..58) < 0.01, "nothing is refused any more");
}
