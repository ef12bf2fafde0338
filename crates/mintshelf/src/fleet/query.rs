//! Loads the fleet of an operator's file and fetches the status of its replicas, for all commands.

use super::error::CommandError;
use crate::config_file;
use crate::random::random_u64;
use crate::runtime::current_thread_runtime;
use mintshelf_config::model::FleetConfig;
use mintshelf_consensus_node::client::fetch_status;
use mintshelf_consensus_node::frame::StatusReport;
use mintshelf_consensus_node::store::StoreIdentity;
use mintshelf_lease::command::Owner;
use std::net::SocketAddr;
use std::path::Path;

/// Returns the fleet of an operator's file.
pub fn load_fleet(config: &Path) -> Result<FleetConfig, CommandError> {
    let file = config_file::read(config).map_err(|error| CommandError::Config {
        problems: error.lines(),
        exit_code: error.exit_code(),
    })?;
    file.fleet.ok_or_else(|| CommandError::NoFleet { config: config.to_owned() })
}

/// Returns the identity that the store of a replica must have.
pub fn store_identity(fleet: &FleetConfig, id: u64) -> StoreIdentity {
    StoreIdentity { fleet: fleet.fleet.clone(), replica: id }
}

/// Returns the addresses of all replicas in the order of the file.
pub fn replica_addresses(fleet: &FleetConfig) -> Vec<SocketAddr> {
    fleet.voters.iter().map(|voter| voter.address).collect()
}

/// Returns the owner in whose name a command sends requests, with a random incarnation.
pub fn command_owner(fleet: &FleetConfig) -> Owner {
    // Request numbers have the incarnation in their upper 32 bits, so the incarnation has 32 bits.
    let incarnation = random_u64() >> 32;
    Owner { member: fleet.name.clone(), incarnation }
}

/// The status of all replicas.
pub struct FleetStatus {
    /// Report of each replica in the order of the operator's file; `None` if the replica does not
    /// respond.
    pub reports: Vec<Option<StatusReport>>,
}

impl FleetStatus {
    /// Requests the status of all replicas concurrently.
    pub fn fetch(fleet: &FleetConfig) -> Result<Self, CommandError> {
        let runtime = current_thread_runtime().map_err(CommandError::Runtime)?;
        let owner = command_owner(fleet);
        let fetch = |address: SocketAddr| {
            let name = fleet.fleet.clone();
            let owner = owner.clone();
            runtime.spawn(async move { fetch_status(&name, owner, address).await })
        };
        let tasks: Vec<_> = replica_addresses(fleet).into_iter().map(fetch).collect();
        let reports = runtime.block_on(async {
            let mut reports = Vec::new();
            for task in tasks {
                // The commands do not need the reason why a replica does not respond.
                reports.push(task.await.ok().and_then(Result::ok));
            }
            reports
        });
        Ok(FleetStatus { reports })
    }

    /// Returns the reports of the replicas that respond.
    pub fn responding(&self) -> impl Iterator<Item = &StatusReport> {
        self.reports.iter().flatten()
    }

    /// Returns the report of the leader with the newest term.
    ///
    /// # Errors
    /// Returns [`CommandError::NoLeader`] if no responding replica is the leader.
    pub fn leader(&self) -> Result<&StatusReport, CommandError> {
        let leaders = self.responding().filter(|report| report.status.is_leader);
        leaders.max_by_key(|report| report.status.term).ok_or_else(|| CommandError::NoLeader {
            responding: self.responding().count(),
            replicas: self.reports.len(),
        })
    }
}
