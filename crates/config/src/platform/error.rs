//! Why a sidecar's configuration is invalid.

use mintshelf_balancer::settings::SettingsError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Lower bound of the file descriptors with which a sidecar can do its work.
pub(super) const MIN_FILE_DESCRIPTORS: usize = 64;

/// Why the sidecar cannot start. Its message is one line that names the file and the field.
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

/// What is wrong with the content of the file.
#[derive(Debug, thiserror::Error)]
pub(super) enum ContentError {
    #[error(transparent)]
    Unreadable(std::io::Error),
    /// Not JSON, or a field is missing or of another type.
    #[error("{error}")]
    Json { field: String, error: serde_json::Error },
    #[error("'{text}': {error}")]
    Seed { text: String, error: ParseIntError },
    #[error("{0} is under {MIN_FILE_DESCRIPTORS}")]
    FewFileDescriptors(usize),
    /// The decision module rejects its settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("'{name}' is there twice")]
    DuplicateName { field: String, name: String },
    #[error("is 0: nothing could be sent to any server; it is 1 at least")]
    NoAttempts,
    #[error("is missing, but the settings allow peers")]
    NoPeerAddress,
}

impl ContentError {
    /// The field at fault, as in `limits.sockets`.
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
