//! The checker against a model that knows nothing of it: every kind of failure at every point
//! of a schedule, and all of the extremes one after the other.

use mintshelf_balancer::api::{Effect, Nanos};
use mintshelf_retry::duration::format_nanos;
use mintshelf_retry::schedule::{AttemptSchedule, AttemptTimeout, Backoff, DedupGroup, RetryOn};
use mintshelf_retry::violation::SafetyViolation;
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn keyed() -> AttemptSchedule {
    AttemptSchedule {
        effect: Effect::Idempotent,
        dedup_window: 20 * S,
        dedup_group: DedupGroup::Cluster,
        has_single_dedup_group: true,
        latency_objective: 750 * MS,
        deadline: 30 * S,
        max_attempts: 3,
        connect_timeout: 200 * MS,
        attempt_timeout: AttemptTimeout::Fixed(5 * S),
        backoff: Backoff::default(),
        retry_on: RetryOn::MayHaveRun,
        is_hedged: false,
        allows_parallel_attempts: false,
        tick: 5 * MS,
        max_retry_after: 5 * S,
        client_retries: 0,
    }
}

/// How one attempt ends, in the model.
#[derive(Debug, Clone, Copy)]
enum Fate {
    /// No connection, after this part of the longest wait.
    NotConnected(f64),
    /// Connected after such a part, broken off or silent after such a part of its own time.
    Broken(f64, f64),
}

/// What a request went through: when each attempt could have had its effect.
#[derive(Debug, Default)]
struct Seen {
    ran: Vec<Nanos>,
    /// When its client heard the end.
    over: Nanos,
}

/// Carries a request out as the settings say, with what befalls it given from outside.
fn carry(plan: &AttemptSchedule, start: Nanos, fates: &[Fate], pauses: &[f64], hold: f64) -> Seen {
    let part = |span: Nanos, part: f64| (span as f64 * part) as Nanos;
    let deadline = start + plan.deadline;
    let (mut now, mut seen) = (start, Seen { over: deadline, ..Seen::default() });
    let mut may_have_run = false;
    for (number, fate) in fates.iter().take(plan.max_attempts as usize).enumerate() {
        if number > 0 {
            let bound = plan
                .backoff
                .initial
                .saturating_mul(1 << (number - 1).min(20))
                .min(plan.backoff.max);
            // A pause that could outlast the request is left out.
            now += if now + bound < deadline { part(bound, pauses[number]) } else { 0 };
            // Held for want of a server, which ends at a part of the aim from the arrival.
            let until = start + plan.latency_objective / 2;
            now = now.max(start + part(until - start, hold));
        }
        if now >= deadline {
            break;
        }
        if may_have_run && (plan.effect == Effect::Unsafe || plan.retry_on == RetryOn::NeverRan) {
            break;
        }
        let last = number + 1 == plan.max_attempts as usize;
        let own = match plan.attempt_timeout {
            _ if last => plan.deadline,
            AttemptTimeout::Deadline => plan.deadline,
            AttemptTimeout::Fixed(span) => span,
            AttemptTimeout::Adaptive => plan.adaptive_bounds().max,
        };
        match *fate {
            Fate::NotConnected(wait) => now += part(plan.connect_timeout, wait),
            Fate::Broken(wait, took) => {
                let connected = now + part(plan.connect_timeout, wait);
                if connected >= deadline {
                    break;
                }
                seen.ran.push(connected);
                may_have_run = true;
                now = (connected + part(own, took)).min(deadline);
            }
        }
    }
    seen.over = now.min(deadline);
    seen
}

/// Times at which one request's effect may begin, its client's own tries included.
fn effects(
    plan: &AttemptSchedule,
    fates: &[Fate],
    pauses: &[f64],
    hold: f64,
    waits: f64,
) -> Vec<Nanos> {
    let (mut start, mut ran) = (0, Vec::new());
    for _ in 0..=plan.client_retries {
        let seen = carry(plan, start, fates, pauses, hold);
        ran.extend(seen.ran);
        start = seen.over + (plan.max_retry_after as f64 * waits) as Nanos;
    }
    ran
}

