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

/// Whether the environment asks for a log. The platform's sidecar writes none unless it does.
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
    // A second start in one process leaves the first in place.
    let _ = match as_json {
        true => lines.json().try_init(),
        false => lines.with_ansi(false).with_target(false).try_init(),
    };
    Ok(())
}
