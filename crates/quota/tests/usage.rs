//! What passes a share's limit, and what is reckoned as need.

use mintshelf_lease::timing::{Nanos, MS, SECOND};
use mintshelf_quota::client::Limit;
use mintshelf_quota::usage::Usage;
use proptest::prelude::*;

const WINDOW: Nanos = 500 * MS;

fn until(units: u64, until: Nanos, floor: u64) -> Limit {
    Limit { units, until, floor }
}

#[test]
fn past_the_end_of_a_share_the_floor_is_left() {
    let mut usage = Usage::new(0, until(5, SECOND, 2), WINDOW);
    assert_eq!((0..9).filter(|_| usage.take(SECOND - 1)).count(), 5);
    // What is in use goes on, and nothing new is taken before it has come down.
    for left in [4, 3, 2] {
        assert!(!usage.take(SECOND));
        usage.give_back(SECOND, 10 * MS);
        assert_eq!(usage.used(), left);
    }
    assert!(!usage.take(SECOND));
    usage.give_back(SECOND, 10 * MS);
    assert!(usage.take(SECOND));
    usage.set(until(4, 9 * SECOND, 2));
    assert!(usage.take(SECOND) && usage.take(SECOND) && !usage.take(SECOND));
}

#[test]
fn those_turned_away_need_as_much_as_they_would_have_held() {
    let mut usage = Usage::new(0, until(1, Nanos::MAX, 1), WINDOW);
    assert_eq!(usage.need(0), 0);
    assert!(usage.take(0));
    usage.give_back(50 * MS, 50 * MS);
    assert!(usage.take(60 * MS));
    // A hundred in half a second that take 50 ms each: ten at once, and the one in use.
    (0..100).for_each(|_| assert!(!usage.take(100 * MS)));
    assert_eq!(usage.need(100 * MS), 11 + 11 / 4 + 1);
    usage.give_back(110 * MS, 50 * MS);
    // Forgotten after its windows; then there is no need at all.
    assert!(usage.need(3 * WINDOW - 1) > 0);
    assert_eq!(usage.need(4 * WINDOW), 0);
}

#[test]
fn a_long_silence_is_turned_in_bounded_time() {
    let mut usage = Usage::new(0, until(3, Nanos::MAX, 3), 1);
    assert!(usage.take(0));
    assert_eq!(usage.need(u64::MAX / 2), 2);
    assert!(usage.take(u64::MAX / 2 + 1));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Never more than the limit at the time of taking, never a need under what is in use, and
    /// never one over what was asked for with its headroom.
    #[test]
    fn limits_hold_and_needs_follow(
        events in prop::collection::vec((0u8..5, 0u64..200, 0u64..12, 0u64..800), 1..300),
    ) {
        let mut limit = until(4, SECOND, 1);
        let mut usage = Usage::new(0, limit, WINDOW);
        let (mut now, mut open) = (0, Vec::new());
        let (mut given_back, mut refused) = (Vec::new(), Vec::new());
        for (event, pause, units, long) in events {
            now += pause * MS;
            match event {
                0 => {
                    limit = until(units, now + long * MS, units.min(1));
                    usage.set(limit);
                }
                1 if !open.is_empty() => {
                    let since = open.remove(0);
                    usage.give_back(now, now - since);
                    given_back.push(now);
                }
                _ => {
                    let before = usage.used();
                    let taken = usage.take(now);
                    prop_assert_eq!(taken, before < limit.at(now));
                    if taken { &mut open } else { &mut refused }.push(now);
                }
            }
            prop_assert_eq!(usage.used(), open.len() as u64);
            let need = usage.need(now);
            prop_assert!(need >= usage.used());
            let lately = |times: &[Nanos]| times.iter().filter(|at| now - **at <= 3 * WINDOW).count();
            let most = (open.len() + lately(&given_back) + lately(&refused)) as u64;
            prop_assert!(need <= most + most / 4 + 1, "{need} for {most}");
        }
    }
}
