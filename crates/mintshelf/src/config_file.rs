//! Reads an operator's file.

use crate::exit_code::EXIT_UNUSABLE_INPUT;
use mintshelf_config::file;
use mintshelf_config::model::OperatorConfig;
use mintshelf_config::problem::Problem;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use thiserror::Error;

/// An error that prevents the use of an operator's file. Displayed with one line for each problem.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The file has at least one problem.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<Problem>),
}

fn join_lines(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

impl ConfigError {
    /// Returns one line for each problem.
    pub fn lines(&self) -> Vec<String> {
        match self {
            ConfigError::Unreadable { .. } => vec![self.to_string()],
            ConfigError::Invalid(problems) => problems.iter().map(Problem::to_string).collect(),
        }
    }

    /// Returns the exit code of a command: 2 if the file cannot be read, 1 if it has problems.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            ConfigError::Unreadable { .. } => ExitCode::from(EXIT_UNUSABLE_INPUT),
            ConfigError::Invalid(_) => ExitCode::FAILURE,
        }
    }
}

/// Reads and validates an operator's file.
///
/// # Errors
/// Returns an error if the file cannot be read or has problems.
pub fn read(path: &Path) -> Result<OperatorConfig, ConfigError> {
    let file = path.display().to_string();
    match std::fs::read(path) {
        Ok(bytes) => file::parse(&file, &bytes).map_err(ConfigError::Invalid),
        Err(source) => Err(ConfigError::Unreadable { file, source }),
    }
}
