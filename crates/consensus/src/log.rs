//! The raft library's storage: an in-memory copy of the persistent state.

use crate::write_batch::WriteBatch;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// The last snapshot, the entries after it and the hard state. The entries have consecutive
/// indexes, starting right after the snapshot.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    pub(crate) hard_state: HardState,
    pub(crate) conf_state: ConfState,
    pub(crate) snapshot: Snapshot,
    entries: Vec<Entry>,
}

/// Returns the number of entries in `first..end`; 0 if `end` is lower than `first`.
fn entry_count(first: u64, end: u64) -> usize {
    usize::try_from(end.saturating_sub(first)).unwrap_or(usize::MAX)
}

impl Log {
    /// Creates the empty log of a new fleet.
    pub(crate) fn new_fleet(replica_ids: &[u64]) -> Self {
        let mut log = Log::default();
        log.conf_state.voters = replica_ids.to_vec();
        // All replicas start from the same initial snapshot, at index 1.
        let metadata = log.snapshot.mut_metadata();
        metadata.set_conf_state(log.conf_state.clone());
        metadata.index = 1;
        metadata.term = 1;
        log.hard_state.term = 1;
        log.hard_state.commit = 1;
        log
    }

    /// Builds a log from parts that the caller has checked for consistency.
    pub(crate) fn from_parts(
        hard_state: HardState,
        snapshot: Snapshot,
        entries: Vec<Entry>,
    ) -> Self {
        let conf_state = snapshot.get_metadata().get_conf_state().clone();
        Log { hard_state, conf_state, snapshot, entries }
    }

    fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// Returns the index of the last entry, or of the snapshot if no entry follows the snapshot.
    fn last_stored_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot_index(), |entry| entry.index)
    }

    /// Returns the position in `entries` of the entry at `index`, which must be after the snapshot.
    fn position(&self, index: u64) -> usize {
        entry_count(self.snapshot_index() + 1, index)
    }

    /// Returns the entries after the snapshot.
    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Appends entries, after removing stored entries from their first index on. Entries that the
    /// snapshot covers are skipped.
    fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.entries.truncate(self.position(first.index));
        let compacted_count = entry_count(first.index, self.snapshot_index() + 1);
        self.entries.extend(entries.iter().skip(compacted_count).cloned());
    }

    /// Applies a batch, except for its compaction.
    pub(crate) fn write<R>(&mut self, batch: &WriteBatch<R>) {
        if let Some(snapshot) = &batch.snapshot {
            self.restore(snapshot);
        }
        self.append(&batch.entries);
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state = hard_state.clone();
        }
    }

    /// Replaces the log with a leader's snapshot, unless the log's own is at least as recent.
    fn restore(&mut self, snapshot: &Snapshot) {
        let metadata = snapshot.get_metadata();
        if metadata.index <= self.snapshot_index() {
            return;
        }
        self.entries.clear();
        self.conf_state = metadata.get_conf_state().clone();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.snapshot = snapshot.clone();
    }

    /// Builds a snapshot of `data` at `index`; `None` if the log has no entry with that index.
    pub(crate) fn snapshot_at(&self, index: u64, data: Vec<u8>) -> Option<Snapshot> {
        let term = self.term(index).ok().filter(|_| index > self.snapshot_index())?;
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let metadata = snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = term;
        metadata.set_conf_state(self.conf_state.clone());
        Some(snapshot)
    }

    /// Replaces the entries up to the snapshot's index with a snapshot of this replica's state.
    pub(crate) fn compact(&mut self, snapshot: &Snapshot) {
        let index = snapshot.get_metadata().index;
        if index > self.snapshot_index() && index <= self.last_stored_index() {
            self.entries.drain(..entry_count(self.snapshot_index(), index));
            self.snapshot = snapshot.clone();
        }
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_stored_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let mut entries = self.entries[self.position(low)..self.position(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.snapshot_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get(self.position(index));
        let entry = entry.ok_or(Error::Store(StorageError::Unavailable))?;
        Ok(entry.term)
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last_stored_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        if request_index > self.snapshot_index() {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
