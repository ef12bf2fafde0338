//! What a replica reports of itself.

use serde::{Deserialize, Serialize};

/// Role, term and progress of a replica.
///
/// Frames between processes hold it in the postcard format: the order of the fields is part of
/// that format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its number.
    pub id: u64,
    /// Its current term.
    pub term: u64,
    /// Number of the leader; 0 if none is known.
    pub leader: u64,
    /// Whether it is the leader itself.
    pub is_leader: bool,
    /// Index of the last entry that it has applied.
    pub applied_index: u64,
    /// Index of the last entry that it knows to be committed.
    pub committed_index: u64,
}