fn breaks_a_rule(plan: &AttemptSchedule, ran: &[Nanos]) -> bool {
    let Some(first) = ran.first() else { return false };
    match plan.effect {
        Effect::Safe => false,
        Effect::Unsafe => ran.len() > 1,
        // The window begins when a server may first have run it.
        Effect::Idempotent => ran.iter().any(|at| at - first >= plan.dedup_window),
    }
}

/// Whether any of the extremes, in any order, breaks a rule: a search that shares nothing with
/// the checker's sums.
fn some_extreme_breaks(plan: &AttemptSchedule) -> bool {
    let kinds = [
        Fate::NotConnected(1.0),
        Fate::Broken(0.0, 0.0),
        Fate::Broken(0.0, 1.0),
        Fate::Broken(1.0, 1.0),
        Fate::Broken(1.0, 0.999),
        Fate::Broken(0.0, 0.999),
    ];
    let count = kinds.len().pow(plan.max_attempts);
    (0..count).any(|mut code| {
        let fates: Vec<Fate> = (0..plan.max_attempts)
            .map(|_| {
                let kind = kinds[code % kinds.len()];
                code /= kinds.len();
                kind
            })
            .collect();
        [[0.0; 8], [1.0; 8]].iter().any(|pauses| {
            [0.0, 1.0].iter().any(|hold| {
                let ran = effects(plan, &fates, pauses, *hold, 1.0);
                breaks_a_rule(plan, &ran)
            })
        })
    })
}

#[test]
fn only_the_sum_of_all_parts_breaks_the_window() {
    let plan = AttemptSchedule {
        attempt_timeout: AttemptTimeout::Fixed(8 * S),
        max_attempts: 3,
        ..keyed()
    };
    assert_eq!(plan.violations(), []);
    let plan = AttemptSchedule { backoff: Backoff { initial: 1800 * MS, max: 3600 * MS }, ..plan };
    let violations = plan.violations();
    let [SafetyViolation::RetryAfterWindow { attempt: 3, at, .. }] = &violations[..] else {
        panic!("{violations:?}")
    };
    assert_eq!(*at, 22 * S);
    assert_eq!(
        violations[0].describe(&plan),
        "attempt 3 could reach a server at 22 s (2 x 8 s per try + 2 x 200 ms connecting + 5.4 s \
         backoff + 200 ms to connect again); the window is 20 s"
    );
    // Without any one of the three it holds.
    for less in [
        AttemptSchedule { backoff: Backoff::default(), ..plan.clone() },
        AttemptSchedule { attempt_timeout: AttemptTimeout::Fixed(4 * S), ..plan.clone() },
        AttemptSchedule {
            attempt_timeout: AttemptTimeout::Fixed(6900 * MS),
            connect_timeout: 0,
            ..plan.clone()
        },
        AttemptSchedule { max_attempts: 2, ..plan.clone() },
        AttemptSchedule { deadline: 19 * S, ..plan.clone() },
        AttemptSchedule {
            retry_on: RetryOn::NeverRan,
            attempt_timeout: AttemptTimeout::Deadline,
            ..plan.clone()
        },
    ] {
        assert_eq!(less.violations(), [], "{less:?}");
    }
    let slow = AttemptSchedule {
        attempt_timeout: AttemptTimeout::Fixed(6900 * MS),
        connect_timeout: 400 * MS,
        ..plan
    };
    assert_eq!(slow.violations().len(), 1, "the connection alone makes the difference");
}

#[test]
fn the_measured_file_is_refused() {
    let plan = AttemptSchedule {
        deadline: 300 * S,
        max_attempts: 6,
        connect_timeout: 30 * S,
        attempt_timeout: AttemptTimeout::Deadline,
        ..keyed()
    };
    let sentence = plan.violations()[0].describe(&plan);
    assert!(sentence.contains("no per-try time-out") && sentence.contains("300 s"), "{sentence}");
}

