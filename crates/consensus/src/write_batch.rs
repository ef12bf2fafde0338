//! The writes and messages that a replica returns to its driver.

use mintshelf_lease::command;
use raft::eraftpb::{Entry, HardState, Message, Snapshot};
use serde::{Deserialize, Serialize};

/// Identifies a proposal by replica, incarnation and sequence number.
///
/// Stored in log entries in the postcard format, in which the order of the fields is significant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalId {
    /// Number of the proposing replica.
    pub replica: u64,
    /// Incarnation of that replica, different for each of its starts.
    pub incarnation: u64,
    /// Sequence number of the proposal within the incarnation, from 1.
    pub sequence: u64,
}

/// The state machine's response to a proposal made by this replica.
#[derive(Debug)]
pub struct ProposalResponse<R> {
    /// The id that [`crate::replica::Replica::propose`] returned.
    pub proposal: ProposalId,
    /// The result of applying the command.
    pub response: R,
}

/// State to write and sync, in the order of the fields, and messages that need not wait for the
/// write.
#[must_use = "the batch must be written: other replicas rely on it once its messages are sent"]
#[derive(Debug)]
pub struct WriteBatch<R = command::Response> {
    /// A leader's snapshot, which replaces the log; `None` if none was received.
    pub snapshot: Option<Snapshot>,
    /// Entries to append, after stored entries from the index of the first new entry on are
    /// removed.
    pub entries: Vec<Entry>,
    /// Term, vote and commit index; `None` if they have not changed.
    pub hard_state: Option<HardState>,
    /// A snapshot of this replica's state, which replaces the entries up to the snapshot's index;
    /// `None` if the log is not compacted.
    pub compaction: Option<Snapshot>,
    /// Messages that may be sent before the batch is synced, since none depends on the batch.
    pub immediate_messages: Vec<Message>,
    /// Responses to committed proposals of this replica.
    pub responses: Vec<ProposalResponse<R>>,
    /// Whether the batch must be synced before its messages are sent.
    pub must_sync: bool,
}

impl<R> Default for WriteBatch<R> {
    fn default() -> Self {
        WriteBatch {
            snapshot: None,
            entries: Vec::new(),
            hard_state: None,
            compaction: None,
            immediate_messages: Vec::new(),
            responses: Vec::new(),
            must_sync: false,
        }
    }
}

impl<R> WriteBatch<R> {
    /// Returns whether the batch has nothing to write.
    pub fn is_empty(&self) -> bool {
        self.snapshot.is_none()
            && self.entries.is_empty()
            && self.hard_state.is_none()
            && self.compaction.is_none()
    }
}
