//! Encodes batches into the store's tables and decodes the stored state.

use crate::store_error::Corruption;
use crate::store_tables::{ENTRIES, HARD_STATE_KEY, SNAPSHOT_KEY, STATE};
use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus::write_batch::WriteBatch;
use protobuf::{Message, ProtobufError};
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{ReadTransaction, ReadableTable, WriteTransaction};

/// A log entry, encoded.
struct EncodedEntry {
    index: u64,
    bytes: Vec<u8>,
}

/// A snapshot, encoded, which replaces the entries up to `index`.
struct EncodedCompaction {
    index: u64,
    snapshot: Vec<u8>,
}

/// A batch, encoded before its transaction begins.
pub(crate) struct EncodedBatch {
    snapshot: Option<Vec<u8>>,
    entries: Vec<EncodedEntry>,
    hard_state: Option<Vec<u8>>,
    compaction: Option<EncodedCompaction>,
}

impl EncodedBatch {
    pub(crate) fn new(batch: &WriteBatch) -> Result<Self, ProtobufError> {
        let encode_entry = |entry: &Entry| -> Result<EncodedEntry, ProtobufError> {
            Ok(EncodedEntry { index: entry.index, bytes: entry.write_to_bytes()? })
        };
        let encode_compaction = |snapshot: &Snapshot| -> Result<EncodedCompaction, ProtobufError> {
            let index = snapshot.get_metadata().index;
            Ok(EncodedCompaction { index, snapshot: snapshot.write_to_bytes()? })
        };
        Ok(EncodedBatch {
            snapshot: batch.snapshot.as_ref().map(Snapshot::write_to_bytes).transpose()?,
            entries: batch.entries.iter().map(encode_entry).collect::<Result<_, _>>()?,
            hard_state: batch.hard_state.as_ref().map(HardState::write_to_bytes).transpose()?,
            compaction: batch.compaction.as_ref().map(encode_compaction).transpose()?,
        })
    }

    /// Writes the batch to the tables, in the order of its fields.
    pub(crate) fn write_to(&self, transaction: &WriteTransaction) -> Result<(), redb::Error> {
        let mut log = transaction.open_table(ENTRIES)?;
        let mut state = transaction.open_table(STATE)?;
        if let Some(snapshot) = &self.snapshot {
            log.retain(|_, _| false)?;
            state.insert(SNAPSHOT_KEY, snapshot.as_slice())?;
        }
        if let Some(first) = self.entries.first() {
            log.retain_in(first.index.., |_, _| false)?;
        }
        for entry in &self.entries {
            log.insert(entry.index, entry.bytes.as_slice())?;
        }
        if let Some(hard_state) = &self.hard_state {
            state.insert(HARD_STATE_KEY, hard_state.as_slice())?;
        }
        if let Some(EncodedCompaction { index, snapshot }) = &self.compaction {
            log.retain_in(..=*index, |_, _| false)?;
            state.insert(SNAPSHOT_KEY, snapshot.as_slice())?;
        }
        Ok(())
    }
}

/// The stored state, read but not decoded.
pub(crate) struct EncodedState {
    hard_state: Option<Vec<u8>>,
    snapshot: Option<Vec<u8>>,
    entries: Vec<Vec<u8>>,
}

impl EncodedState {
    pub(crate) fn read_from(transaction: &ReadTransaction) -> Result<Self, redb::Error> {
        let state = transaction.open_table(STATE)?;
        let read = |key: &str| -> Result<Option<Vec<u8>>, redb::Error> {
            Ok(state.get(key)?.map(|bytes| bytes.value().to_vec()))
        };
        let mut entries = Vec::new();
        for item in transaction.open_table(ENTRIES)?.iter()? {
            let (_, entry) = item?;
            entries.push(entry.value().to_vec());
        }
        Ok(EncodedState {
            hard_state: read(HARD_STATE_KEY)?,
            snapshot: read(SNAPSHOT_KEY)?,
            entries,
        })
    }

    /// Returns the decoded state; `None` if the store is empty.
    pub(crate) fn decode(&self) -> Result<Option<PersistentState>, Corruption> {
        let (hard_state, snapshot) = match (&self.hard_state, &self.snapshot) {
            (None, None) if self.entries.is_empty() => return Ok(None),
            (Some(hard_state), Some(snapshot)) => (hard_state, snapshot),
            _ => return Err(Corruption::MissingState),
        };
        let hard_state = HardState::parse_from_bytes(hard_state)?;
        let snapshot = Snapshot::parse_from_bytes(snapshot)?;
        let decode_entry = |bytes: &Vec<u8>| Entry::parse_from_bytes(bytes);
        let entries = self.entries.iter().map(decode_entry).collect::<Result<_, _>>()?;
        Ok(Some(PersistentState::from_parts(hard_state, snapshot, entries)?))
    }
}