#[test]
fn a_client_of_its_own_counts() {
    let plan =
        AttemptSchedule { deadline: 4 * S, attempt_timeout: AttemptTimeout::Deadline, ..keyed() };
    assert_eq!(plan.violations(), []);
    assert_eq!(AttemptSchedule { client_retries: 1, ..plan.clone() }.violations(), []);
    let plan = AttemptSchedule { client_retries: 2, ..plan };
    let violations = plan.violations();
    assert!(
        matches!(&violations[..], [SafetyViolation::ClientRetryAfterWindow { at, .. }] if *at == 22 * S)
    );
}

#[test]
fn what_an_unsafe_class_may_not_have() {
    let flash = AttemptSchedule {
        effect: Effect::Unsafe,
        attempt_timeout: AttemptTimeout::Deadline,
        retry_on: RetryOn::NeverRan,
        deadline: 6 * S,
        ..keyed()
    };
    assert_eq!(flash.violations(), []);
    let with = |plan: AttemptSchedule| plan.violations();
    assert_eq!(
        with(AttemptSchedule { retry_on: RetryOn::MayHaveRun, ..flash.clone() }),
        [SafetyViolation::UnsafeRetry]
    );
    assert_eq!(
        with(AttemptSchedule { is_hedged: true, allows_parallel_attempts: true, ..flash.clone() }),
        [SafetyViolation::HedgeNotSafe(Effect::Unsafe)]
    );
    assert_eq!(
        with(AttemptSchedule { attempt_timeout: AttemptTimeout::Fixed(S), ..flash }),
        [SafetyViolation::UselessAttemptTimeout]
    );
    let crossing = AttemptSchedule {
        dedup_group: DedupGroup::Zone,
        has_single_dedup_group: false,
        is_hedged: true,
        ..keyed()
    };
    assert_eq!(
        with(crossing),
        [SafetyViolation::HedgeCrossesDedupGroup, SafetyViolation::HedgeNotAllowed]
    );
    let safe = AttemptSchedule { effect: Effect::Safe, ..keyed() };
    assert_eq!(
        with(AttemptSchedule { attempt_timeout: AttemptTimeout::Fixed(31 * S), ..safe.clone() }),
        [SafetyViolation::AttemptTimeoutOverDeadline]
    );
    let fit = AttemptSchedule { attempt_timeout: AttemptTimeout::Fixed(15 * S), ..safe };
    assert_eq!(
        with(fit.clone()),
        [SafetyViolation::AttemptCannotStart { attempt: 3, start: 30 * S }]
    );
    assert_eq!(fit.fitting_attempts(), 2);
}

#[test]
fn spans_are_told_as_people_write_them() {
    let spans = [0, 1, 400 * MS, S, 1200 * MS, 21_400 * MS, 300 * S];
    let words = spans.map(format_nanos);
    assert_eq!(words, ["0 s", "1 ms", "400 ms", "1 s", "1.2 s", "21.4 s", "300 s"]);
}

