//! Sentences of the design pages as rows of tables, each checked where it applies: on the decision
//! module, on the simulator's wire, at the real sidecar. One test a row.

mod decision_module;
mod harness;
mod rows;
mod sidecar;
mod simulator_wire;

use decision_module::DecisionModule;
use libtest_mimic::{Arguments, Failed, Trial};
use rows::{
    Design, EligibilityRow, Notifications, OutcomeRow, Outcomes, RequestOutcome, Shutdowns, Target,
    Untested, ALL_TARGETS,
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

fn main() {
    let outcomes: Outcomes = toml::from_str(include_str!("outcomes.toml")).unwrap();
    let design: Design = toml::from_str(include_str!("design.toml")).unwrap();
    let notifications: Notifications = toml::from_str(include_str!("notification.toml")).unwrap();
    let shutdowns: Shutdowns = toml::from_str(include_str!("shutdown.toml")).unwrap();
    let untested: Untested = toml::from_str(include_str!("untested.toml")).unwrap();
    for row in &untested.untested {
        assert!(![&row.source, &row.sentence, &row.reason].iter().any(|text| text.is_empty()));
    }
    let mut tests = Vec::new();
    for row in outcomes.row {
        assert!(
            row.targets.len() == ALL_TARGETS.len() || row.reason.is_some(),
            "{}: why not?",
            row.id
        );
        for target in row.targets.clone() {
            let row = row.clone();
            tests.push(test_case("outcome", &row.id.clone(), target, move || {
                check_outcome(&row, target)
            }));
        }
    }
    for row in design.order {
        tests.push(test_case("order", &row.id.clone(), Target::Module, move || {
            decision_module::check_order(&row)
                .map_err(|failure| format!("{}: {failure}", row.source).into())
        }));
    }
    for row in design.eligibility {
        for target in ALL_TARGETS {
            let row = row.clone();
            tests.push(test_case("eligibility", &row.id.clone(), target, move || {
                check_eligibility(&row, target)
            }));
        }
    }
    for row in notifications.row {
        tests.push(test_case("notification", &row.id.clone(), Target::Sidecar, move || {
            let late = sidecar::count_late_requests(&row);
            check(late == 0, || format!("{}: {late} requests were sent to it", row.source))
        }));
    }
    for row in shutdowns.row {
        tests.push(test_case("shutdown", &row.id.clone(), Target::Sidecar, move || {
            sidecar::check_shutdown(&row)
                .map_err(|failure| format!("{}: {failure}", row.source).into())
        }));
    }
    let names: HashSet<_> = tests.iter().map(|test| test.name().to_string()).collect();
    assert_eq!(names.len(), tests.len(), "two rows have the same name");
    libtest_mimic::run(&Arguments::from_args(), tests).exit();
}
