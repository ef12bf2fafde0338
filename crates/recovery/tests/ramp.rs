//! The rules of the pace: nothing on calm days, a ramp after an outage, an end to it.

use mintshelf_recovery::{OutageSignal, Phase, RecoveryRamp};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const SECOND: u64 = 1_000_000_000;
const RAMP: u64 = 2 * SECOND;

/// Feeds requests at `rate` a second from one second to another; `end` tells how an attempt
/// ends that is begun at a time. Back comes what was let through, by tenths of a second.
fn play(
    pace: &mut RecoveryRamp,
    rate: u64,
    from: u64,
    to: u64,
    mut end: impl FnMut(u64, f64) -> OutageSignal,
) -> Vec<f64> {
    let mut through = vec![0.0; ((to - from) * 10) as usize];
    for n in from * rate..to * rate {
        let now = n * SECOND / rate;
        if pace.admit(now) {
            let tenth = (now - from * SECOND) / (SECOND / 10);
            through[tenth as usize] += 10.0 / rate as f64;
            let now_rate = pace.rate_per_second().unwrap_or(rate as f64) / rate as f64;
            pace.record(now, end(now, now_rate));
        }
    }
    through
}

/// A pace that has seen a calm half minute at `rate`, and an outage of `out` seconds.
fn after_an_outage(rate: u64, out: u64) -> RecoveryRamp {
    let mut pace = RecoveryRamp::new(5, RAMP);
    play(&mut pace, rate, 0, 30, |_, _| OutageSignal::InTime);
    assert_eq!(pace.phase(), Phase::Normal);
    let through = play(&mut pace, rate, 30, 30 + out, |_, _| OutageSignal::Failure);
    assert_eq!(pace.phase(), Phase::Outage);
    // It takes a second and a little to be sure.
    let late: f64 = through[15..].iter().sum::<f64>() / (through.len() - 15) as f64;
    assert!(late < 0.12_f64.max(11.0 / rate as f64), "{late} of the usual goes to the dead");
    pace
}

#[test]
fn traffic_returns_by_the_ramp_and_then_nothing_is_held_back() {
    for (rate, out) in [(100, 2), (340, 10), (1_500, 60)] {
        let mut pace = after_an_outage(rate, out);
        let from = 30 + out;
        let through = play(&mut pace, rate, from, from + 10, |_, _| OutageSignal::InTime);
        let mean = |tenths: std::ops::Range<usize>| {
            through[tenths.clone()].iter().sum::<f64>() / tenths.len() as f64
        };
        assert!(mean(0..5) < 0.45, "{rate}/s: {} in the first half second", mean(0..5));
        assert!(mean(0..5) < mean(5..10) && mean(5..10) < mean(12..17), "{rate}/s: it climbs");
        assert!(mean(40..100) > 0.99, "{rate}/s: {} after 4 s", mean(40..100));
        assert_eq!(pace.phase(), Phase::Normal, "{rate}/s");
    }
}

#[test]
fn the_ramp_narrows_while_answers_are_late() {
    // Servers that start cold: more than half of the usual and all are late.
    let mut pace = after_an_outage(340, 10);
    let cold = |_, part: f64| if part > 0.5 { OutageSignal::Late } else { OutageSignal::InTime };
    let through = play(&mut pace, 340, 40, 60, cold);
    let mean = through[30..].iter().sum::<f64>() / (through.len() - 30) as f64;
    assert!((0.3..0.7).contains(&mean), "{mean} of the usual goes to servers that take half");
    assert_eq!(pace.phase(), Phase::Recovering);
    play(&mut pace, 340, 60, 70, |_, _| OutageSignal::InTime);
    assert_eq!(pace.phase(), Phase::Normal, "warm, they take all");
}

#[test]
fn a_cluster_that_falls_again_is_out_again() {
    let mut pace = after_an_outage(340, 10);
    play(&mut pace, 340, 40, 41, |_, _| OutageSignal::InTime);
    assert_eq!(pace.phase(), Phase::Recovering);
    play(&mut pace, 340, 41, 45, |_, _| OutageSignal::Failure);
    assert_eq!(pace.phase(), Phase::Outage);
    let through = play(&mut pace, 340, 45, 46, |_, _| OutageSignal::InTime);
    assert!(through[..5].iter().sum::<f64>() / 5.0 < 0.45, "the ramp begins anew");
}

#[test]
fn many_sidecars_do_not_climb_in_step() {
    let at_full = |seed| {
        let mut pace = RecoveryRamp::new(seed, RAMP);
        play(&mut pace, 340, 0, 30, |_, _| OutageSignal::InTime);
        play(&mut pace, 340, 30, 32, |_, _| OutageSignal::Failure);
        (0..).find(|tenth| {
            let now = 32 * SECOND + tenth * SECOND / 10;
            (0..34).for_each(|n| {
                if pace.admit(now + n * 2_000_000) {
                    pace.record(now + n * 2_000_000, OutageSignal::InTime);
                }
            });
            pace.phase() == Phase::Normal
        })
    };
    let times: Vec<_> = (0..20).map(|seed| at_full(seed).unwrap()).collect();
    let (least, most) = (times.iter().min().unwrap(), times.iter().max().unwrap());
    assert!(most > least, "{times:?}");
}

#[test]
fn false_alarms_hold_nothing_back() {
    // Slow answers, a deploy that breaks a third, one server of two that is dead.
    for (rate, late, broken) in
        [(30, 1.0, 0.0), (30, 0.5, 0.33), (340, 0.2, 0.5), (1_500, 0.9, 0.6)]
    {
        let mut rng = Pcg32::seed_from_u64(3);
        let mut draw = move || f64::from(rng.next_u32()) / f64::from(u32::MAX);
        let mut pace = RecoveryRamp::new(5, RAMP);
        let end = |_, _| match draw() {
            x if x < broken => OutageSignal::Failure,
            _ if draw() < late => OutageSignal::Late,
            _ => OutageSignal::InTime,
        };
        let through = play(&mut pace, rate, 0, 120, end);
        let held = 1.0 - through.iter().sum::<f64>() / through.len() as f64;
        assert!(held < 1e-9, "{rate}/s, {broken} broken: {held} was held back");
    }
}

proptest! {
    /// No pacing where it is off, whatever happens; where it is on, never nothing at all:
    /// an outage is always seen to end.
    #[test]
    fn it_can_be_off_and_never_stops_all(
        seed: u64,
        ramp in prop_oneof![Just(0), 1u64..20_000_000_000],
        steps in proptest::collection::vec((0u64..200_000_000, 0u8..3), 1..600),
    ) {
        let mut pace = RecoveryRamp::new(seed, ramp);
        let mut now = SECOND;
        for (passed, end) in steps {
            now += passed;
            let end = [OutageSignal::InTime, OutageSignal::Late, OutageSignal::Failure][end as usize];
            if pace.admit(now) {
                pace.record(now, end);
            }
            prop_assert!(ramp > 0 || pace.phase() == Phase::Normal);
        }
        // With ten a second asked for some are let through, and answered it is calm again.
        let mut open = 0;
        for n in 0..3_000 {
            let now = now + n * 100_000_000;
            if pace.admit(now) {
                open += 1;
                pace.record(now, OutageSignal::InTime);
            }
        }
        prop_assert!(open > 1_000, "{open}");
        prop_assert_eq!(pace.phase(), Phase::Normal);
    }
}
