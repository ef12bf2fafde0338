//! The commands of the program and their options.

use crate::fleet::{FleetCommand, LeaseCommand};
use clap::{Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The arguments of the program.
#[derive(Parser)]
#[command(name = "mintshelf", version, about = "A load-balancing HTTP sidecar")]
#[command(
    after_help = "Without a command, runs the platform's sidecar with the file in RELAY_CONFIG."
)]
pub struct Cli {
    /// The command; without one, the platform's sidecar runs.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// The commands of the program.
#[derive(Subcommand)]
#[allow(clippy::doc_markdown, reason = "the doc comments are printed verbatim as help texts")]
pub enum Command {
    /// Run the daemon with an operator's file; SIGHUP reloads it
    Run {
        /// The operator's file
        #[arg(long)]
        config: PathBuf,
        /// Reload the file whenever it changes
        #[arg(long)]
        watch: bool,
        /// Format of the log; MINTSHELF_LOG sets its level, as in info
        #[arg(long, value_enum, default_value_t = Format::Text)]
        log_format: Format,
    },
    /// Report all errors in an operator's file; exit code 0 for none, 1 for some, 2 if it can't be
    /// read
    Check {
        /// The operator's file
        file: PathBuf,
        /// Format of the errors
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Show which route a request takes and why, and the timeouts and limits that apply to it
    Explain {
        /// The operator's file
        file: PathBuf,
        /// The request's method
        method: String,
        /// The request's URL, as in http://host/path?query
        url: String,
        /// A header of the request, as in 'name: value'; can be repeated
        #[arg(short = 'H', long = "header")]
        headers: Vec<String>,
    },
    /// Initialize a fleet of voters, and show its status
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// List and release leases, and run a command while a lease is held
    #[command(subcommand)]
    Lease(LeaseCommand),
    /// Print the JSON schema of an operator's file, for editors
    Schema,
    /// Start demo servers behind a sidecar, and show how it distributes requests
    Demo {
        /// Stop after this time; without it, at Ctrl-C
        #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration)]
        duration: Option<Duration>,
        /// Address on which the sidecar listens
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
    },
}

/// Output format of errors and of the log.
#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    /// One line for each error or log event
    Text,
    /// A JSON array of errors, or one JSON object per log event
    Json,
}
