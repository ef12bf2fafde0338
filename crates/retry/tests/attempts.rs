//! Time-outs and hedges of one class: their bounds, and what a time-out leads to.

use mintshelf_balancer::api::{Effect, Nanos};
use mintshelf_retry::attempts::{AttemptCounts, AttemptTracker, RetryConditions, TimeoutAction};
use mintshelf_retry::policy::{HedgeDelay, HedgePolicy, RetryPolicy};
use mintshelf_retry::schedule::{AttemptTimeout, TimeoutBounds};

const MS: Nanos = 1_000_000;

fn tracker(
    attempt_timeout: AttemptTimeout,
    effect: Effect,
    hedge: Option<HedgePolicy>,
) -> AttemptTracker {
    let policy = RetryPolicy {
        effect,
        attempt_timeout,
        timeout_bounds: TimeoutBounds { min: 50 * MS, max: 600 * MS },
        max_attempts: 3,
        hedge,
        connect_timeout: MS,
        idle_timeout: MS,
    };
    AttemptTracker::new(policy, 0)
}

fn conditions(has_budget: bool, has_other_endpoint: bool) -> RetryConditions {
    RetryConditions { has_budget, has_other_endpoint }
}

#[test]
fn an_adaptive_timeout_follows_the_latencies_within_its_bounds() {
    let mut tracker = tracker(AttemptTimeout::Adaptive, Effect::Safe, None);
    assert_eq!(tracker.attempt_timeout(0, 0), Some(100 * MS));
    assert_eq!(tracker.attempt_timeout(0, 2), None, "the last attempt has all that is left");
    for number in 0..1000 {
        tracker.record_response(number, 3 * MS);
    }
    assert_eq!(tracker.attempt_timeout(MS, 0), Some(50 * MS));
    for number in 0..1000 {
        tracker.record_response(MS + number, 100 * MS);
    }
    let timeout = tracker.attempt_timeout(2 * MS, 1).unwrap();
    assert!((295 * MS..310 * MS).contains(&timeout), "{timeout}");
    for number in 0..10_000 {
        tracker.record_response(3 * MS + number, 9_000 * MS);
    }
    assert_eq!(tracker.attempt_timeout(4 * MS, 1), Some(600 * MS));
}

#[test]
fn an_attempt_is_cancelled_only_where_a_retry_can_follow() {
    let mut safe = tracker(AttemptTimeout::Adaptive, Effect::Safe, None);
    assert!(matches!(
        safe.on_timeout(0, 40 * MS, conditions(false, true)),
        TimeoutAction::RecheckAfter(_)
    ));
    assert!(matches!(
        safe.on_timeout(0, 40 * MS, conditions(true, false)),
        TimeoutAction::RecheckAfter(_)
    ));
    assert_eq!(safe.on_timeout(0, 40 * MS, conditions(true, true)), TimeoutAction::Cancel);
    let mut idempotent = tracker(AttemptTimeout::Fixed(MS), Effect::Idempotent, None);
    assert_eq!(idempotent.on_timeout(0, MS, conditions(false, false)), TimeoutAction::Cancel);
    let mut unsafe_class = tracker(AttemptTimeout::Fixed(MS), Effect::Unsafe, None);
    assert_eq!(unsafe_class.attempt_timeout(0, 0), None);
    assert_eq!(idempotent.counts(), AttemptCounts { timed_out: 1, hedged: 0 });
}

#[test]
fn hedges_stay_within_their_share() {
    let hedge = Some(HedgePolicy { delay: HedgeDelay::P95, max_share: 0.1 });
    let mut tracker = tracker(AttemptTimeout::Deadline, Effect::Safe, hedge);
    assert_eq!(tracker.hedge_delay(0), None, "nothing is known yet");
    let mut sent = 0;
    for number in 0..1000 {
        tracker.record_request();
        tracker.record_response(number, 2 * MS);
        sent += u32::from(tracker.try_hedge());
    }
    assert!((100..=104).contains(&sent), "{sent}");
    assert!(tracker.hedge_delay(MS).is_some());
}
