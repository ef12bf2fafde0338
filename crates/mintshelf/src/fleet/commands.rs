//! Arguments and dispatch of `mintshelf fleet` and `mintshelf lease`.

use super::error::CommandError;
use super::lease_guard::{self, GuardConfig};
use super::{init, lease_run, leases, status};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The subcommands of `mintshelf fleet`.
#[derive(clap::Subcommand)]
pub enum FleetCommand {
    /// Initialize a new fleet; run it once at each voter, before its first start
    Init {
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
    },
    /// Show the leader, which voters respond and the progress of each
    Status {
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// Print the status as JSON
        #[arg(long)]
        json: bool,
    },
}

/// The subcommands of `mintshelf lease`.
#[derive(clap::Subcommand)]
pub enum LeaseCommand {
    /// List all leases that are held or waited for
    List {
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// Print the leases as JSON
        #[arg(long)]
        json: bool,
    },
    /// Show one lease
    Show {
        /// Name of the lease
        name: String,
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// Print the lease as JSON
        #[arg(long)]
        json: bool,
    },
    /// Run a command while a lease is held; exit code that of the command, 75 if the lease is not
    /// acquired, 74 if it is lost
    Run {
        /// Name of the lease
        name: String,
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// How long to wait for the lease
        #[arg(long, value_parser = humantime::parse_duration, default_value = "0s")]
        wait: Duration,
        /// Lease duration, at least 1s; without it, that of the file
        #[arg(long = "span", value_name = "SPAN", value_parser = humantime::parse_duration)]
        duration: Option<Duration>,
        /// The command and its arguments; MINTSHELF_LEASE_TOKEN holds the fencing token
        #[allow(
            clippy::doc_markdown,
            reason = "printed verbatim as help text, with any backticks"
        )]
        #[arg(last = true, required = true)]
        command: Vec<OsString>,
    },
    // Runs the command and ends it before the lease expires; started by `Run`.
    #[command(hide = true)]
    Guard {
        #[arg(long = "span-ns", value_name = "SPAN_NS")]
        duration_ns: u64,
        #[arg(long = "until-ns", value_name = "UNTIL_NS")]
        expires_at_ns: u64,
        #[arg(last = true, required = true)]
        command: Vec<OsString>,
    },
    // Ties the command to the life of its guard and executes it; started by `Guard`.
    #[command(hide = true)]
    Stage {
        #[arg(long)]
        guard: u32,
        #[arg(last = true, required = true)]
        command: Vec<OsString>,
    },
    /// Revoke a lease: its holder can't renew it, and it expires
    Release {
        /// Name of the lease
        name: String,
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
    },
}

/// Prints the error, if any, and returns the exit code.
fn exit_code_of_result(result: Result<(), CommandError>) -> ExitCode {
    result.map_or_else(|error| error.report(), |()| ExitCode::SUCCESS)
}

/// Runs a subcommand of `mintshelf fleet` and returns the exit code.
pub fn fleet_command(command: FleetCommand) -> ExitCode {
    match command {
        FleetCommand::Init { config } => exit_code_of_result(init::run(&config)),
        FleetCommand::Status { config, json } => exit_code_of_result(status::run(&config, json)),
    }
}

/// Runs a subcommand of `mintshelf lease` and returns the exit code.
pub fn lease_command(command: LeaseCommand) -> ExitCode {
    match command {
        LeaseCommand::List { config, json } => exit_code_of_result(leases::list(&config, json)),
        LeaseCommand::Show { name, config, json } => {
            exit_code_of_result(leases::show(&config, &name, json))
        }
        LeaseCommand::Release { name, config } => {
            exit_code_of_result(leases::release(&config, &name))
        }
        LeaseCommand::Run { name: lease, config, wait, duration, command } => {
            let options = lease_run::RunOptions { lease, wait, duration, command };
            lease_run::run(&config, options).unwrap_or_else(|error| error.report())
        }
        LeaseCommand::Guard { duration_ns, expires_at_ns, command } => {
            let config = GuardConfig { duration: duration_ns, expires_at: expires_at_ns };
            lease_guard::guard_main(&config, &command)
        }
        LeaseCommand::Stage { guard, command } => lease_guard::stage_main(guard, &command),
    }
}