fn plans() -> impl Strategy<Value = AttemptSchedule> {
    let effect = prop::sample::select(vec![
        Effect::Safe,
        Effect::Idempotent,
        Effect::Idempotent,
        Effect::Unsafe,
    ]);
    let per_try = prop_oneof![
        Just(AttemptTimeout::Deadline),
        Just(AttemptTimeout::Adaptive),
        (50u64..12_000).prop_map(|ms| AttemptTimeout::Fixed(ms * MS)),
    ];
    let retry_on = prop::sample::select(vec![RetryOn::MayHaveRun, RetryOn::NeverRan]);
    (
        (effect, per_try, retry_on, any::<bool>()),
        (1u32..=4, 1_000u64..40_000, 1u64..3_000, 0u64..4_000, 0u64..8_000),
        (5_000u64..40_000, 0u32..3, 1u64..8_000, 10u64..2_000),
    )
        .prop_map(|((effect, per_try, retry_on, hedged), a, b)| {
            let (attempts, deadline, connect, first, max) = a;
            let (window, client_retries, advice, latency_objective) = b;
            AttemptSchedule {
                effect,
                dedup_window: window * MS,
                max_attempts: attempts,
                deadline: deadline * MS,
                latency_objective: (latency_objective * MS).min(deadline * MS),
                connect_timeout: connect * MS,
                attempt_timeout: per_try,
                backoff: Backoff { initial: first * MS, max: max.max(first) * MS },
                retry_on,
                is_hedged: hedged && effect == Effect::Safe,
                allows_parallel_attempts: true,
                max_retry_after: advice * MS,
                client_retries: if effect == Effect::Idempotent { client_retries } else { 0 },
                ..keyed()
            }
        })
}

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(23);
    ProptestConfig { cases, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(4_000))]

    /// Whatever befalls an accepted schedule, at whatever point, no rule breaks.
    #[test]
    fn no_accepted_schedule_breaks_a_rule(
        plan in plans(),
        fates in prop::collection::vec((any::<bool>(), 0.0f64..=1.0, 0.0f64..=1.0), 4),
        pauses in prop::collection::vec(0.0f64..=1.0, 8),
        hold in 0.0f64..=1.0,
        waits in 0.0f64..=1.0,
    ) {
        let accepted = plan.violations().iter().all(|violation| !violation.duplicates_effect());
        let fates: Vec<Fate> = fates.into_iter().map(|(connects, a, b)| match connects {
            true => Fate::Broken(a, b),
            false => Fate::NotConnected(a),
        }).collect();
        let ran = effects(&plan, &fates, &pauses, hold, waits);
        prop_assert!(!accepted || !breaks_a_rule(&plan, &ran), "{:?} {:?}", fates, ran);
    }

    /// No attempt starts later than the schedule says.
    #[test]
    fn no_attempt_is_later_than_told(
        plan in plans(),
        fates in prop::collection::vec((any::<bool>(), 0.0f64..=1.0, 0.0f64..=1.0), 4),
        pauses in prop::collection::vec(0.0f64..=1.0, 8),
    ) {
        let fates: Vec<Fate> = fates.into_iter().map(|(connects, a, b)| match connects {
            true => Fate::Broken(a, b),
            false => Fate::NotConnected(a),
        }).collect();
        let steps = plan.worst_case();
        for (n, at) in carry(&plan, 0, &fates, &pauses, 0.0).ran.iter().enumerate() {
            // The n-th that may have run is the n-th attempt or a later one.
            let latest = steps.last().map_or(0, |step| step.latest_start);
            prop_assert!(*at <= latest + plan.connect_timeout, "{} at {}", n, at);
        }
        for pair in steps.windows(2) {
            prop_assert!(pair[0].latest_start <= pair[1].latest_start && pair[0].latest_end <= plan.deadline);
        }
        prop_assert!(plan.to_string().lines().count() > steps.len());
    }
}

/// All small cases: what is accepted never breaks a rule, and few of the harmless are refused.
#[test]
fn the_checker_refuses_few_harmless_schedules() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let mut runner = TestRunner::new(config(1));
    let (mut harmless, mut refused, mut harmful) = (0, 0, 0);
    for _ in 0..3_000 {
        let plan = plans().new_tree(&mut runner).unwrap().current();
        if plan.effect != Effect::Idempotent {
            continue;
        }
        let accepted = plan.violations().iter().all(|violation| !violation.duplicates_effect());
        match some_extreme_breaks(&plan) {
            true => {
                harmful += 1;
                assert!(!accepted, "accepted, and breaks a rule: {plan:?}");
            }
            false => {
                harmless += 1;
                refused += u32::from(!accepted);
            }
        }
    }
    println!("{harmless} harmless of {}, {refused} of them refused", harmless + harmful);
    assert!(harmless > 300 && harmful > 300, "{harmless} {harmful}");
    assert!(f64::from(refused) < 0.05 * f64::from(harmless), "{refused} of {harmless}");
}
