//! Sentences of the design pages as rows of tables, each played where it applies: on the decision
//! module, on the simulator's wire, at the real sidecar. One test a row.

mod module;
mod sidecar;
mod stage;
mod wire;

use libtest_mimic::{Arguments, Failed, Trial};
use serde::Deserialize;
use std::collections::HashSet;

/// Where a row can be played.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum On {
    Module,
    Wire,
    Sidecar,
}

const EVERYWHERE: [On; 3] = [On::Module, On::Wire, On::Sidecar];

/// What an attempt comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Met {
    Error,
    TurnedAway,
    NoConnection,
    Reset,
    Silence,
    Spoilt,
}

/// What a client is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum End {
    Served,
    Refused,
    Failed,
    /// Refused or failed.
    Unserved,
}

/// What a request ended as, and how many attempts went out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Seen {
    pub(crate) end: End,
    pub(crate) sent: usize,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Given {
    /// `safe`, `keyed` or `unsafe`, in this order in all settings.
    pub(crate) class: String,
    pub(crate) met: Vec<Met>,
    /// How long each of these takes.
    #[serde(default = "soon")]
    pub(crate) took_ms: u64,
}

fn soon() -> u64 {
    20
}

impl Given {
    /// The class's number.
    pub(crate) fn class(&self) -> usize {
        ["safe", "keyed", "unsafe"].iter().position(|name| *name == self.class).unwrap()
    }
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    end: End,
    sent: Option<usize>,
    sent_at_most: Option<usize>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct OutcomeRow {
    id: String,
    source: String,
    given: Given,
    expect: Expect,
    #[serde(default = "everywhere")]
    on: Vec<On>,
    /// Why it is not played everywhere.
    why: Option<String>,
}

fn everywhere() -> Vec<On> {
    EVERYWHERE.to_vec()
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Outcomes {
    row: Vec<OutcomeRow>,
}

/// A line of servers by their speeds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LineRow {
    id: String,
    source: String,
    pub(crate) speeds: Vec<f64>,
    /// The bound of (4.1), a hair above where it has no short form.
    pub(crate) epsilon_below: Option<f64>,
    /// Of all requests when waits are equal, and of the dedicated ones.
    pub(crate) shares: Vec<f64>,
}

/// How a server is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum State {
    Ready,
    Draining,
    Gone,
    /// Has just started.
    Cold,
}

/// Servers, and who of them gets requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MembersRow {
    id: String,
    source: String,
    pub(crate) servers: Vec<State>,
    /// These get some.
    gets: Vec<usize>,
    /// These get less than half of what any of those gets; all others nothing.
    #[serde(default)]
    less: Vec<usize>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Design {
    line: Vec<LineRow>,
    members: Vec<MembersRow>,
}

/// What happens to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Trouble {
    None,
    Reset,
    Silent,
    Fails,
    Sighup,
    AgentOutage,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClockRow {
    id: String,
    source: String,
    pub(crate) trouble: Trouble,
    pub(crate) told_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Clocks {
    row: Vec<ClockRow>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EndingRow {
    id: String,
    source: String,
    pub(crate) class: String,
    pub(crate) sent_ms: i64,
    pub(crate) served_ms: Option<u64>,
    pub(crate) status: u16,
    /// No server has seen it.
    #[serde(default)]
    pub(crate) untried: bool,
    pub(crate) by_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Endings {
    row: Vec<EndingRow>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Sentence {
    source: String,
    says: String,
    why: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Unplayed {
    sentence: Vec<Sentence>,
}

fn held(holds: bool, what: impl FnOnce() -> String) -> Result<(), Failed> {
    match holds {
        true => Ok(()),
        false => Err(what().into()),
    }
}

fn outcome(row: &OutcomeRow, on: On) -> Result<(), Failed> {
    let seen = match on {
        On::Module => stage::outcome::<module::Module>(&row.given),
        On::Wire => stage::outcome::<wire::Wire>(&row.given),
        On::Sidecar => sidecar::outcome(&row.given),
    };
    let expect = &row.expect;
    let end = match expect.end {
        End::Unserved => seen.end != End::Served,
        end => seen.end == end,
    };
    let sent = expect.sent.is_none_or(|sent| sent == seen.sent)
        && expect.sent_at_most.is_none_or(|most| seen.sent <= most);
    held(end && sent, || format!("{}: {expect:?}, seen {seen:?}", row.source))
}

fn members(row: &MembersRow, on: On) -> Result<(), Failed> {
    let counts = match on {
        On::Module => stage::members::<module::Module>(row),
        On::Wire => stage::members::<wire::Wire>(row),
        On::Sidecar => sidecar::members(row),
    };
    let least = row.gets.iter().map(|server| counts[*server]).min().unwrap_or(0);
    held(least > 0, || format!("{}: one of {:?} got none: {counts:?}", row.source, row.gets))?;
    for (server, count) in counts.iter().enumerate() {
        let most = match (row.gets.contains(&server), row.less.contains(&server)) {
            (true, _) => usize::MAX,
            (_, true) => least / 2,
            _ => 0,
        };
        held(*count <= most, || format!("{}: server {server}: {counts:?}", row.source))?;
    }
    Ok(())
}

fn trial(
    kind: &str,
    id: &str,
    on: On,
    run: impl FnOnce() -> Result<(), Failed> + Send + 'static,
) -> Trial {
    Trial::test(format!("{kind}::{id}::{on:?}").to_lowercase(), run)
}

fn main() {
    let outcomes: Outcomes = toml::from_str(include_str!("outcomes.toml")).unwrap();
    let design: Design = toml::from_str(include_str!("design.toml")).unwrap();
    let clocks: Clocks = toml::from_str(include_str!("clocks.toml")).unwrap();
    let endings: Endings = toml::from_str(include_str!("ending.toml")).unwrap();
    let unplayed: Unplayed = toml::from_str(include_str!("unplayed.toml")).unwrap();
    for sentence in &unplayed.sentence {
        assert!(![&sentence.source, &sentence.says, &sentence.why]
            .iter()
            .any(|text| text.is_empty()));
    }
    let mut trials = Vec::new();
    for row in outcomes.row {
        assert!(row.on.len() == EVERYWHERE.len() || row.why.is_some(), "{}: why not?", row.id);
        for on in row.on.clone() {
            let row = row.clone();
            trials.push(trial("outcome", &row.id.clone(), on, move || outcome(&row, on)));
        }
    }
    for row in design.line {
        trials.push(trial("line", &row.id.clone(), On::Module, move || {
            module::line(&row).map_err(|what| format!("{}: {what}", row.source).into())
        }));
    }
    for row in design.members {
        for on in EVERYWHERE {
            let row = row.clone();
            trials.push(trial("members", &row.id.clone(), on, move || members(&row, on)));
        }
    }
    for row in clocks.row {
        trials.push(trial("clocks", &row.id.clone(), On::Sidecar, move || {
            let late = sidecar::count_late_requests(&row);
            held(late == 0, || format!("{}: {late} requests went on to it", row.source))
        }));
    }
    for row in endings.row {
        trials.push(trial("ending", &row.id.clone(), On::Sidecar, move || {
            sidecar::ending(&row).map_err(|what| format!("{}: {what}", row.source).into())
        }));
    }
    let names: HashSet<_> = trials.iter().map(|trial| trial.name().to_string()).collect();
    assert_eq!(names.len(), trials.len(), "a row's name stands twice");
    libtest_mimic::run(&Arguments::from_args(), trials).exit();
}
