//! `mintshelf fleet status`: shows the leader and the progress of each replica.

use super::error::CommandError;
use super::query::{load_fleet, FleetStatus};
use mintshelf_config::model::{FleetConfig, FleetVoter};
use mintshelf_consensus_node::frame::StatusReport;
use serde::Serialize;
use serde_json::json;
use std::path::Path;

/// JSON output of a replica.
#[derive(Serialize)]
struct ReplicaOutput<'a> {
    name: &'a str,
    address: String,
    #[serde(rename = "answers")]
    responds: bool,
    #[serde(flatten)]
    state: Option<ReplicaState>,
}

/// JSON output of the state of a replica that responds.
#[derive(Serialize)]
struct ReplicaState {
    #[serde(rename = "leads")]
    is_leader: bool,
    term: u64,
    applied: u64,
    lag: u64,
    #[serde(rename = "lives")]
    incarnation: u64,
    members: u32,
}

/// Prints the status. Returns an error if no replica is the leader.
pub fn run(config: &Path, as_json: bool) -> Result<(), CommandError> {
    let fleet = load_fleet(config)?;
    let status = FleetStatus::fetch(&fleet)?;
    if as_json {
        print_json(&fleet, &status);
    } else {
        print_table(&fleet, &status);
    }
    status.leader().map(drop)
}

/// Returns the number of leases in the applied state of the leader.
fn lease_count(status: &FleetStatus) -> usize {
    status.leader().map_or(0, |leader| leader.leases.len())
}

/// Returns the number of log entries that any replica knows to be committed and that the replica of
/// `report` has not applied yet.
fn lag(status: &FleetStatus, report: &StatusReport) -> u64 {
    let committed = status.responding().map(|report| report.status.committed_index).max();
    committed.unwrap_or(0).saturating_sub(report.status.applied_index)
}

fn leader_name<'a>(fleet: &'a FleetConfig, status: &FleetStatus) -> Option<&'a str> {
    let leader = status.leader().ok()?;
    // Replicas are numbered from 1 in the order of the file.
    let mut voters = (1..).zip(&fleet.voters);
    voters.find(|(id, _)| *id == leader.status.id).map(|(_, voter)| voter.name.as_str())
}

fn replica_output<'a>(
    status: &FleetStatus,
    voter: &'a FleetVoter,
    report: Option<&StatusReport>,
) -> ReplicaOutput<'a> {
    let state = report.map(|report| ReplicaState {
        is_leader: report.status.is_leader,
        term: report.status.term,
        applied: report.status.applied_index,
        lag: lag(status, report),
        incarnation: report.incarnation,
        members: report.members,
    });
    ReplicaOutput {
        name: &voter.name,
        address: voter.address.to_string(),
        responds: report.is_some(),
        state,
    }
}

fn print_json(fleet: &FleetConfig, status: &FleetStatus) {
    let voters = fleet.voters.iter().zip(&status.reports);
    let voters: Vec<ReplicaOutput> =
        voters.map(|(voter, report)| replica_output(status, voter, report.as_ref())).collect();
    let output = json!({
        "fleet": fleet.fleet,
        "leader": leader_name(fleet, status),
        "voters": voters,
        "leases": lease_count(status),
    });
    println!("{output:#}");
}

fn print_table(fleet: &FleetConfig, status: &FleetStatus) {
    println!("fleet {}, {} leases", fleet.fleet, lease_count(status));
    println!(
        "{:<16} {:<22} {:<9} {:>6} {:>9} {:>5} {:>6} {:>8}",
        "voter", "address", "role", "term", "applied", "lag", "lives", "members"
    );
    for (voter, report) in fleet.voters.iter().zip(&status.reports) {
        let address = voter.address.to_string();
        let Some(report) = report else {
            println!("{:<16} {address:<22} no response", voter.name);
            continue;
        };
        println!(
            "{:<16} {address:<22} {:<9} {:>6} {:>9} {:>5} {:>6} {:>8}",
            voter.name,
            if report.status.is_leader { "leader" } else { "follower" },
            report.status.term,
            report.status.applied_index,
            lag(status, report),
            report.incarnation,
            report.members,
        );
    }
}
