//! A load-balancing HTTP sidecar, which runs beside each client process or as a daemon in front of
//! any HTTP/1.1 service.

mod admin;
mod allocator;
mod check;
mod cli;
mod config_file;
mod daemon;
mod demo;
mod exit_code;
mod explain;
mod fleet;
mod log;
mod metrics;
mod platform;
mod random;
mod runtime;
mod service;

use clap::Parser;
use cli::{Cli, Command, Format};
use exit_code::EXIT_UNUSABLE_INPUT;
use runtime::current_thread_runtime;
use std::fmt::Display;
use std::future::Future;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Prints an error to standard error and returns the exit code.
fn print_error(error: impl Display, exit_code: ExitCode) -> ExitCode {
    eprintln!("mintshelf: {error}");
    exit_code
}

/// Runs an asynchronous command on the current thread and prints its error, if any.
fn block_on<E: Display>(command: impl Future<Output = Result<(), E>>) -> ExitCode {
    let runtime = match current_thread_runtime() {
        Ok(runtime) => runtime,
        Err(error) => {
            return print_error(format_args!("can't start the runtime: {error}"), ExitCode::FAILURE)
        }
    };
    match LocalSet::new().block_on(&runtime, command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_error(error, ExitCode::FAILURE),
    }
}

fn main() -> ExitCode {
    match Cli::parse().command {
        None => block_on(platform::run()),
        Some(Command::Run { config, watch, log_format }) => {
            match log::init(matches!(log_format, Format::Json)) {
                Ok(()) => block_on(service::run(config, watch)),
                Err(error) => print_error(error, ExitCode::from(EXIT_UNUSABLE_INPUT)),
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
