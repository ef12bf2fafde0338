//! `[fleet]`: who this process is among those that agree, and by which spans.

use super::reader::{At, Table};
use super::{address, ms, EVER};
use crate::model::{Fleet, FleetVoter};
use mintshelf_lease::command::{is_valid_name, NAME_MAX};
use mintshelf_lease::timing::{ClockError, Nanos, Timing, TimingError};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Voters that a file may name.
const VOTERS_MAX: usize = 7;

const VOTERS: &str = "name three or five, as in voters = [{ name = \"v1\", address = \
                      \"10.0.0.1:7001\" }, ...]";

struct ReadVoter {
    name: String,
    address: SocketAddr,
    place: At<()>,
}

/// The table, if it is there and whole.
pub fn read(top: &Table) -> Option<Fleet> {
    let table = top.table("fleet")?;
    let fleet = whole(&table);
    table.finish();
    fleet
}

fn name(table: &Table, key: &'static str) -> Option<At<String>> {
    let mend = format!("write {key} = \"...\", 1 to {NAME_MAX} bytes without control characters");
    if !table.has(key) {
        table.reader.wrong(&table.span, &table.path(key), "is missing", &mend);
    }
    table.parsed(key, &mend, |text| {
        is_valid_name(text).then(|| text.to_owned()).ok_or_else(|| "is no name".to_owned())
    })
}

fn whole(table: &Table) -> Option<Fleet> {
    // All are read before any is missed, so that all errors come in one run.
    let (fleet, own) = (name(table, "fleet"), name(table, "name"));
    let at = table.has("address").then(|| address(table, "address")).flatten();
    let directory = table.text("directory").map(|at| at.map(PathBuf::from));
    let single = table.flag("allow-single", false);
    let voters = voters(table);
    let spans = spans(table);
    let (fleet, own, voters) = (fleet?, own?, voters?);
    let wrong =
        |span: &_, field: &str, what: &str, mend: &str| table.reader.wrong(span, field, what, mend);
    if !single && (voters.len() == 1 || voters.len().is_multiple_of(2)) {
        let what = match voters.len() {
            1 => "is one voter: when it is away nobody agrees on anything".to_owned(),
            n => format!("are {n} voters: of an even number no more may fail than of {}", n - 1),
        };
        let mend = "name three or five, or write allow-single = true to have it so";
        table.reader.wrong(
            &table.reader.span_of(&table.path("voters")),
            &table.path("voters"),
            what,
            mend,
        );
    }
    for (n, voter) in voters.iter().enumerate() {
        let (place, before) = (&voter.place, &voters[..n]);
        if before.iter().any(|other| other.name == voter.name) {
            wrong(&place.span, &place.field, "has another voter's name", "give each its own");
        }
        if before.iter().any(|other| other.address == voter.address) {
            wrong(&place.span, &place.field, "has another voter's address", "give each its own");
        }
    }
    let id = voters.iter().position(|voter| voter.name == own.value);
    match (id.map(|id| &voters[id]), &at) {
        (Some(voter), Some(at)) if voter.address != at.value => {
            let what = format!("is not {}, the address of voter '{}'", voter.address, voter.name);
            let mend = "write the same address in both places, or another name";
            table.reader.wrong(&at.span, &at.field, what, mend);
        }
        (Some(voter), None) => {
            let what = format!("is missing, and '{}' is a voter", voter.name);
            let mend = format!("write address = \"{}\"", voter.address);
            table.reader.wrong(&table.span, &table.path("address"), what, mend);
        }
        (None, Some(at)) => {
            let (what, mend) = match voters.iter().find(|voter| voter.address == at.value) {
                Some(voter) => (
                    format!(
                        "is the address of voter '{}', and this is '{}'",
                        voter.name, own.value
                    ),
                    format!("write name = \"{}\", or leave the address out", voter.name),
                ),
                None => (
                    format!("is nobody's: '{}' is none of the voters", own.value),
                    "leave it out for a member, or name this process among the voters".to_owned(),
                ),
            };
            table.reader.wrong(&at.span, &at.field, what, mend);
        }
        _ => {}
    }
    if id.is_some() && directory.is_none() {
        let mend = "write directory = \"/var/lib/mintshelf\": what it promises must outlive it";
        let what = format!("is missing, and '{}' is a voter", own.value);
        table.reader.wrong(&table.span, &table.path("directory"), what, mend);
    }
    Some(Fleet {
        fleet: fleet.value,
        name: own.value,
        id: id.map(|id| id as u64 + 1),
        directory: directory.map(|at| at.value),
        voters: voters
            .into_iter()
            .map(|ReadVoter { name, address, .. }| FleetVoter { name, address })
            .collect(),
        spans: spans?,
    })
}

fn voters(table: &Table) -> Option<Vec<ReadVoter>> {
    if !table.has("voters") {
        table.reader.wrong(&table.span, &table.path("voters"), "is missing", VOTERS);
        return None;
    }
    let mut voters = Vec::new();
    let tables = table.tables("voters");
    let all = tables.len();
    for inner in tables {
        let place = At { value: (), span: inner.span.clone(), field: inner.field.clone() };
        let (name, at) = (name(&inner, "name"), address(&inner, "address"));
        inner.finish();
        if let (Some(name), Some(at)) = (name, at) {
            voters.push(ReadVoter { name: name.value, address: at.value, place });
        }
    }
    let span = table.reader.span_of(&table.path("voters"));
    if all == 0 {
        table.reader.wrong(&span, &table.path("voters"), "is empty", VOTERS);
        return None;
    }
    if all > VOTERS_MAX {
        let what = format!("are {all} voters, over {VOTERS_MAX}: each entry waits for a majority");
        table.reader.wrong(&span, &table.path("voters"), what, VOTERS);
    }
    (voters.len() == all).then_some(voters)
}

fn spans(table: &Table) -> Option<Timing> {
    let standard = Timing::default();
    let read =
        |key, default: Nanos| table.duration(key, Duration::from_nanos(default), ms(1)..=EVER);
    let election = read("election", standard.election_timeout);
    let heartbeat = read("heartbeat", standard.heartbeat_interval);
    let session = read("session", standard.session_timeout);
    let lease = read("lease", standard.lease_duration);
    let ppm = table.whole("clock-error-ppm", standard.clock_error.ppm, 0..=100_000);
    let nanos = |at: &At<Duration>| at.value.as_nanos() as Nanos;
    let spans = Timing {
        election_timeout: nanos(&election),
        heartbeat_interval: nanos(&heartbeat),
        session_timeout: nanos(&session),
        lease_duration: nanos(&lease),
        clock_error: ClockError { ppm: ppm.value },
    };
    let Err(problem) = spans.check() else { return Some(spans) };
    let at = match problem {
        TimingError::Election { .. } | TimingError::Bounds => &election,
        TimingError::Lease { .. } => &lease,
        TimingError::Session { .. } => &session,
        TimingError::ClockError { .. } => {
            table.reader.wrong(&ppm.span, &ppm.field, problem, "write a smaller one");
            return None;
        }
    };
    let mend = "see the page on the fleet for what the spans are for";
    let span = if at.span.is_empty() { &table.span } else { &at.span };
    table.reader.wrong(span, &at.field, problem, mend);
    None
}
