//! The errors of a replica.

use crate::message::MessageError;
use thiserror::Error;

/// What went wrong in a replica. It may go on after [`ReplicaError::Message`] and
/// [`ReplicaError::Unavailable`] only.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// An error of the raft library.
    #[error("consensus: {0}")]
    Raft(#[from] raft::Error),
    /// The persistent state is unusable.
    #[error("the stored state can't be read: {0}")]
    StoredState(#[from] StoredStateError),
    /// A message was rejected; nothing has changed.
    #[error("not a replica's message: {0}")]
    Message(#[from] MessageError),
    /// The store is empty, or older than what this replica has acknowledged from it, and a leader
    /// counts on those entries. The replica must not go on under this number: its votes may be
    /// lost too.
    #[error(
        "the store ends at entry {stored}, and a leader knows that it held {acknowledged}: it was \
         emptied or put back to an older state; this voter must stop"
    )]
    StoreBehind {
        /// Last index that has been acknowledged.
        acknowledged: u64,
        /// Last index that there is.
        stored: u64,
    },
    /// No leader is known, or too many proposals are in flight.
    #[error("no leader accepts proposals now")]
    Unavailable,
}

/// Why a persistent state is unusable.
#[derive(Debug, Error)]
pub enum StoredStateError {
    /// The entries do not follow one another and the snapshot.
    #[error("entries out of order")]
    EntriesOutOfOrder,
    /// Term or commit index contradict the entries.
    #[error("term and commit index don't match the entries")]
    HardStateMismatch,
    /// The snapshot names no voters.
    #[error("no voters")]
    NoVoters,
    /// The snapshot is not one of this state machine.
    #[error("snapshot: {0}")]
    Snapshot(#[from] postcard::Error),
}
