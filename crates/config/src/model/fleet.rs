//! The fleet that agrees on leases, and the role of this process in it.

use mintshelf_lease::timing::Timing;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The fleet, and the role of this process in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetConfig {
    /// The fleet's name: processes of other fleets are rejected.
    pub fleet: String,
    /// The name of this process in the fleet.
    pub name: String,
    /// This process's ID if it is a voter: its position among the voters, from 1.
    pub id: Option<u64>,
    /// The directory in which a voter stores its log.
    pub directory: Option<PathBuf>,
    /// All voters, in the order of the file, which is the same in each process's file.
    pub voters: Vec<FleetVoter>,
    /// The durations of elections, heartbeats, sessions and leases, and the clock error.
    pub timing: Timing,
}

/// A process that votes in the fleet's elections and keeps its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetVoter {
    /// The name of the voter, unique in the fleet.
    pub name: String,
    /// The address at which the voter listens for the other processes.
    pub address: SocketAddr,
}
