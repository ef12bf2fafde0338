//! Errors in a sidecar's configuration.

use mintshelf_balancer::settings::SettingsError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// The fewest file descriptors with which a sidecar can work.
pub(super) const MIN_FILE_DESCRIPTORS: usize = 64;

/// Error that prevents the sidecar from starting. The message is one line with the file and the
/// field.
#[derive(Debug, thiserror::Error)]
#[error("{}: {}: {}", .file.display(), .error.field(), one_line(.error))]
pub struct ConfigError {
    pub(super) file: PathBuf,
    #[source]
    pub(super) error: ContentError,
}

fn one_line(error: &ContentError) -> String {
    error.to_string().replace(['\n', '\r'], " ")
}

/// An error in the file's content.
#[derive(Debug, thiserror::Error)]
pub(super) enum ContentError {
    #[error(transparent)]
    Unreadable(std::io::Error),
    /// Not JSON, or a field is missing or of another type.
    #[error("{error}")]
    Json { field: String, error: serde_json::Error },
    #[error("'{text}': {error}")]
    Seed { text: String, error: ParseIntError },
    #[error("{0} is below the minimum of {MIN_FILE_DESCRIPTORS}")]
    FewFileDescriptors(usize),
    /// The decision module rejects its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("duplicate name '{name}'")]
    DuplicateName { field: String, name: String },
    #[error("is 0, but no request can be sent without an attempt; the minimum is 1")]
    NoAttempts,
    #[error("is missing, but the settings enable peers")]
    NoPeerAddress,
}

impl ContentError {
    /// Returns the path of the invalid field, as in `limits.sockets`.
    fn field(&self) -> &str {
        match self {
            ContentError::Unreadable(_) => "file",
            ContentError::Json { field, .. } | ContentError::DuplicateName { field, .. } => field,
            ContentError::Seed { .. } => "seed",
            ContentError::FewFileDescriptors(_) => "limits.sockets",
            ContentError::Settings(_) => "settings",
            ContentError::NoAttempts => "settings.limits.max-attempts",
            ContentError::NoPeerAddress => "peer_listen",
        }
    }
}
