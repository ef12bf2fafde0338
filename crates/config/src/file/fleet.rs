//! Parses `[fleet]`: the fleet that agrees on leases, and the role of this process in it.

use super::error::FieldError;
use super::fields::address;
use super::reader::{Located, Location};
use super::table::Table;
use super::value::{ms, MAX_DURATION};
use crate::model::{FleetConfig, FleetVoter};
use mintshelf_lease::command::{is_valid_name, NAME_MAX};
use mintshelf_lease::timing::{ClockError, Timing, TimingError};
use mintshelf_time::{from_duration, Nanos};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Upper bound of the voters, since each log entry waits for a majority of them.
const MAX_VOTERS: usize = 7;
/// Remedy for an invalid list of voters.
const VOTERS_REMEDY: &str = "list three or five, as in voters = [{ name = \"v1\", address = \
                      \"10.0.0.1:7001\" }, ...]";

/// A voter with its location.
struct ParsedVoter {
    voter: FleetVoter,
    location: Location,
}

/// Parses `[fleet]`; `None` if it is absent or incomplete.
pub fn parse(root: &Table) -> Option<FleetConfig> {
    let table = root.table("fleet")?;
    let fleet = fleet(&table);
    table.finish();
    fleet
}

fn fleet(table: &Table) -> Option<FleetConfig> {
    // All fields are parsed before returning for a missing one, so that all problems are found.
    let fleet_name = name(table, "fleet");
    let own_name = name(table, "name");
    let own_address = table.has("address").then(|| address(table, "address")).flatten();
    let directory = table.text("directory").map(|path| PathBuf::from(path.value));
    let allows_single = table.flag("allow-single", false);
    let voters = voters(table);
    let timing = timing(table);
    let (fleet_name, own_name, voters) = (fleet_name?, own_name?, voters?);
    if !allows_single {
        check_majority(table, voters.len());
    }
    check_unique(table, &voters);
    let index = voters.iter().position(|parsed| parsed.voter.name == own_name.value);
    let own = index.map(|index| &voters[index].voter);
    check_own_address(table, &own_name.value, own, own_address.as_ref(), &voters);
    if own.is_some() && directory.is_none() {
        let message = format!("is missing, and '{}' is a voter", own_name.value);
        let remedy = "write directory = \"/var/lib/mintshelf\": a voter's votes and log must \
                      survive restarts";
        table.reader.report(&table.location_of("directory"), message, remedy);
    }
    Some(FleetConfig {
        fleet: fleet_name.value,
        name: own_name.value,
        id: index.map(|index| index as u64 + 1),
        directory,
        voters: voters.into_iter().map(|parsed| parsed.voter).collect(),
        timing: timing?,
    })
}

fn name(table: &Table, key: &'static str) -> Option<Located<String>> {
    let remedy = format!("write {key} = \"...\", 1 to {NAME_MAX} bytes without control characters");
    if !table.has(key) {
        table.reader.report(&table.location_of(key), "is missing", &remedy);
    }
    table.parsed(key, &remedy, |text| {
        if is_valid_name(text) {
            Ok(text.to_owned())
        } else {
            Err(FieldError::InvalidName)
        }
    })
}

/// Returns the location of the list of voters.
fn voters_location(table: &Table) -> Location {
    table.reader.location_of_field(table.path("voters"))
}

/// Checks that the number of voters is odd and greater than one, so that the fleet keeps working
/// while a minority has failed.
fn check_majority(table: &Table, voters: usize) {
    let message = match voters {
        1 => "is a single voter: the fleet stops working when it fails".to_owned(),
        even if even.is_multiple_of(2) => {
            format!("are {even} voters, which tolerate no more failures than {}", even - 1)
        }
        _ => return,
    };
    let remedy = "list three or five, or set allow-single = true";
    table.reader.report(&voters_location(table), message, remedy);
}

/// Checks that voters have unique names and addresses.
fn check_unique(table: &Table, voters: &[ParsedVoter]) {
    for (index, ParsedVoter { voter, location }) in voters.iter().enumerate() {
        let earlier = voters[..index].iter().map(|parsed| &parsed.voter);
        if earlier.clone().any(|other| other.name == voter.name) {
            table.reader.report(location, "has another voter's name", "give each voter its own");
        }
        if earlier.clone().any(|other| other.address == voter.address) {
            table.reader.report(location, "has another voter's address", "give each voter its own");
        }
    }
}

