//! The recovery ramp: nothing is rejected normally, traffic ramps up after an outage, and the
//! ramp ends.

use mintshelf_recovery::{OutageSignal, Phase, RecoveryRamp};
use mintshelf_time::SECOND;
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const RAMP: u64 = 2 * SECOND;

/// Sends requests at `rate` a second from one second to another; `end` is how an attempt ends
/// that begins at a time, at a part of the rate. Returns the admitted share by tenths of a second.
fn play(
    ramp: &mut RecoveryRamp,
    rate: u64,
    from: u64,
    to: u64,
    mut end: impl FnMut(u64, f64) -> OutageSignal,
) -> Vec<f64> {
    let mut admitted = vec![0.0; ((to - from) * 10) as usize];
    for n in from * rate..to * rate {
        let now = n * SECOND / rate;
        if ramp.admit(now) {
            let tenth = (now - from * SECOND) / (SECOND / 10);
            admitted[tenth as usize] += 10.0 / rate as f64;
            let now_rate = ramp.rate_per_second().unwrap_or(rate as f64) / rate as f64;
            ramp.record(now, end(now, now_rate));
        }
    }
    admitted
}

/// A ramp after half a minute of normal traffic at `rate` a second, and an outage.
fn ramp_after_outage(rate: u64, outage_seconds: u64) -> RecoveryRamp {
    let mut ramp = RecoveryRamp::new(5, RAMP);
    play(&mut ramp, rate, 0, 30, |_, _| OutageSignal::InTime);
    assert_eq!(ramp.phase(), Phase::Normal);
    let admitted = play(&mut ramp, rate, 30, 30 + outage_seconds, |_, _| OutageSignal::Failure);
    assert_eq!(ramp.phase(), Phase::Outage);
    // Detection takes a second and a little.
    let late_share: f64 = admitted[15..].iter().sum::<f64>() / (admitted.len() - 15) as f64;
    assert!(
        late_share < 0.12_f64.max(11.0 / rate as f64),
        "{late_share} of the baseline goes to dead servers"
    );
    ramp
}

#[test]
fn traffic_ramps_up_and_then_all_is_admitted() {
    for (rate, outage_seconds) in [(100, 2), (340, 10), (1_500, 60)] {
        let mut ramp = ramp_after_outage(rate, outage_seconds);
        let from = 30 + outage_seconds;
        let admitted = play(&mut ramp, rate, from, from + 10, |_, _| OutageSignal::InTime);
        let mean = |tenths: std::ops::Range<usize>| {
            admitted[tenths.clone()].iter().sum::<f64>() / tenths.len() as f64
        };
        assert!(mean(0..5) < 0.45, "{rate}/s: {} in the first half second", mean(0..5));
        assert!(mean(0..5) < mean(5..10) && mean(5..10) < mean(12..17), "{rate}/s: it rises");
        assert!(mean(40..100) > 0.99, "{rate}/s: {} after 4 s", mean(40..100));
        assert_eq!(ramp.phase(), Phase::Normal, "{rate}/s");
    }
}

#[test]
fn the_ramp_slows_down_while_responses_are_late() {
    // Servers that warm up: with more than half of the baseline all responses are late.
    let mut ramp = ramp_after_outage(340, 10);
    let slow_start =
        |_, part: f64| if part > 0.5 { OutageSignal::Late } else { OutageSignal::InTime };
    let admitted = play(&mut ramp, 340, 40, 60, slow_start);
    let mean = admitted[30..].iter().sum::<f64>() / (admitted.len() - 30) as f64;
    assert!(
        (0.3..0.7).contains(&mean),
        "{mean} of the baseline goes to servers that can take half"
    );
    assert_eq!(ramp.phase(), Phase::Recovering);
    play(&mut ramp, 340, 60, 70, |_, _| OutageSignal::InTime);
    assert_eq!(ramp.phase(), Phase::Normal, "warm, they serve all");
}

