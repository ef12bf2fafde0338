//! A voter's log as raft reads it: what is stored, mirrored in memory, behind the last snapshot.

use crate::replica::Batch;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// Entries since a snapshot, and the state that goes with them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Log {
    pub(crate) hard: HardState,
    pub(crate) conf: ConfState,
    pub(crate) snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    /// An empty log of a fleet with these voters.
    pub(crate) fn new(voters: &[u64]) -> Self {
        let mut log = Log::default();
        log.conf.voters = voters.to_vec();
        // A first snapshot, so that all begin from the same place.
        log.snapshot.mut_metadata().set_conf_state(log.conf.clone());
        log.snapshot.mut_metadata().index = 1;
        log.snapshot.mut_metadata().term = 1;
        (log.hard.term, log.hard.commit) = (1, 1);
        log
    }

    fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    /// What the last snapshot leaves of the log.
    pub(crate) fn kept(&self) -> usize {
        self.entries.len()
    }

    /// Adds entries; those they contradict go.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let at = first.index.saturating_sub(self.base() + 1) as usize;
        self.entries.truncate(at);
        let known = (self.base() + 1).saturating_sub(first.index) as usize;
        self.entries.extend(entries.iter().skip(known).cloned());
    }

    /// Writes a batch, but for a snapshot of the own state.
    pub(crate) fn write<A>(&mut self, batch: &Batch<A>) {
        batch.snapshot.iter().for_each(|snapshot| self.restore(snapshot));
        self.append(&batch.entries);
        if let Some(hard) = &batch.hard {
            self.hard = hard.clone();
        }
    }

    /// Takes a leader's snapshot in place of all before it.
    fn restore(&mut self, snapshot: &Snapshot) {
        let index = snapshot.get_metadata().index;
        if index <= self.base() {
            return;
        }
        self.entries.clear();
        self.conf = snapshot.get_metadata().get_conf_state().clone();
        self.hard.commit = self.hard.commit.max(index);
        self.hard.term = self.hard.term.max(snapshot.get_metadata().term);
        self.snapshot = snapshot.clone();
    }

    /// A snapshot of the state at an index.
    pub(crate) fn snapshot_of(&self, index: u64, data: Vec<u8>) -> Option<Snapshot> {
        let term = self.term(index).ok().filter(|_| index > self.base())?;
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(self.conf.clone());
        Some(snapshot)
    }

    /// Puts a snapshot of the own state in place of the entries up to its index.
    pub(crate) fn compact(&mut self, snapshot: &Snapshot) {
        let index = snapshot.get_metadata().index;
        if index > self.base() && index <= self.last() {
            self.entries.drain(..(index - self.base()) as usize);
            self.snapshot = snapshot.clone();
        }
    }

    /// The entries after the snapshot.
    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.base() - 1) as usize;
        let mut entries = self.entries[from..(high - self.base() - 1) as usize].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.base() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let at = (index - self.base() - 1) as usize;
        let entry = self.entries.get(at).ok_or(Error::Store(StorageError::Unavailable))?;
        Ok(entry.term)
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.base() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        if request_index > self.base() {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
