//! The command line of the program.

use crate::fleet::{FleetCommand, LeaseCommand};
use clap::{Parser, Subcommand, ValueEnum};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The command line.
#[derive(Parser)]
#[command(name = "mintshelf", version, about = "A load-balancing HTTP sidecar")]
#[command(
    after_help = "Without a command it is the platform's sidecar that RELAY_CONFIG describes."
)]
pub struct Cli {
    /// What to do; without it, the platform's sidecar runs.
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
#[allow(clippy::doc_markdown, reason = "the doc comments are help texts, printed as they are")]
pub enum Command {
    /// Serve what an operator's file describes; SIGHUP reads it again
    Run {
        /// The file
        #[arg(long)]
        config: PathBuf,
        /// Read the file again whenever it changes
        #[arg(long)]
        watch: bool,
        /// How lines of the log are written; MINTSHELF_LOG sets levels, as in info
        #[arg(long, value_enum, default_value_t = Format::Text)]
        log_format: Format,
    },
    /// Name every error in a file; exit code 0 for none, 1 for some, 2 if it can't be read
    Check {
        /// The file
        file: PathBuf,
        /// How errors are written
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
    },
    /// Tell which route a request takes and why, and every time-out and limit in force
    Explain {
        /// The file
        file: PathBuf,
        /// The request's method
        method: String,
        /// Its URL, as in http://host/path?query
        url: String,
        /// A header, as in 'name: value'
        #[arg(short = 'H', long = "header")]
        headers: Vec<String>,
    },
    /// Begin a fleet of voters, and tell how it is
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// What the fleet does once: who holds it, who waits
    #[command(subcommand)]
    Lease(LeaseCommand),
    /// Print the form of a file as a JSON schema, for editors
    Schema,
    /// Start stand-in servers and a sidecar in front, and show what goes where
    Demo {
        /// End after this time; otherwise at Ctrl-C
        #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration)]
        duration: Option<Duration>,
        /// Where the sidecar listens
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    /// A line for each
    Text,
    /// JSON: an array, or for the log an object a line
    Json,
}
