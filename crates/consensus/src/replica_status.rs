//! The status that a replica reports.

use serde::{Deserialize, Serialize};

/// Role, term and progress of a replica.
///
/// Sent between processes in the postcard format, in which the order of the fields is significant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Number of the replica in its fleet, from 1.
    pub id: u64,
    /// Raft term that the replica is in.
    pub term: u64,
    /// Number of the leader; 0 if no leader is known.
    pub leader: u64,
    /// Whether this replica is the leader.
    pub is_leader: bool,
    /// Index of the last applied entry.
    pub applied_index: u64,
    /// Index of the last entry known to be committed.
    pub committed_index: u64,
}
