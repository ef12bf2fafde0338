//! Division, budgets and buckets, by properties and against a plain way to do the same.

use mintshelf_lease::timing::{ClockError, Nanos, MS, SECOND};
use mintshelf_quota::client::Limit;
use mintshelf_quota::config::{Budget, BudgetProblem};
use mintshelf_quota::divide::{divide, settle, Claim};
use mintshelf_quota::token_bucket::Bucket;
use proptest::prelude::*;

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0u64..500, 0u32..9).prop_map(|(need, weight)| Claim { need, weight });
    prop::collection::vec(claim, 0..24)
}

/// By fractions of a unit, one little step after another: the textbook's filling.
fn plainly(total: u64, claims: &[Claim]) -> Vec<f64> {
    let mut parts = vec![0.0; claims.len()];
    let mut left = total as f64;
    loop {
        let open: Vec<usize> =
            (0..claims.len()).filter(|n| parts[*n] + 1e-9 < claims[*n].need as f64).collect();
        if open.is_empty() || left < 1e-9 {
            return parts;
        }
        let weight = |n: &usize| f64::from(claims[*n].weight.max(1));
        let weights: f64 = open.iter().map(weight).sum();
        // Until the first is full, or nothing is left.
        let room = |n: &usize| (claims[*n].need as f64 - parts[*n]) / weight(n);
        let step = open.iter().map(room).fold(left / weights, f64::min);
        for n in &open {
            parts[*n] += step * weight(n);
        }
        left -= step * weights;
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parts_are_exact_and_within_a_unit_of_the_fair_ones(
        total in 0u64..4_000,
        claims in claims(),
    ) {
        let parts = divide(total, &claims);
        let needs: u64 = claims.iter().map(|claim| claim.need).sum();
        prop_assert_eq!(parts.iter().sum::<u64>(), total.min(needs));
        for ((part, fair), claim) in parts.iter().zip(plainly(total, &claims)).zip(&claims) {
            prop_assert!(*part <= claim.need);
            prop_assert!((*part as f64 - fair).abs() <= 1.0 + 1e-6, "{part} for {fair}");
        }
    }

    #[test]
    fn huge_figures_do_not_overflow(
        total in (1u64 << 39)..(1 << 40),
        needs in prop::collection::vec(any::<u64>(), 1..30),
    ) {
        let claims: Vec<_> = needs.iter().map(|need| Claim { need: *need, weight: u32::MAX }).collect();
        let sum: u128 = needs.iter().map(|need| u128::from(*need)).sum();
        let given: u128 = divide(total, &claims).into_iter().map(u128::from).sum();
        prop_assert_eq!(given, sum.min(u128::from(total)));
    }

    /// Whoever shares the whole and however it changes hands: in every interval no more than
    /// rate x length + one burst.
    #[test]
    fn buckets_together_keep_the_whole_rate(
        moves in prop::collection::vec((0u64..400, 0usize..3, 0u64..=90, 0u64..300), 1..60),
    ) {
        const WHOLE: u64 = 90;
        const FILL: Nanos = 500 * MS;
        let floor = Limit { units: 0, until: Nanos::MAX, floor: 0 };
        let mut buckets = vec![Bucket::new(0, floor, FILL); 3];
        let mut limits = [floor; 3];
        let mut admitted: Vec<Nanos> = Vec::new();
        let mut now = 0;
        for (pause, who, units, long) in moves {
            for _ in 0..pause / 5 {
                now += 5 * MS;
                for bucket in &mut buckets {
                    while bucket.admit(now) {
                        admitted.push(now);
                    }
                }
            }
            // As much as the others leave, or less.
            let others: u64 = (0..3).filter(|n| *n != who).map(|n| limits[n].at(now)).sum();
            let units = units.min(WHOLE - others);
            limits[who] = Limit { units, until: now + long * MS, floor: 0 };
            buckets[who].set(now, limits[who]);
        }
        for from in 0..admitted.len() {
            for to in from..admitted.len() {
                let length = admitted[to] - admitted[from];
                let most = (WHOLE * length + WHOLE * FILL) / SECOND;
                prop_assert!((to - from + 1) as u64 <= most + 1, "{from} to {to} of {admitted:?}");
            }
        }
    }
}

#[test]
fn small_steps_are_not_carried_to_and_fro() {
    let settled =
        [(0, 1), (9, 0), (100, 80), (100, 95), (100, 110), (7, 6)].map(|(a, b)| settle(a, b));
    assert_eq!(settled, [1, 0, 80, 100, 110, 6]);
}

#[test]
fn a_budget_that_can_not_be_kept_is_refused_with_the_sum() {
    let good = Budget {
        whole: 100,
        floor: 2,
        members: 50,
        reserve: 0,
        span: SECOND,
        hold: SECOND,
        error: ClockError::default(),
    };
    assert_eq!(good.check(), Ok(()));
    assert_eq!((good.divisible(), good.divided()), (0, 0));
    let floors = Budget { floor: 3, ..good }.check().unwrap_err();
    let said = floors.to_string();
    assert!(said.contains("3 x members 50 is 150, over the whole of 100"), "{said}");
    assert!(said.contains("lower floor to 2"), "{said}");
    for (bad, what) in [
        (Budget { whole: 0, ..good }, BudgetProblem::Whole(0)),
        (Budget { members: 0, ..good }, BudgetProblem::Members(0)),
        (Budget { members: 5_000, ..good }, BudgetProblem::Members(5_000)),
        (Budget { reserve: 901, ..good }, BudgetProblem::Reserve(901)),
        (Budget { span: MS, ..good }, BudgetProblem::Span(MS)),
        (Budget { hold: u64::MAX, ..good }, BudgetProblem::Hold(u64::MAX)),
    ] {
        assert_eq!(bad.check(), Err(what));
    }
}

#[test]
fn an_empty_bucket_tells_when_the_next_token_is_there() {
    let limit = Limit { units: 4, until: 10 * SECOND, floor: 0 };
    let mut bucket = Bucket::new(0, limit, SECOND);
    assert_eq!(bucket.next_in(0), Some(SECOND / 4));
    assert!(!bucket.admit(SECOND / 4 - 1) && bucket.admit(SECOND / 4));
    // The span is over, and the floor is nothing.
    assert_eq!(bucket.next_in(20 * SECOND), None);
    assert!(!bucket.admit(20 * SECOND));
}