#[test]
fn a_cluster_that_fails_again_is_in_outage_again() {
    let mut ramp = ramp_after_outage(340, 10);
    play(&mut ramp, 340, 40, 41, |_, _| OutageSignal::InTime);
    assert_eq!(ramp.phase(), Phase::Recovering);
    play(&mut ramp, 340, 41, 45, |_, _| OutageSignal::Failure);
    assert_eq!(ramp.phase(), Phase::Outage);
    let admitted = play(&mut ramp, 340, 45, 46, |_, _| OutageSignal::InTime);
    assert!(admitted[..5].iter().sum::<f64>() / 5.0 < 0.45, "the ramp begins again");
}

#[test]
fn many_sidecars_do_not_raise_their_rates_in_step() {
    let at_full = |seed| {
        let mut ramp = RecoveryRamp::new(seed, RAMP);
        play(&mut ramp, 340, 0, 30, |_, _| OutageSignal::InTime);
        play(&mut ramp, 340, 30, 32, |_, _| OutageSignal::Failure);
        (0..).find(|tenth| {
            let now = 32 * SECOND + tenth * SECOND / 10;
            (0..34).for_each(|n| {
                if ramp.admit(now + n * 2_000_000) {
                    ramp.record(now + n * 2_000_000, OutageSignal::InTime);
                }
            });
            ramp.phase() == Phase::Normal
        })
    };
    let times: Vec<_> = (0..20).map(|seed| at_full(seed).unwrap()).collect();
    let min = times.iter().min().unwrap();
    let max = times.iter().max().unwrap();
    assert!(max > min, "{times:?}");
}

#[test]
fn false_alarms_reject_nothing() {
    // Slow answers, a deploy that breaks a third, one server of two that is dead.
    for (rate, late_share, broken) in
        [(30, 1.0, 0.0), (30, 0.5, 0.33), (340, 0.2, 0.5), (1_500, 0.9, 0.6)]
    {
        let mut rng = Pcg32::seed_from_u64(3);
        let mut draw = move || f64::from(rng.next_u32()) / f64::from(u32::MAX);
        let mut ramp = RecoveryRamp::new(5, RAMP);
        let end = |_, _| match draw() {
            x if x < broken => OutageSignal::Failure,
            _ if draw() < late_share => OutageSignal::Late,
            _ => OutageSignal::InTime,
        };
        let admitted = play(&mut ramp, rate, 0, 120, end);
        let rejected_share = 1.0 - admitted.iter().sum::<f64>() / admitted.len() as f64;
        assert!(rejected_share < 1e-9, "{rate}/s, {broken} broken: {rejected_share} was rejected");
    }
}

proptest! {
    /// Disabled, it rejects nothing, whatever happens; enabled, it always admits some requests,
    /// so that the end of an outage is detected.
    #[test]
    fn the_ramp_can_be_disabled_and_never_stops_all_traffic(
        seed: u64,
        ramp_ns in prop_oneof![Just(0), 1u64..20_000_000_000],
        steps in proptest::collection::vec((0u64..200_000_000, 0u8..3), 1..600),
    ) {
        let mut ramp = RecoveryRamp::new(seed, ramp_ns);
        let mut now = SECOND;
        for (elapsed, end) in steps {
            now += elapsed;
            let end = [OutageSignal::InTime, OutageSignal::Late, OutageSignal::Failure][end as usize];
            if ramp.admit(now) {
                ramp.record(now, end);
            }
            prop_assert!(ramp_ns > 0 || ramp.phase() == Phase::Normal);
        }
        // Of ten a second some are admitted, and once they are answered the phase is normal.
        let mut open = 0;
        for n in 0..3_000 {
            let now = now + n * 100_000_000;
            if ramp.admit(now) {
                open += 1;
                ramp.record(now, OutageSignal::InTime);
            }
        }
        prop_assert!(open > 1_000, "{open}");
        prop_assert_eq!(ramp.phase(), Phase::Normal);
    }
}
