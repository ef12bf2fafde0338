//! Errors of applying a configuration.

use crate::config_file::ConfigError;
use mintshelf_routing::TableError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that prevents a configuration from being applied.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file cannot be read or has problems.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Routes of a listener conflict.
    #[error(transparent)]
    Routes(#[from] TableError),
    /// A listener cannot be opened.
    #[error("can't open listener '{name}' at {address}: {source}")]
    Listener {
        /// Name of the listener.
        name: String,
        /// Address of the listener.
        address: SocketAddr,
        /// The underlying I/O error.
        source: io::Error,
    },
}

impl ReloadError {
    /// Returns one line for each problem.
    pub fn lines(&self) -> Vec<String> {
        match self {
            ReloadError::Config(error) => error.lines(),
            error => vec![error.to_string()],
        }
    }
}
