//! The fleet: the replica that runs beside the traffic, and the commands `mintshelf fleet` and
//! `mintshelf lease`.

mod commands;
mod error;
mod init;
mod lease_guard;
mod lease_run;
mod leases;
mod query;
mod replica_thread;
mod status;

pub use commands::{fleet_command, lease_command, FleetCommand, LeaseCommand};
pub use replica_thread::{start, StartError};
