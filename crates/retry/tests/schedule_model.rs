//! The checker against an independent model: every kind of failure at every point of a schedule,
//! and all extremes one after the other.

mod common;

use common::idempotent;
use mintshelf_balancer::api::Effect;
use mintshelf_retry::schedule::{AttemptSchedule, AttemptTimeout, Backoff, RetryOn};
use mintshelf_time::{as_float, from_float, Nanos, MILLISECOND};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};

/// How one attempt ends, in the model.
#[derive(Debug, Clone, Copy)]
enum AttemptResult {
    /// No connection, after this part of the longest wait.
    NotConnected(f64),
    /// Connected after this part, broken or without an answer after this part of its time-out.
    Broken(f64, f64),
}

/// The course of a request: when each attempt could have had its effect.
#[derive(Debug)]
struct SimulatedRequest {
    arrivals: Vec<Nanos>,
    /// When its client has its final response.
    ended_at: Nanos,
}

fn part(duration: Nanos, fraction: f64) -> Nanos {
    from_float(as_float(duration) * fraction)
}

/// Simulates a request by a schedule, with the results of its attempts given.
fn simulate(
    schedule: &AttemptSchedule,
    start: Nanos,
    results: &[AttemptResult],
    backoff_fractions: &[f64],
    hold_fraction: f64,
) -> SimulatedRequest {
    let deadline = start + schedule.deadline;
    let mut now = start;
    let mut arrivals = Vec::new();
    let mut may_have_run = false;
    for (number, result) in results.iter().take(schedule.max_attempts as usize).enumerate() {
        if number > 0 {
            let bound = schedule
                .backoff
                .initial
                .saturating_mul(1 << (number - 1).min(20))
                .min(schedule.backoff.max);
            // A backoff that could outlast the request is omitted.
            now += if now + bound < deadline { part(bound, backoff_fractions[number]) } else { 0 };
            // Held without a server, at most for a part of the objective from the arrival.
            let until = start + schedule.latency_objective / 2;
            now = now.max(start + part(until - start, hold_fraction));
        }
        if now >= deadline {
            break;
        }
        if may_have_run
            && (schedule.effect == Effect::Unsafe || schedule.retry_on == RetryOn::NeverRan)
        {
            break;
        }
        let is_last = number + 1 == schedule.max_attempts as usize;
        let timeout = match schedule.attempt_timeout {
            _ if is_last => schedule.deadline,
            AttemptTimeout::Deadline => schedule.deadline,
            AttemptTimeout::Fixed(timeout) => timeout,
            AttemptTimeout::Adaptive => schedule.adaptive_bounds().max,
        };
        match *result {
            AttemptResult::NotConnected(wait) => now += part(schedule.connect_timeout, wait),
            AttemptResult::Broken(wait, elapsed) => {
                let connected = now + part(schedule.connect_timeout, wait);
                if connected >= deadline {
                    break;
                }
                arrivals.push(connected);
                may_have_run = true;
                now = (connected + part(timeout, elapsed)).min(deadline);
            }
        }
    }
    SimulatedRequest { arrivals, ended_at: now.min(deadline) }
}

/// Times at which one request's effect may begin, its client's own retries included.
fn effects(
    schedule: &AttemptSchedule,
    results: &[AttemptResult],
    backoff_fractions: &[f64],
    hold_fraction: f64,
    wait_fraction: f64,
) -> Vec<Nanos> {
    let mut start = 0;
    let mut arrivals = Vec::new();
    for _ in 0..=schedule.client_retries {
        let simulated = simulate(schedule, start, results, backoff_fractions, hold_fraction);
        arrivals.extend(simulated.arrivals);
        start = simulated.ended_at + from_float(as_float(schedule.max_retry_after) * wait_fraction);
    }
    arrivals
}

fn breaks_a_rule(schedule: &AttemptSchedule, arrivals: &[Nanos]) -> bool {
    let Some(first) = arrivals.first() else { return false };
    match schedule.effect {
        Effect::Safe => false,
        Effect::Unsafe => arrivals.len() > 1,
        // The window begins when a server may first have run it.
        Effect::Idempotent => arrivals.iter().any(|at| at - first >= schedule.dedup_window),
    }
}

/// Whether any of the extremes, in any order, breaks a rule: a search that shares nothing with
/// the checker's sums.
fn is_broken_by_extremes(schedule: &AttemptSchedule) -> bool {
    let kinds = [
        AttemptResult::NotConnected(1.0),
        AttemptResult::Broken(0.0, 0.0),
        AttemptResult::Broken(0.0, 1.0),
        AttemptResult::Broken(1.0, 1.0),
        AttemptResult::Broken(1.0, 0.999),
        AttemptResult::Broken(0.0, 0.999),
    ];
    let count = kinds.len().pow(schedule.max_attempts);
    (0..count).any(|mut code| {
        let results: Vec<AttemptResult> = (0..schedule.max_attempts)
            .map(|_| {
                let kind = kinds[code % kinds.len()];
                code /= kinds.len();
                kind
            })
            .collect();
        [[0.0; 8], [1.0; 8]].iter().any(|backoff_fractions| {
            [0.0, 1.0].iter().any(|hold_fraction| {
                let arrivals = effects(schedule, &results, backoff_fractions, *hold_fraction, 1.0);
                breaks_a_rule(schedule, &arrivals)
            })
        })
    })
}

