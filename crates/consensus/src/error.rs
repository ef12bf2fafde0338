//! The errors of a replica.

use crate::message::MessageError;
use thiserror::Error;

/// An error of a replica. The replica can continue after [`ReplicaError::Message`] and
/// [`ReplicaError::Unavailable`]; after any other error the replica must stop.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// An error of the raft library.
    #[error("raft: {0}")]
    Raft(#[from] raft::Error),
    /// The persistent state is invalid.
    #[error("stored state is invalid: {0}")]
    StoredState(#[from] StoredStateError),
    /// A message was rejected; the replica's state is unchanged.
    #[error("invalid raft message: {0}")]
    Message(#[from] MessageError),
    /// The store was emptied or restored to an older state: a leader relies on entries that this
    /// replica acknowledged and no longer has. The replica must not continue under this number,
    /// since its votes may be lost too.
    #[error(
        "the store ends at entry {stored}, but a leader relies on entries up to {acknowledged} \
         that this voter acknowledged: the store was emptied or restored to an older state; this \
         voter must stop"
    )]
    StoreBehind {
        /// Last index that this replica has acknowledged to the leader.
        acknowledged: u64,
        /// Last index in the store.
        stored: u64,
    },
    /// No leader is known, or too many proposals are in flight.
    #[error("no leader accepts proposals at present")]
    Unavailable,
}

/// Reason for which a replica can't start from a stored
/// [`PersistentState`](crate::persistent_state::PersistentState).
#[derive(Debug, Error)]
pub enum StoredStateError {
    /// The entries are not consecutive, or do not continue from the snapshot.
    #[error("log entries are not consecutive")]
    EntriesOutOfOrder,
    /// The hard state's term or commit index contradicts the entries.
    #[error("term or commit index contradicts the log entries")]
    HardStateMismatch,
    /// The snapshot names no voters.
    #[error("snapshot names no voters")]
    NoVoters,
    /// The snapshot can't be decoded as this state machine.
    #[error("snapshot can't be decoded: {0}")]
    Snapshot(#[from] postcard::Error),
}
