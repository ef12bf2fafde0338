//! The log of the daemon: events with fields, a line each, on standard error.

use std::env;
use thiserror::Error;
use tracing_subscriber::filter::{EnvFilter, LevelFilter, ParseError};

/// Environment variable with the log levels, as in `info` or `mintshelf=debug`.
const LEVELS_VARIABLE: &str = "MINTSHELF_LOG";

/// The log levels cannot be parsed.
#[derive(Debug, Error)]
#[error("{}: '{levels}': {source}; write it as in info or warn", LEVELS_VARIABLE)]
pub struct LevelsError {
    levels: String,
    source: ParseError,
}

/// Whether the environment requests a log. The platform's sidecar writes none otherwise.
pub fn is_requested() -> bool {
    env::var_os(LEVELS_VARIABLE).is_some()
}

/// Starts the log, with lines as text or as JSON.
///
/// # Errors
/// The environment variable holds no levels.
pub fn start(as_json: bool) -> Result<(), LevelsError> {
    let levels = env::var(LEVELS_VARIABLE).unwrap_or_default();
    let filter = EnvFilter::builder()
        .with_default_directive(LevelFilter::INFO.into())
        .parse(&levels)
        .map_err(|source| LevelsError { levels, source })?;
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let started = if as_json {
        lines.json().try_init()
    } else {
        lines.with_ansi(false).with_target(false).try_init()
    };
    // It fails only if the log was started before, which stays in place.
    started.ok();
    Ok(())
}