fn schedules() -> impl Strategy<Value = AttemptSchedule> {
    let effect = prop::sample::select(vec![
        Effect::Safe,
        Effect::Idempotent,
        Effect::Idempotent,
        Effect::Unsafe,
    ]);
    let per_try = prop_oneof![
        Just(AttemptTimeout::Deadline),
        Just(AttemptTimeout::Adaptive),
        (50u64..12_000).prop_map(|ms| AttemptTimeout::Fixed(ms * MILLISECOND)),
    ];
    let retry_on = prop::sample::select(vec![RetryOn::MayHaveRun, RetryOn::NeverRan]);
    (
        (effect, per_try, retry_on, any::<bool>()),
        (1u32..=4, 1_000u64..40_000, 1u64..3_000, 0u64..4_000, 0u64..8_000),
        (5_000u64..40_000, 0u32..3, 1u64..8_000, 10u64..2_000),
    )
        .prop_map(|((effect, per_try, retry_on, hedged), request, client)| {
            let (attempts, deadline, connect, first, max) = request;
            let (window, client_retries, advice, latency_objective) = client;
            AttemptSchedule {
                effect,
                dedup_window: window * MILLISECOND,
                max_attempts: attempts,
                deadline: deadline * MILLISECOND,
                latency_objective: (latency_objective * MILLISECOND).min(deadline * MILLISECOND),
                connect_timeout: connect * MILLISECOND,
                attempt_timeout: per_try,
                backoff: Backoff {
                    initial: first * MILLISECOND,
                    max: max.max(first) * MILLISECOND,
                },
                retry_on,
                is_hedged: hedged && effect == Effect::Safe,
                allows_parallel_attempts: true,
                max_retry_after: advice * MILLISECOND,
                client_retries: if effect == Effect::Idempotent { client_retries } else { 0 },
                ..idempotent()
            }
        })
}

fn attempt_result((connects, first, second): (bool, f64, f64)) -> AttemptResult {
    match connects {
        true => AttemptResult::Broken(first, second),
        false => AttemptResult::NotConnected(first),
    }
}

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(23);
    ProptestConfig { cases, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(4_000))]

    /// Whatever befalls an accepted schedule, at whatever point, no rule breaks.
    #[test]
    fn no_accepted_schedule_breaks_a_rule(
        schedule in schedules(),
        results in prop::collection::vec((any::<bool>(), 0.0f64..=1.0, 0.0f64..=1.0), 4),
        backoff_fractions in prop::collection::vec(0.0f64..=1.0, 8),
        hold_fraction in 0.0f64..=1.0,
        wait_fraction in 0.0f64..=1.0,
    ) {
        let accepted = schedule.violations().iter().all(|violation| !violation.duplicates_effect());
        let results: Vec<AttemptResult> = results.into_iter().map(attempt_result).collect();
        let arrivals =
            effects(&schedule, &results, &backoff_fractions, hold_fraction, wait_fraction);
        prop_assert!(
            !accepted || !breaks_a_rule(&schedule, &arrivals),
            "{:?} {:?}", results, arrivals
        );
    }

    /// No attempt starts later than the schedule says.
    #[test]
    fn no_attempt_starts_later_than_scheduled(
        schedule in schedules(),
        results in prop::collection::vec((any::<bool>(), 0.0f64..=1.0, 0.0f64..=1.0), 4),
        backoff_fractions in prop::collection::vec(0.0f64..=1.0, 8),
    ) {
        let results: Vec<AttemptResult> = results.into_iter().map(attempt_result).collect();
        let attempts = schedule.worst_case();
        let simulated = simulate(&schedule, 0, &results, &backoff_fractions, 0.0);
        for (index, at) in simulated.arrivals.iter().enumerate() {
            // The nth that may have run is the nth attempt or a later one.
            let latest = attempts.last().map_or(0, |attempt| attempt.latest_start);
            prop_assert!(*at <= latest + schedule.connect_timeout, "{} at {}", index, at);
        }
        for pair in attempts.windows(2) {
            prop_assert!(
                pair[0].latest_start <= pair[1].latest_start
                    && pair[0].latest_end <= schedule.deadline
            );
        }
        prop_assert!(schedule.to_string().lines().count() > attempts.len());
    }
}

/// All small cases: what is accepted never breaks a rule, and few of the harmless are rejected.
#[test]
fn the_checker_rejects_few_harmless_schedules() {
    let mut runner = TestRunner::new(config(1));
    let mut harmless = 0;
    let mut rejected = 0;
    let mut harmful = 0;
    for _ in 0..3_000 {
        let schedule = schedules().new_tree(&mut runner).unwrap().current();
        if schedule.effect != Effect::Idempotent {
            continue;
        }
        let accepted = schedule.violations().iter().all(|violation| !violation.duplicates_effect());
        match is_broken_by_extremes(&schedule) {
            true => {
                harmful += 1;
                assert!(!accepted, "accepted, and breaks a rule: {schedule:?}");
            }
            false => {
                harmless += 1;
                rejected += u32::from(!accepted);
            }
        }
    }
    println!("{harmless} harmless of {}, {rejected} of them rejected", harmless + harmful);
    assert!(harmless > 300 && harmful > 300, "{harmless} {harmful}");
    assert!(f64::from(rejected) < 0.05 * f64::from(harmless), "{rejected} of {harmless}");
}
