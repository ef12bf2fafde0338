//! Errors of the fleet and lease commands, and their exit codes.

use crate::exit_code::{EXIT_UNAVAILABLE, EXIT_UNUSABLE_INPUT};
use mintshelf_consensus_node::store_error::StoreError;
use mintshelf_lease::command::Rejection;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use thiserror::Error;

/// An error of a fleet or lease command.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The operator's file can't be read or has errors.
    #[error("{}", problems.join("\nmintshelf: "))]
    Config {
        /// One line for each problem.
        problems: Vec<String>,
        /// Distinguishes a file that can't be read from one with errors.
        exit_code: ExitCode,
    },
    /// The file has no fleet.
    #[error("{}: there is no [fleet] table", config.display())]
    NoFleet {
        /// Path of the operator's configuration file.
        config: PathBuf,
    },
    /// This process is a member, which has no store.
    #[error("'{name}' is not a voter: it has no store")]
    NotReplica {
        /// Name of this process.
        name: String,
    },
    /// This replica has no directory. The validation of the file rules this out.
    #[error("this voter has no directory")]
    NoDirectory,
    /// The store can't be used.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store is not empty.
    #[error("{}: holds a voter's store already; nothing was changed", directory.display())]
    AlreadyInitialized {
        /// Directory that holds the store and was left unchanged.
        directory: PathBuf,
    },
    /// The asynchronous runtime can't be started.
    #[error("runtime: {0}")]
    Runtime(#[source] io::Error),
    /// No replica that responds is the leader.
    #[error(
        "no leader: {responding} of {replicas} voters answer, {} are needed",
        replicas / 2 + 1
    )]
    NoLeader {
        /// Number of replicas that respond.
        responding: usize,
        /// Number of replicas that the fleet has, whether they respond or not.
        replicas: usize,
    },
    /// No replica has responded to a proposed command.
    #[error("no voter responds: try again when a majority is running")]
    NoResponse,
    /// The lease is neither held nor waited for.
    #[error("lease '{lease}' is neither held nor waited for")]
    UnknownLease {
        /// Name of the lease.
        lease: String,
    },
    /// The command was rejected.
    #[error("'{lease}': {rejection}")]
    Rejected {
        /// Name of the lease.
        lease: String,
        /// The reason why the fleet rejected the command.
        rejection: Rejection,
    },
    /// The lease duration is out of bounds.
    #[error("--span must be 1s to 24h")]
    InvalidDuration,
    /// The path of this program can't be determined.
    #[error("can't find the executable of this program: {0}")]
    CurrentExecutable(#[source] io::Error),
    /// The guard can't be started.
    #[error("can't start the guard process: {0}")]
    Guard(#[source] io::Error),
    /// The guard has no standard input, by which it is notified of renewals.
    #[error("the guard process has no standard input")]
    GuardStdin,
    /// The status of the guard can't be determined.
    #[error("can't get the status of the guard process: {0}")]
    GuardStatus(#[source] io::Error),
}

impl CommandError {
    /// Prints the error and returns the exit code of the command.
    pub fn report(&self) -> ExitCode {
        eprintln!("mintshelf: {self}");
        match self {
            CommandError::Config { exit_code, .. } => *exit_code,
            CommandError::InvalidDuration => ExitCode::from(EXIT_UNUSABLE_INPUT),
            CommandError::NoLeader { .. } | CommandError::NoResponse => {
                ExitCode::from(EXIT_UNAVAILABLE)
            }
            _ => ExitCode::FAILURE,
        }
    }
}
