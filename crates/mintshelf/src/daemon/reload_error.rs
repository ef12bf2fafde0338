//! Why a configuration is not applied.

use crate::config_file::ConfigError;
use mintshelf_routing::TableError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a configuration is not applied.
#[derive(Debug, Error)]
pub enum ReloadError {
    /// The file cannot be read or has problems.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The routes of a listener contradict each other.
    #[error(transparent)]
    Routes(#[from] TableError),
    /// A listener cannot be opened.
    #[error("listener '{name}', {address}: {source}")]
    Listener {
        /// Its name.
        name: String,
        /// Its address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}

impl ReloadError {
    /// What is wrong, a line for each problem.
    pub fn lines(&self) -> Vec<String> {
        match self {
            ReloadError::Config(error) => error.lines(),
            error => vec![error.to_string()],
        }
    }
}
