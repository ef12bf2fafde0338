//! The part of a replica's state that survives a restart.

use crate::error::StoredStateError;
use crate::log::Log;
use crate::write_batch::WriteBatch;
use raft::eraftpb::{Entry, HardState, Snapshot};

/// The persistent state of a replica: read when the replica starts, changed by [`WriteBatch`] only.
#[derive(Debug, Clone, Default)]
pub struct PersistentState {
    log: Log,
}

impl PersistentState {
    /// Returns the initial state of every replica of a new fleet. Replicas are numbered from 1.
    #[must_use]
    pub fn new_fleet(replica_ids: &[u64]) -> Self {
        PersistentState { log: Log::new_fleet(replica_ids) }
    }

    /// Builds the state from the parts that a store has read.
    ///
    /// # Errors
    /// The parts contradict each other, or the snapshot names no voters.
    pub fn from_parts(
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Vec<Entry>,
    ) -> Result<Self, StoredStateError> {
        let metadata = snapshot.get_metadata();
        let mut last_index = metadata.index;
        let mut last_term = metadata.term;
        for entry in &entries {
            if entry.index != last_index + 1 || entry.term < last_term {
                return Err(StoredStateError::EntriesOutOfOrder);
            }
            last_index = entry.index;
            last_term = entry.term;
        }
        let commit_range = metadata.index..=last_index;
        if !commit_range.contains(&hard_state.commit) || hard_state.term < last_term {
            return Err(StoredStateError::HardStateMismatch);
        }
        if metadata.get_conf_state().voters.is_empty() {
            return Err(StoredStateError::NoVoters);
        }
        Ok(PersistentState { log: Log::from_parts(hard_state, snapshot, entries) })
    }

    /// Applies a batch, including its compaction.
    pub fn write<R>(&mut self, batch: &WriteBatch<R>) {
        self.log.write(batch);
        if let Some(snapshot) = &batch.compaction {
            self.log.compact(snapshot);
        }
    }

    /// Returns the term, vote and commit index.
    pub fn hard_state(&self) -> &HardState {
        &self.log.hard_state
    }

    /// Returns the last stored snapshot of the state machine.
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    /// Returns the log entries after the snapshot.
    pub fn entries(&self) -> &[Entry] {
        self.log.entries()
    }

    pub(crate) fn log(&self) -> &Log {
        &self.log
    }
}
