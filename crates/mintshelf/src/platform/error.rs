//! Startup errors of the platform's sidecar.

use crate::log::LogFilterError;
use mintshelf_config::platform::ConfigError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Environment variable with the path of the configuration file.
pub const CONFIG_VARIABLE: &str = "RELAY_CONFIG";

/// An error that prevents the sidecar from starting.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The environment variable is not set.
    #[error("environment: {}: is not set", CONFIG_VARIABLE)]
    NoConfig,
    /// The filter directives of the log cannot be parsed.
    #[error("environment: {0}")]
    LogFilter(#[from] LogFilterError),
    /// The configuration cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address of the configuration cannot be bound.
    #[error("{}: {field}: {source}", file.display())]
    Address {
        /// Path of the configuration file.
        file: PathBuf,
        /// The field with the address.
        field: &'static str,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// A signal handler cannot be registered.
    #[error("{name}: {source}")]
    Signal {
        /// Name of the signal.
        name: &'static str,
        /// The underlying I/O error.
        source: io::Error,
    },
}
