//! Revisions go one way, but for a service that is proved to count anew.

use mintshelf_discovery::revision::*;
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn held(revision: u64) -> Revision {
    let mut held = Revision::default();
    held.taken(revision);
    held
}

#[test]
fn what_is_as_new_or_newer_is_taken() {
    for revision in [41, 42, u64::MAX] {
        assert_eq!(held(41).judge(ms(0), revision, false), Verdict::Take);
    }
}

#[test]
fn a_service_that_lags_and_catches_up_undoes_nothing() {
    let mut revision = held(41);
    assert_eq!(revision.judge(ms(0), 39, false), Verdict::Doubt);
    assert_eq!(revision.judge(ms(300), 39, true), Verdict::Doubt);
    assert_eq!(revision.judge(ms(900), 40, true), Verdict::Doubt);
    assert_eq!(revision.judge(ms(1_250), 41, true), Verdict::Take);
}

#[test]
fn a_service_that_counts_anew_is_believed_in_a_second() {
    let mut revision = held(41);
    assert_eq!(revision.judge(ms(0), 1, true), Verdict::Doubt);
    assert_eq!(revision.judge(ms(999), 2, true), Verdict::Doubt);
    assert_eq!(revision.judge(ms(1_000), 2, true), Verdict::Take);
    revision.taken(2);
    assert_eq!(revision.held(), 2);
    assert_eq!(revision.judge(ms(1_001), 1, true), Verdict::Doubt);
}

proptest! {
    /// Checked from outside: a lower number is taken only after a complete list, a second at the
    /// least before it, was lower too, and none in between was lower than the one before it or
    /// as new as what is held.
    #[test]
    fn a_lower_number_is_taken_only_with_proof(
        answers in proptest::collection::vec((0..700u64, 0..6u64, any::<bool>()), 1..40),
    ) {
        let mut revision = held(3);
        let mut now = 0;
        // Complete lower lists since the last break in their row.
        let mut row: Vec<(u64, u64)> = Vec::new();
        for (after, number, complete) in answers {
            now += after;
            let before = revision.held();
            let verdict = revision.judge(ms(now), number, complete);
            if number >= before {
                prop_assert_eq!(verdict, Verdict::Take);
                row.clear();
            } else if complete {
                if row.last().is_some_and(|(_, last)| number < *last) {
                    row.clear();
                }
                row.push((now, number));
                let proved = now - row[0].0 >= PROOF.as_millis() as u64;
                prop_assert_eq!(verdict == Verdict::Take, proved);
            } else {
                prop_assert_eq!(verdict, Verdict::Doubt);
            }
            if verdict == Verdict::Take {
                revision.taken(number);
                row.clear();
            }
        }
    }
}
