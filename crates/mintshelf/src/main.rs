//! A load-balancing HTTP sidecar: one process beside each client process, or a daemon in
//! front of any HTTP/1.1 service.

mod admin;
mod check;
mod config_file;
mod daemon;
mod demo;
mod explain;
mod fleet;
mod log;
mod metrics;
mod platform;
mod random;
mod service;

use clap::{Parser, Subcommand, ValueEnum};
use std::fmt::Display;
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

/// Exit code for a file that cannot be read or a command that cannot be parsed.
const EXIT_UNUSABLE: u8 = 2;

#[derive(Parser)]
#[command(name = "mintshelf", version, about = "A load-balancing HTTP sidecar")]
#[command(
    after_help = "Without a command it is the platform's sidecar that RELAY_CONFIG describes."
)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
#[allow(clippy::doc_markdown, reason = "the doc comments are help texts, printed as they are")]
enum Command {
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
    Fleet(fleet::FleetCommand),
    /// What the fleet does once: who holds it, who waits
    #[command(subcommand)]
    Lease(fleet::LeaseCommand),
    /// Print the form of a file as a JSON schema, for editors
    Schema,
    /// Start stand-in servers and a sidecar in front, and show what goes where
    Demo {
        /// End after this time; otherwise at Ctrl-C
        #[arg(long = "for", value_name = "SPAN", value_parser = humantime::parse_duration)]
        duration: Option<Duration>,
        /// Where the sidecar listens
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: std::net::SocketAddr,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Format {
    /// A line for each
    Text,
    /// JSON: an array, or for the log an object a line
    Json,
}

/// A runtime that runs futures on one thread.
fn runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// Prints an error; returns the exit code.
fn fail(error: impl Display, exit_code: ExitCode) -> ExitCode {
    eprintln!("mintshelf: {error}");
    exit_code
}

/// Runs a command on this thread; an error is printed.
fn block_on<E: Display>(command: impl Future<Output = Result<(), E>>) -> ExitCode {
    let runtime = match runtime() {
        Ok(runtime) => runtime,
        Err(error) => return fail(format_args!("runtime: {error}"), ExitCode::FAILURE),
    };
    match LocalSet::new().block_on(&runtime, command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error, ExitCode::FAILURE),
    }
}

fn main() -> ExitCode {
    match Cli::parse().command {
        None => block_on(platform::run()),
        Some(Command::Run { config, watch, log_format }) => {
            match log::start(matches!(log_format, Format::Json)) {
                Ok(()) => block_on(service::run(config, watch)),
                Err(error) => fail(error, ExitCode::from(EXIT_UNUSABLE)),
            }
        }
        Some(Command::Fleet(command)) => fleet::fleet_command(command),
        Some(Command::Lease(command)) => fleet::lease_command(command),
        Some(Command::Schema) => {
            println!("{:#}", mintshelf_config::schema::schema());
            ExitCode::SUCCESS
        }
        Some(Command::Check { file, format }) => check::run(&file, matches!(format, Format::Json)),
        Some(Command::Explain { file, method, url, headers }) => {
            explain::run(&file, &method, &url, &headers)
        }
        Some(Command::Demo { duration, listen }) => block_on(demo::run(duration, listen)),
    }
}
