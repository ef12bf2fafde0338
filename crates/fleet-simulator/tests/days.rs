//! The fleet's standing days in the rig's own world: what was won there is held here.

use mintshelf_fleet_simulator::{day, play, Day, Fleet, Plan, Report, Restart, SECOND};

/// Broken rules of any kind: effects twice, answers lost, attempts out together or too many,
/// sends to servers that drain, cold servers pushed over.
fn broken(report: &Report) -> u64 {
    let counts = [report.lost, report.unruly, report.undrained, report.fallen];
    report.twice.iter().chain(&counts).sum()
}

/// Mean share of the worth served in some seconds, over days of a kind.
fn share(kind: Day, sidecars: usize, seeds: std::ops::Range<u64>, at: std::ops::Range<u64>) -> f64 {
    let days = (seeds.end - seeds.start) as f64;
    let of = |seed| {
        let report = play(&day(kind, seed, sidecars));
        assert_eq!(broken(&report), 0, "{kind:?} {seed}");
        report.share(at.clone())
    };
    seeds.map(of).sum::<f64>() / days
}

#[test]
fn a_day_plays_the_same_every_time() {
    let plan = day(Day::Herd, 7, 20);
    assert_eq!(play(&plan), play(&plan));
    assert_ne!(play(&plan).digest, play(&day(Day::Herd, 8, 20)).digest);
}

#[test]
fn days_of_all_kinds_are_served_and_break_no_rule() {
    for kind in Day::ALL {
        let served = share(kind, 40, 1..3, 2..28);
        assert!(served > 0.7, "{kind:?}: {served}");
    }
}

/// Clients that give up early and come again at once, while servers are replaced: what is sent
/// for them is work in vain, and the fleet must not drown in it.
#[test]
fn clients_in_a_hurry_do_not_jam_the_fleet() {
    let served = share(Day::Join, 60, 1..5, 8..20);
    assert!(served > 0.66, "served while it lasts: {served}");
}

/// A jam is over seconds after its cause: nobody refuses for long on what it saw then.
#[test]
fn a_jam_is_not_outlived_by_refusals() {
    let served = share(Day::Join, 60, 1..5, 20..28);
    assert!(served > 0.93, "served once the trouble is over: {served}");
}

/// Seven in ten of 300 sidecars killed at once.
#[test]
fn a_mass_restart_opens_connections_without_a_burst() {
    let calm = day(Day::Calm, 3, 300);
    let fleet = Fleet { burst: None, ..calm.fleet.clone() };
    let restart = Restart { at: 10 * SECOND, down: SECOND / 2, sidecars: 0..210 };
    let length = 20 * SECOND;
    let plan = Plan { length, fleet: Fleet { restarts: vec![restart], ..fleet }, ..calm };
    let report = play(&plan);
    assert_eq!(broken(&report), 0);
    assert!(report.cut > 0, "none was cut off: no restart");
    // A sidecar's requests of a second at most, over all that start anew.
    let second = |at: u64| report.sum(at..at + 1, |s| s.connects as f64);
    let (most, first) = ((10..20).map(second).fold(0.0, f64::max), second(0));
    assert!(most < first, "{most} in a second, {first} when all started");
    // Nor does any one server see many more than in a calm second.
    let [calm, most] = [2..10, 10..20].map(|seconds| report.most_connects(seconds));
    assert!(calm > 0 && most <= 6 * calm, "{most} at a server, {calm} in a calm second");
    // The list's source sees each once, evenly over the 2.4 s that are left for a first call
    // where news counts as told after 6 s: chance adds three roots of a second's share.
    let share: f64 = 210.0 / 2.4;
    let calls = |at: u64| report.sum(at..at + 1, |s| s.calls as f64);
    let most = (10..20).map(calls).fold(0.0, f64::max);
    let all: f64 = (10..20).map(calls).sum();
    assert!(
        (200.0..300.0).contains(&all) && most < share + 3.0 * share.sqrt(),
        "{all} calls, {most} in a second"
    );
}

/// Small fleets of all kinds, a thousand seeds: no rule broken, no cold server pushed over.
#[test]
fn a_thousand_small_fleets_break_no_rule() {
    let mut cold = 0;
    for seed in 0..1_000 {
        let kind = Day::ALL[seed as usize % Day::ALL.len()];
        let mut plan = day(kind, seed, 8);
        plan.length = 16 * SECOND;
        cold += usize::from(kind != Day::Calm);
        assert_eq!(broken(&play(&plan)), 0, "{kind:?} {seed}");
    }
    assert!(cold > 800);
}

/// Sidecars that see three requests in a minute beside others that see a hundred a second.
#[test]
fn quiet_and_busy_sidecars_live_in_one_fleet() {
    let calm = day(Day::Calm, 5, 40);
    let plan = Plan { fleet: Fleet { uneven: 3.3, ..calm.fleet.clone() }, ..calm };
    let report = play(&plan);
    assert_eq!(broken(&report), 0);
    let served = report.share(2..28);
    assert!(served > 0.9, "{served}");
}
