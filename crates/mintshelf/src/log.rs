//! The daemon's log: lines with fields on standard error.

use tracing_subscriber::filter::{EnvFilter, LevelFilter};

/// The variable that sets levels.
const LEVELS: &str = "MINTSHELF_LOG";

/// Starts the log; what the variable says is an error if it can't be understood.
pub fn start(json: bool) -> Result<(), String> {
    let stated = std::env::var(LEVELS).unwrap_or_default();
    let filter = EnvFilter::builder()
        .with_default_directive(LevelFilter::INFO.into())
        .parse(&stated)
        .map_err(|e| format!("{LEVELS}: '{stated}': {e}; write it as in info or warn"))?;
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    // A second start in one process leaves the first in place.
    let _ = match json {
        true => lines.json().try_init(),
        false => lines.with_ansi(false).with_target(false).try_init(),
    };
    Ok(())
}
