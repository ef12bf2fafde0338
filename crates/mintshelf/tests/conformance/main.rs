//! Sentences of the design pages as rows of tables, each checked where it applies: on the decision
//! module, on the simulator's wire, at the real sidecar. One test a row.

mod decision_module;
mod faulty_discovery;
mod harness;
mod rows;
mod sidecar;
mod simulator_wire;

use decision_module::DecisionModule;
use libtest_mimic::{Arguments, Failed, Trial};
use rows::{
    Design, EligibilityRow, NotificationRow, Notifications, OrderRow, OutcomeRow, Outcomes,
    RequestOutcome, ShutdownRow, Shutdowns, Target, Untested, ALL_TARGETS,
};
use simulator_wire::SimulatorWire;
use std::collections::HashSet;

/// How a request ended, and after how many attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Observed {
    pub(crate) outcome: RequestOutcome,
    pub(crate) attempts: usize,
}

fn check(is_met: bool, failure: impl FnOnce() -> String) -> Result<(), Failed> {
    match is_met {
        true => Ok(()),
        false => Err(failure().into()),
    }
}

fn check_outcome(row: &OutcomeRow, target: Target) -> Result<(), Failed> {
    let observed = match target {
        Target::Module => harness::outcome::<DecisionModule>(&row.given),
        Target::Wire => harness::outcome::<SimulatorWire>(&row.given),
        Target::Sidecar => sidecar::outcome(&row.given),
    };
    let expect = &row.expect;
    let has_outcome = match expect.outcome {
        RequestOutcome::NotServed => observed.outcome != RequestOutcome::Served,
        outcome => observed.outcome == outcome,
    };
    let has_attempts = expect.attempts.is_none_or(|attempts| attempts == observed.attempts)
        && expect.max_attempts.is_none_or(|max| observed.attempts <= max);
    check(has_outcome && has_attempts, || {
        format!("{}: {expect:?}, observed {observed:?}", row.source)
    })
}

fn check_eligibility(row: &EligibilityRow, target: Target) -> Result<(), Failed> {
    let counts = match target {
        Target::Module => harness::request_counts::<DecisionModule>(row),
        Target::Wire => harness::request_counts::<SimulatorWire>(row),
        Target::Sidecar => sidecar::request_counts(row),
    };
    let min = row.served.iter().map(|server| counts[*server]).min().unwrap_or(0);
    check(min > 0, || format!("{}: one of {:?} got none: {counts:?}", row.source, row.served))?;
    for (server, count) in counts.iter().enumerate() {
        let max = match (row.served.contains(&server), row.reduced.contains(&server)) {
            (true, _) => usize::MAX,
            (_, true) => min / 2,
            _ => 0,
        };
        check(*count <= max, || format!("{}: server {server}: {counts:?}", row.source))?;
    }
    Ok(())
}

fn test_case(
    table: &str,
    id: &str,
    target: Target,
    run: impl FnOnce() -> Result<(), Failed> + Send + 'static,
) -> Trial {
    Trial::test(format!("{table}::{id}::{target:?}").to_lowercase(), run)
}

/// The failure of a row, with the source of its sentence.
fn failure(source: &str, description: &str) -> Failed {
    format!("{source}: {description}").into()
}

fn outcome_tests(outcomes: Outcomes) -> Vec<Trial> {
    let mut tests = Vec::new();
    for row in outcomes.row {
        let is_everywhere = row.targets.len() == ALL_TARGETS.len();
        assert!(is_everywhere || row.reason.is_some(), "{}: why not?", row.id);
        for target in row.targets.clone() {
            let row = row.clone();
            let id = row.id.clone();
            let run = move || check_outcome(&row, target);
            tests.push(test_case("outcome", &id, target, run));
        }
    }
    tests
}

fn order_test(row: OrderRow) -> Trial {
    let id = row.id.clone();
    test_case("order", &id, Target::Module, move || {
        decision_module::check_order(&row).map_err(|text| failure(&row.source, &text))
    })
}

fn eligibility_tests(row: &EligibilityRow) -> Vec<Trial> {
    let test = |target| {
        let row = row.clone();
        test_case("eligibility", &row.id.clone(), target, move || check_eligibility(&row, target))
    };
    ALL_TARGETS.map(test).into()
}

fn notification_test(row: NotificationRow) -> Trial {
    let id = row.id.clone();
    test_case("notification", &id, Target::Sidecar, move || {
        let late = sidecar::count_late_requests(&row);
        check(late == 0, || format!("{}: {late} requests were sent to it", row.source))
    })
}

fn shutdown_test(row: ShutdownRow) -> Trial {
    let id = row.id.clone();
    test_case("shutdown", &id, Target::Sidecar, move || {
        sidecar::check_shutdown(&row).map_err(|text| failure(&row.source, &text))
    })
}

/// Checks that each sentence without a row has a source and a reason.
fn check_untested(untested: &Untested) {
    for row in &untested.untested {
        assert!(![&row.source, &row.sentence, &row.reason].iter().any(|text| text.is_empty()));
    }
}

fn main() {
    let outcomes: Outcomes = toml::from_str(include_str!("outcomes.toml")).unwrap();
    let design: Design = toml::from_str(include_str!("design.toml")).unwrap();
    let notifications: Notifications = toml::from_str(include_str!("notification.toml")).unwrap();
    let shutdowns: Shutdowns = toml::from_str(include_str!("shutdown.toml")).unwrap();
    check_untested(&toml::from_str(include_str!("untested.toml")).unwrap());
    let mut tests = outcome_tests(outcomes);
    tests.extend(design.order.into_iter().map(order_test));
    tests.extend(design.eligibility.iter().flat_map(eligibility_tests));
    tests.extend(notifications.row.into_iter().map(notification_test));
    tests.extend(shutdowns.row.into_iter().map(shutdown_test));
    let names: HashSet<_> = tests.iter().map(|test| test.name().to_string()).collect();
    assert_eq!(names.len(), tests.len(), "two rows have the same name");
    libtest_mimic::run(&Arguments::from_args(), tests).exit();
}
