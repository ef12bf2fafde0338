//! `mintshelf lease list`, `mintshelf lease show` and `mintshelf lease release`.

use super::error::CommandError;
use super::query::{command_owner, load_fleet, replica_addresses, FleetStatus};
use crate::runtime::current_thread_runtime;
use mintshelf_consensus_node::client::propose;
use mintshelf_consensus_node::frame::NamedLease;
use mintshelf_lease::command::{Command, Response};
use mintshelf_lease::lease::LeaseHolder;
use mintshelf_time::{Nanos, MILLISECOND};
use serde::Serialize;
use serde_json::json;
use std::path::Path;

/// JSON output of a lease.
#[derive(Serialize)]
struct LeaseOutput<'a> {
    #[serde(rename = "lease")]
    name: &'a str,
    #[serde(rename = "held")]
    holder: Option<HolderOutput<'a>>,
    waiting: Vec<&'a str>,
}

/// JSON output of a lease holder.
#[derive(Serialize)]
struct HolderOutput<'a> {
    member: &'a str,
    incarnation: u64,
    token: u64,
    #[serde(rename = "span_ms")]
    duration_ms: Nanos,
    renewals: u64,
    #[serde(rename = "revoked")]
    is_revoked: bool,
}

/// Prints a table, or JSON, of all leases that the fleet's leader reports.
pub fn list(config: &Path, as_json: bool) -> Result<(), CommandError> {
    let status = FleetStatus::fetch(&load_fleet(config)?)?;
    let leases: Vec<&NamedLease> = status.leader()?.leases.iter().collect();
    print(&leases, as_json);
    Ok(())
}

/// Prints the lease `name` as a table, or as JSON, as reported by the fleet's leader.
pub fn show(config: &Path, name: &str, as_json: bool) -> Result<(), CommandError> {
    let status = FleetStatus::fetch(&load_fleet(config)?)?;
    let lease = status.leader()?.leases.iter().find(|lease| lease.name == name);
    let lease = lease.ok_or_else(|| CommandError::UnknownLease { lease: name.to_owned() })?;
    print(&[lease], as_json);
    Ok(())
}

fn print(leases: &[&NamedLease], as_json: bool) {
    if as_json {
        let output: Vec<LeaseOutput> = leases.iter().map(|lease| lease_output(lease)).collect();
        println!("{:#}", json!(output));
    } else {
        print_table(leases);
    }
}

fn waiting_members(lease: &NamedLease) -> Vec<&str> {
    lease.lease.queue.iter().map(|waiter| waiter.owner.member.as_str()).collect()
}

fn lease_output(lease: &NamedLease) -> LeaseOutput<'_> {
    let holder = lease.lease.holder.as_ref().map(|holder| HolderOutput {
        member: &holder.owner.member,
        incarnation: holder.owner.incarnation,
        token: holder.token,
        duration_ms: holder.duration / MILLISECOND,
        renewals: holder.renewals,
        is_revoked: holder.is_revoked,
    });
    LeaseOutput { name: &lease.name, holder, waiting: waiting_members(lease) }
}

fn print_table(leases: &[&NamedLease]) {
    println!(
        "{:<24} {:<16} {:>8} {:>9} {:>9}  waiting",
        "lease", "holder", "token", "span ms", "renewals"
    );
    for lease in leases {
        let name = &lease.name;
        let waiting = waiting_members(lease).join(", ");
        match &lease.lease.holder {
            None => println!("{name:<24} {:<16} {:>8} {:>9} {:>9}  {waiting}", "-", "-", "-", "-"),
            Some(LeaseHolder { owner, token, duration, renewals, is_revoked }) => println!(
                "{name:<24} {:<16} {token:>8} {:>9} {renewals:>9}  {waiting}{}",
                owner.member,
                duration / MILLISECOND,
                if *is_revoked { " (revoked)" } else { "" },
            ),
        }
    }
}

/// Revokes a lease: its holder can no longer renew it, so that it expires.
pub fn release(config: &Path, name: &str) -> Result<(), CommandError> {
    let fleet = load_fleet(config)?;
    let runtime = current_thread_runtime().map_err(CommandError::Runtime)?;
    let lease = name.to_owned();
    let command = Command::Revoke { lease: lease.clone() };
    let replicas = replica_addresses(&fleet);
    match runtime.block_on(propose(&fleet.fleet, command_owner(&fleet), &replicas, command)) {
        Ok(Response::Done) => {
            println!("lease '{lease}' is revoked: it can't be renewed and expires");
            Ok(())
        }
        Ok(Response::Rejected(rejection)) => Err(CommandError::Rejected { lease, rejection }),
        _ => Err(CommandError::NoResponse),
    }
}