/// Checks that a voter listens at the address of its entry, and that a process that is not a voter
/// does not use a voter's address. `own` is the entry of this process, if it is a voter.
fn check_own_address(
    table: &Table,
    own_name: &str,
    own: Option<&FleetVoter>,
    address: Option<&Located<SocketAddr>>,
    voters: &[ParsedVoter],
) {
    match (own, address) {
        (Some(own), Some(address)) if own.address != address.value => {
            let message = format!("is not {}, the address of voter '{}'", own.address, own.name);
            let remedy = "write the same address in both places, or another name";
            table.reader.report(&address.location, message, remedy);
        }
        (Some(own), None) => {
            let message = format!("is missing, and '{}' is a voter", own.name);
            let remedy = format!("write address = \"{}\"", own.address);
            table.reader.report(&table.location_of("address"), message, remedy);
        }
        (None, Some(address)) => {
            let mut voters = voters.iter().map(|parsed| &parsed.voter);
            let owner = voters.find(|voter| voter.address == address.value);
            report_foreign_address(table, own_name, address, owner);
        }
        (Some(_), Some(_)) | (None, None) => {}
    }
}

/// Reports an address of a process that is not a voter. `owner` is the voter with that address, if
/// there is one.
fn report_foreign_address(
    table: &Table,
    own_name: &str,
    address: &Located<SocketAddr>,
    owner: Option<&FleetVoter>,
) {
    let (message, remedy) = match owner {
        Some(owner) => (
            format!("is the address of voter '{}', and this is '{own_name}'", owner.name),
            format!("write name = \"{}\", or remove the address", owner.name),
        ),
        None => (
            format!("is not needed: '{own_name}' is not one of the voters"),
            "remove it if this process is a member, or add this process to the voters".to_owned(),
        ),
    };
    table.reader.report(&address.location, message, remedy);
}

/// Parses the voters; `None` if the list or one of its entries is incomplete.
fn voters(table: &Table) -> Option<Vec<ParsedVoter>> {
    if !table.has("voters") {
        table.reader.report(&table.location_of("voters"), "is missing", VOTERS_REMEDY);
        return None;
    }
    let tables = table.tables("voters");
    let count = tables.len();
    let voters: Vec<ParsedVoter> = tables.into_iter().filter_map(voter).collect();
    if count == 0 {
        table.reader.report(&voters_location(table), "is empty", VOTERS_REMEDY);
        return None;
    }
    if count > MAX_VOTERS {
        let message =
            format!("are {count} voters, over {MAX_VOTERS}: each log entry waits for a majority");
        table.reader.report(&voters_location(table), message, VOTERS_REMEDY);
    }
    (voters.len() == count).then_some(voters)
}

fn voter(table: Table) -> Option<ParsedVoter> {
    let name = name(&table, "name");
    let address = address(&table, "address");
    let location = table.location.clone();
    table.finish();
    let voter = FleetVoter { name: name?.value, address: address?.value };
    Some(ParsedVoter { voter, location })
}

/// Parses the timing of elections and leases; `None` if it is inconsistent.
fn timing(table: &Table) -> Option<Timing> {
    let defaults = Timing::default();
    let duration = |key, default: Nanos| {
        table.duration(key, Duration::from_nanos(default), ms(1)..=MAX_DURATION)
    };
    let election = duration("election", defaults.election_timeout);
    let heartbeat = duration("heartbeat", defaults.heartbeat_interval);
    let session = duration("session", defaults.session_timeout);
    let lease = duration("lease", defaults.lease_duration);
    let clock_error = table.integer("clock-error-ppm", defaults.clock_error.ppm, 0..=100_000);
    let timing = Timing {
        election_timeout: from_duration(election.value),
        heartbeat_interval: from_duration(heartbeat.value),
        session_timeout: from_duration(session.value),
        lease_duration: from_duration(lease.value),
        clock_error: ClockError { ppm: clock_error.value },
    };
    let Err(error) = timing.check() else { return Some(timing) };
    let location = match error {
        TimingError::ElectionTooShort { .. } | TimingError::DurationOutOfRange => {
            &election.location
        }
        TimingError::LeaseTooShort { .. } => &lease.location,
        TimingError::SessionTooShort { .. } => &session.location,
        TimingError::ClockErrorTooLarge { .. } => {
            table.reader.report(&clock_error.location, error, "write a smaller one");
            return None;
        }
    };
    let span = if location.is_explicit() { &location.span } else { &table.location.span };
    let location = Location { span: span.clone(), field: location.field.clone() };
    table.reader.report(&location, error, "see docs/fleet.md for the constraints");
    None
}
