//! The checker against a model that knows nothing of it: every kind of failure at every point
//! of a schedule, and all of the extremes one after the other.

use mintshelf_balancer::api::{Effect, Nanos};
use mintshelf_retry::schedule::{told, AttemptTimeout, DedupGroup, Plan, RetryOn, SafetyViolation};
use proptest::prelude::*;

const MS: Nanos = 1_000_000;
const S: Nanos = 1_000 * MS;

fn keyed() -> Plan {
    Plan {
        effect: Effect::Idempotent,
        window: 20 * S,
        group: DedupGroup::Cluster,
        one_group: true,
        latency_objective: 750 * MS,
        deadline: 30 * S,
        attempts: 3,
        connect: 200 * MS,
        per_try: AttemptTimeout::Fixed(5 * S),
        backoff: [0, 0],
        retry_on: RetryOn::MayHaveRun,
        hedged: false,
        two_out: false,
        tick: 5 * MS,
        advice: 5 * S,
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
fn carry(plan: &Plan, start: Nanos, fates: &[Fate], pauses: &[f64], hold: f64) -> Seen {
    let part = |span: Nanos, part: f64| (span as f64 * part) as Nanos;
    let deadline = start + plan.deadline;
    let (mut now, mut seen) = (start, Seen { over: deadline, ..Seen::default() });
    let mut may_have_run = false;
    for (number, fate) in fates.iter().take(plan.attempts as usize).enumerate() {
        if number > 0 {
            let bound =
                plan.backoff[0].saturating_mul(1 << (number - 1).min(20)).min(plan.backoff[1]);
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
        let last = number + 1 == plan.attempts as usize;
        let own = match plan.per_try {
            _ if last => plan.deadline,
            AttemptTimeout::Whole => plan.deadline,
            AttemptTimeout::Fixed(span) => span,
            AttemptTimeout::Adaptive => plan.adaptive_bounds()[1],
        };
        match *fate {
            Fate::NotConnected(wait) => now += part(plan.connect, wait),
            Fate::Broken(wait, took) => {
                let connected = now + part(plan.connect, wait);
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
fn effects(plan: &Plan, fates: &[Fate], pauses: &[f64], hold: f64, waits: f64) -> Vec<Nanos> {
    let (mut start, mut ran) = (0, Vec::new());
    for _ in 0..=plan.client_retries {
        let seen = carry(plan, start, fates, pauses, hold);
        ran.extend(seen.ran);
        start = seen.over + (plan.advice as f64 * waits) as Nanos;
    }
    ran
}

fn breaks_a_rule(plan: &Plan, ran: &[Nanos]) -> bool {
    let Some(first) = ran.first() else { return false };
    match plan.effect {
        Effect::Safe => false,
        Effect::Unsafe => ran.len() > 1,
        // The window begins when a server may first have run it.
        Effect::Idempotent => ran.iter().any(|at| at - first >= plan.window),
    }
}

/// Whether any of the extremes, in any order, breaks a rule: a search that shares nothing with
/// the checker's sums.
fn some_extreme_breaks(plan: &Plan) -> bool {
    let kinds = [
        Fate::NotConnected(1.0),
        Fate::Broken(0.0, 0.0),
        Fate::Broken(0.0, 1.0),
        Fate::Broken(1.0, 1.0),
        Fate::Broken(1.0, 0.999),
        Fate::Broken(0.0, 0.999),
    ];
    let count = kinds.len().pow(plan.attempts);
    (0..count).any(|mut code| {
        let fates: Vec<Fate> = (0..plan.attempts)
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
    let plan = Plan { per_try: AttemptTimeout::Fixed(8 * S), attempts: 3, ..keyed() };
    assert_eq!(plan.breaches(), []);
    let plan = Plan { backoff: [1800 * MS, 3600 * MS], ..plan };
    let breaches = plan.breaches();
    let [SafetyViolation::AfterWindow { attempt: 3, at, .. }] = &breaches[..] else {
        panic!("{breaches:?}")
    };
    assert_eq!(*at, 22 * S);
    assert_eq!(
        breaches[0].sentence(&plan),
        "attempt 3 could reach a server at 22 s (2 x 8 s per try + 2 x 200 ms connecting + 5.4 s \
         backoff + 200 ms to connect again); the window is 20 s"
    );
    // Without any one of the three it holds.
    for less in [
        Plan { backoff: [0, 0], ..plan.clone() },
        Plan { per_try: AttemptTimeout::Fixed(4 * S), ..plan.clone() },
        Plan { per_try: AttemptTimeout::Fixed(6900 * MS), connect: 0, ..plan.clone() },
        Plan { attempts: 2, ..plan.clone() },
        Plan { deadline: 19 * S, ..plan.clone() },
        Plan { retry_on: RetryOn::NeverRan, per_try: AttemptTimeout::Whole, ..plan.clone() },
    ] {
        assert_eq!(less.breaches(), [], "{less:?}");
    }
    let slow = Plan { per_try: AttemptTimeout::Fixed(6900 * MS), connect: 400 * MS, ..plan };
    assert_eq!(slow.breaches().len(), 1, "the connection alone makes the difference");
}

#[test]
fn the_measured_file_is_refused() {
    let plan = Plan {
        deadline: 300 * S,
        attempts: 6,
        connect: 30 * S,
        per_try: AttemptTimeout::Whole,
        ..keyed()
    };
    let sentence = plan.breaches()[0].sentence(&plan);
    assert!(sentence.contains("no per-try time-out") && sentence.contains("300 s"), "{sentence}");
}

#[test]
fn a_client_of_its_own_counts() {
    let plan = Plan { deadline: 4 * S, per_try: AttemptTimeout::Whole, ..keyed() };
    assert_eq!(plan.breaches(), []);
    assert_eq!(Plan { client_retries: 1, ..plan.clone() }.breaches(), []);
    let plan = Plan { client_retries: 2, ..plan };
    let breaches = plan.breaches();
    assert!(
        matches!(&breaches[..], [SafetyViolation::ClientAfterWindow { at, .. }] if *at == 22 * S)
    );
}

#[test]
fn what_an_unsafe_class_may_not_have() {
    let flash = Plan {
        effect: Effect::Unsafe,
        per_try: AttemptTimeout::Whole,
        retry_on: RetryOn::NeverRan,
        deadline: 6 * S,
        ..keyed()
    };
    assert_eq!(flash.breaches(), []);
    let with = |plan: Plan| plan.breaches();
    assert_eq!(
        with(Plan { retry_on: RetryOn::MayHaveRun, ..flash.clone() }),
        [SafetyViolation::UnsafeRetry]
    );
    assert_eq!(
        with(Plan { hedged: true, two_out: true, ..flash.clone() }),
        [SafetyViolation::CopyNotSafe(Effect::Unsafe)]
    );
    assert_eq!(
        with(Plan { per_try: AttemptTimeout::Fixed(S), ..flash }),
        [SafetyViolation::PointlessTry]
    );
    let crossing = Plan { group: DedupGroup::Zone, one_group: false, hedged: true, ..keyed() };
    assert_eq!(
        with(crossing),
        [SafetyViolation::CopyCrossesGroup, SafetyViolation::CopyNotAllowed]
    );
    let safe = Plan { effect: Effect::Safe, ..keyed() };
    assert_eq!(
        with(Plan { per_try: AttemptTimeout::Fixed(31 * S), ..safe.clone() }),
        [SafetyViolation::TryOverWhole]
    );
    let fit = Plan { per_try: AttemptTimeout::Fixed(15 * S), ..safe };
    assert_eq!(with(fit.clone()), [SafetyViolation::CannotFit { attempt: 3, at: 30 * S }]);
    assert_eq!(fit.fitting_attempts(), 2);
}

#[test]
fn spans_are_told_as_people_write_them() {
    let spans = [0, 1, 400 * MS, S, 1200 * MS, 21_400 * MS, 300 * S];
    let words = spans.map(told);
    assert_eq!(words, ["0 s", "1 ms", "400 ms", "1 s", "1.2 s", "21.4 s", "300 s"]);
}

fn plans() -> impl Strategy<Value = Plan> {
    let effect = prop::sample::select(vec![
        Effect::Safe,
        Effect::Idempotent,
        Effect::Idempotent,
        Effect::Unsafe,
    ]);
    let per_try = prop_oneof![
        Just(AttemptTimeout::Whole),
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
            let (attempts, deadline, connect, first, most) = a;
            let (window, client_retries, advice, latency_objective) = b;
            Plan {
                effect,
                window: window * MS,
                attempts,
                deadline: deadline * MS,
                latency_objective: (latency_objective * MS).min(deadline * MS),
                connect: connect * MS,
                per_try,
                backoff: [first * MS, most.max(first) * MS],
                retry_on,
                hedged: hedged && effect == Effect::Safe,
                two_out: true,
                advice: advice * MS,
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
        let accepted = plan.breaches().iter().all(|breach| !breach.twice());
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
        let steps = plan.steps();
        for (n, at) in carry(&plan, 0, &fates, &pauses, 0.0).ran.iter().enumerate() {
            // The n-th that may have run is the n-th attempt or a later one.
            let latest = steps.last().map_or(0, |step| step.latest);
            prop_assert!(*at <= latest + plan.connect, "{} at {}", n, at);
        }
        for pair in steps.windows(2) {
            prop_assert!(pair[0].latest <= pair[1].latest && pair[0].end <= plan.deadline);
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
        let accepted = plan.breaches().iter().all(|breach| !breach.twice());
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
