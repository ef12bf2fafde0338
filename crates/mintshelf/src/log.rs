//! Structured logging to standard error, one line for each event.

use std::env;
use thiserror::Error;
use tracing_subscriber::filter::{EnvFilter, LevelFilter, ParseError};

/// Environment variable with the filter directives of the log, such as `info` or
/// `mintshelf=debug`.
const LOG_FILTER_VARIABLE: &str = "MINTSHELF_LOG";

/// The filter directives cannot be parsed.
#[derive(Debug, Error)]
#[error("{}: '{directives}': {source}; use a level such as info or warn", LOG_FILTER_VARIABLE)]
pub struct LogFilterError {
    directives: String,
    source: ParseError,
}

/// Returns whether the environment variable is set. Without it the platform's sidecar writes no
/// log.
pub fn is_configured() -> bool {
    env::var_os(LOG_FILTER_VARIABLE).is_some()
}

/// Initializes logging, with events as text or as JSON.
///
/// # Errors
/// Returns an error if the environment variable does not hold valid directives.
pub fn init(as_json: bool) -> Result<(), LogFilterError> {
    let directives = env::var(LOG_FILTER_VARIABLE).unwrap_or_default();
    let filter = EnvFilter::builder()
        .with_default_directive(LevelFilter::INFO.into())
        .parse(&directives)
        .map_err(|source| LogFilterError { directives, source })?;
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let initialized = if as_json {
        subscriber.json().try_init()
    } else {
        subscriber.with_ansi(false).with_target(false).try_init()
    };
    // Fails only if a subscriber is installed already, which then stays in use.
    initialized.ok();
    Ok(())
}
