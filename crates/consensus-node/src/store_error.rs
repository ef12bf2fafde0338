//! Errors of a replica's store, with the causes of damage.

use crate::store_tables::FORMAT;
use mintshelf_consensus::error::StoredStateError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Reason for which a store can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("{path}: another process uses this directory; end it, or give this voter its own")]
    InUse {
        /// Path of the file.
        path: PathBuf,
    },
    /// The store belongs to another replica or another fleet.
    #[error(
        "{path}: belongs to voter {replica} of fleet {fleet:?}; correct the directory or the name"
    )]
    IdentityMismatch {
        /// Path of the file.
        path: PathBuf,
        /// Name of the fleet that the store belongs to.
        fleet: String,
        /// Number of the replica that the store belongs to.
        replica: u64,
    },
    /// The store was written by a newer or an older version.
    #[error("{path}: store has format version {format}, this program reads {FORMAT}")]
    UnsupportedFormat {
        /// Path of the file.
        path: PathBuf,
        /// Format version of the store.
        format: u64,
    },
    /// The file was truncated or overwritten, or never was a store.
    #[error(
        "{path}: damaged ({cause}); this voter must not continue from it: move the file away and \
         let the voter join as a new one"
    )]
    Corrupted {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the damage.
        #[source]
        cause: Corruption,
    },
    /// The file system or the database failed.
    #[error("{path}: {source}")]
    Disk {
        /// Path of the file or directory.
        path: PathBuf,
        /// The error that the system or the database reported.
        source: DiskError,
    },
}

/// Kind of damage found in a store.
#[derive(Debug, Error)]
pub enum Corruption {
    /// The file is empty.
    #[error("file is empty")]
    Empty,
    /// Fleet, replica or format is missing.
    #[error("fleet, voter or format is missing")]
    MissingIdentity,
    /// Snapshot or hard state is missing.
    #[error("snapshot or hard state is missing")]
    MissingState,
    /// The database reports corruption.
    #[error("{0}")]
    Storage(#[source] redb::Error),
    /// The file can't be opened as a database.
    #[error(transparent)]
    Database(redb::DatabaseError),
    /// A part of the state can't be decoded.
    #[error(transparent)]
    Protobuf(#[from] protobuf::ProtobufError),
    /// The parts of the state contradict each other.
    #[error(transparent)]
    State(#[from] StoredStateError),
}

/// An error of the file system or of the database.
#[derive(Debug, Error)]
pub enum DiskError {
    /// The file system reported an I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The database reported an error other than corruption.
    #[error(transparent)]
    Database(#[from] redb::Error),
}

impl StoreError {
    pub(crate) fn io(path: &Path, error: io::Error) -> Self {
        StoreError::Disk { path: path.to_owned(), source: error.into() }
    }

    pub(crate) fn corrupted(path: &Path, cause: impl Into<Corruption>) -> Self {
        StoreError::Corrupted { path: path.to_owned(), cause: cause.into() }
    }

    /// Converts an error from opening the database.
    pub(crate) fn from_open(path: &Path, error: redb::DatabaseError) -> Self {
        match error {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path: path.to_owned() },
            redb::DatabaseError::Storage(redb::StorageError::Io(error))
                if error.kind() != io::ErrorKind::InvalidData =>
            {
                StoreError::io(path, error)
            }
            error => StoreError::corrupted(path, Corruption::Database(error)),
        }
    }

    /// Converts an error from using the open database.
    pub(crate) fn from_database(path: &Path, error: redb::Error) -> Self {
        match error {
            redb::Error::Corrupted(_) => StoreError::corrupted(path, Corruption::Storage(error)),
            error => StoreError::Disk { path: path.to_owned(), source: error.into() },
        }
    }
}
