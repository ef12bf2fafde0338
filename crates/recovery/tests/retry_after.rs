//! The rules of the calendar: bounded, spread, longer as more wait.

use mintshelf_recovery::{RetryAfterSchedule, MAX_RETRY_AFTER_SECONDS};
use proptest::prelude::*;

const SECOND: u64 = 1_000_000_000;

/// A calendar that has seen `rate` answers a second for a minute, and the time then.
fn after_a_minute(rate: u64, most: u64) -> (RetryAfterSchedule, u64) {
    let mut calendar = RetryAfterSchedule::new(7, most * SECOND);
    for second in 0..60 {
        (0..rate).for_each(|n| calendar.record_served(second * SECOND + n * (SECOND / rate)));
    }
    (calendar, 60 * SECOND)
}

/// How many come back in each second after `refused` clients were told in one instant.
fn come_backs(rate: u64, most: u64, refused: usize) -> Vec<u32> {
    let (mut calendar, now) = after_a_minute(rate, most);
    let mut seconds = vec![0; most as usize + 1];
    (0..refused).for_each(|_| seconds[calendar.advise_seconds(now, None) as usize] += 1);
    seconds
}

#[test]
fn a_crowd_comes_back_as_a_fifth_of_the_usual_rate() {
    for (rate, refused) in [(340, 680), (340, 3_400), (1_500, 15_000), (20, 200)] {
        let seconds = come_backs(rate, MAX_RETRY_AFTER_SECONDS, refused);
        let peak = *seconds.iter().max().unwrap();
        let share = f64::from(peak) / rate as f64;
        assert!(share < 0.3, "{refused} refused at {rate}/s: {share} of the usual in one second");
        let last = seconds.iter().rposition(|n| *n > 0).unwrap();
        let least = refused as f64 / (rate as f64 * 0.2);
        assert!((last as f64) < 1.5 * least + 2.0, "{last} s where {least} would do");
    }
}

#[test]
fn the_more_wait_the_longer_they_are_told_to() {
    let mean = |refused| {
        let seconds = come_backs(340, 60, refused);
        let sum: usize = seconds.iter().enumerate().map(|(s, n)| s * *n as usize).sum();
        sum as f64 / refused as f64
    };
    let means = [10, 300, 1_000, 3_000].map(mean);
    assert!(means.windows(2).all(|pair| pair[0] < pair[1]), "{means:?}");
    assert!(means[0] < 1.5, "few are told to come soon: {means:?}");
}

#[test]
fn an_outage_is_not_taken_for_the_usual_rate() {
    let (mut calendar, now) = after_a_minute(340, 60);
    let before = calendar.baseline_per_second();
    // A minute with nothing served.
    let _ = calendar.advise_seconds(now + 60 * SECOND, None);
    assert!(
        calendar.baseline_per_second() > 0.5 * before,
        "{} after {before}",
        calendar.baseline_per_second()
    );
}

#[test]
fn two_sidecars_fill_different_seconds() {
    let told = |seed| {
        let mut calendar = RetryAfterSchedule::new(seed, 60 * SECOND);
        (0..200).map(|_| calendar.advise_seconds(SECOND, None)).collect::<Vec<_>>()
    };
    assert_ne!(told(1), told(2));
    assert_eq!(told(1), told(1));
}

#[test]
fn a_keyed_request_is_told_to_come_well_within_its_window() {
    let (mut calendar, now) = after_a_minute(340, 60);
    let told: Vec<u64> =
        (0..5_000).map(|_| calendar.advise_seconds(now, Some(20 * SECOND))).collect();
    assert_eq!(told.iter().max(), Some(&5));
    assert!(calendar.advise_seconds(now, None) > 5, "others make room for them");
}

proptest! {
    /// Whatever comes in whatever order: advice is whole seconds within its bounds, and the
    /// ledger holds just those whose time is still ahead.
    #[test]
    fn advice_is_bounded_and_the_ledger_adds_up(
        seed: u64,
        most in 0u64..2_000,
        steps in proptest::collection::vec((0u64..5_000_000_000, 0u8..4), 1..400),
    ) {
        let mut calendar = RetryAfterSchedule::new(seed, most * SECOND);
        let most = most.clamp(1, MAX_RETRY_AFTER_SECONDS);
        let (mut now, mut due) = (0, Vec::new());
        for (passed, what) in steps {
            now += passed;
            match what {
                0 => calendar.record_served(now),
                // The clock stands still, or jumps.
                1 => now += passed * 500,
                _ => {
                    let told = calendar.advise_seconds(now, None);
                    prop_assert!((1..=most).contains(&told));
                    due.push(now / SECOND + told);
                }
            }
            calendar.record_served(now);
            due.retain(|second| *second >= now / SECOND);
            prop_assert_eq!(calendar.expected_clients(), due.len() as u64);
        }
        // Time that goes back changes nothing.
        calendar.record_served(0);
        prop_assert_eq!(calendar.expected_clients(), due.len() as u64);
    }
}
