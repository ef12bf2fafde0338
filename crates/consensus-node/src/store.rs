//! A voter's store: one file of an embedded database that writes each batch whole or not at all.
//!
//! A batch is synced before [`Store::write`] returns; what it promises may leave after that. The
//! file says whose it is: fleet, voter and how often it was opened.

use mintshelf_consensus::error::StoredStateError;
use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus::write_batch::WriteBatch;
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageBackend,
    TableDefinition,
};
use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The file in a voter's directory.
pub const FILE: &str = "voter.redb";
/// What the file holds has this form.
const FORMAT: u64 = 1;
/// Memory for pages.
const CACHE: usize = 4 << 20;

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");

/// Why a store can't be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has it.
    #[error("{path}: another process uses this directory; end it, or give this voter its own")]
    InUse {
        /// The file.
        path: PathBuf,
    },
    /// Another voter's or another fleet's.
    #[error("{path}: belongs to voter {voter} of fleet {fleet:?}; correct directory or name")]
    Foreign {
        /// The file.
        path: PathBuf,
        /// Whose it is.
        fleet: String,
        /// Whose it is.
        voter: u64,
    },
    /// A newer or an older version's.
    #[error("{path}: written in form {form}, this version reads {FORMAT}")]
    Format {
        /// The file.
        path: PathBuf,
        /// What it says.
        form: u64,
    },
    /// Cut, overwritten or otherwise no store.
    #[error(
        "{path}: damaged ({why}); this voter must not go on from it: move it away, and let the \
         voter join anew"
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// What the database says.
        why: String,
    },
    /// The disk does not do what it is told.
    #[error("{path}: {why}")]
    Disk {
        /// The file or directory.
        path: PathBuf,
        /// What it says.
        why: String,
    },
}

/// Whose store it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The fleet's name.
    pub fleet: String,
    /// The voter's number.
    pub voter: u64,
}

/// What a store held when it was opened.
#[derive(Debug)]
pub enum Opened {
    /// Nothing: a new directory, or one that was emptied. Which of both, only the other voters
    /// know; see the design note.
    Empty,
    /// What the voter goes on from.
    Stored(Box<PersistentState>),
}

/// An open store. One process at a time has it.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    database: Database,
    opened: u64,
}

impl Store {
    /// Opens a voter's directory, makes it if there is none, and counts the opening.
    ///
    /// # Errors
    /// See [`StoreError`]: in use, another's, damaged, or the disk fails. Nothing is changed then.
    pub fn open(directory: &Path, identity: &Identity) -> Result<(Self, Opened), StoreError> {
        let path = directory.join(FILE);
        let disk = |at: &Path, error: std::io::Error| StoreError::Disk {
            path: at.to_owned(),
            why: error.to_string(),
        };
        fs::create_dir_all(directory).map_err(|error| disk(directory, error))?;
        let new = !path.exists();
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(&path)
            .map_err(|error| disk(&path, error))?;
        // A file that was cut to nothing is no new one: the database would begin anew in it.
        if !new && file.metadata().map_err(|error| disk(&path, error))?.len() == 0 {
            return Err(StoreError::Damaged { path, why: "empty".into() });
        }
        let backend = redb::backends::FileBackend::new(file).map_err(|e| open_error(&path, e))?;
        let store = Self::on(path, backend, identity)?;
        if new {
            // The name in the directory is part of what is promised.
            File::open(directory)
                .and_then(|directory| directory.sync_all())
                .map_err(|error| disk(directory, error))?;
        }
        Ok(store)
    }

    /// Opens a store on a file of the caller's.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn on(
        path: PathBuf,
        backend: impl StorageBackend,
        identity: &Identity,
    ) -> Result<(Self, Opened), StoreError> {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE);
        let database =
            builder.create_with_backend(backend).map_err(|error| open_error(&path, error))?;
        let mut store = Store { path, database, opened: 0 };
        let opened = store.begin(identity)?;
        Ok((store, opened))
    }

    fn begin(&mut self, identity: &Identity) -> Result<Opened, StoreError> {
        let path = self.path.clone();
        let (form, voter, opened, fleet) = self.run(|write| {
            let numbers = write.open_table(NUMBERS)?;
            let get = |name: &str| Ok::<_, redb::Error>(numbers.get(name)?.map(|n| n.value()));
            let (form, voter, opened) = (get("form")?, get("voter")?, get("opened")?);
            let state = write.open_table(STATE)?;
            let fleet = state.get("fleet")?.map(|fleet| fleet.value().to_vec());
            write.open_table(ENTRIES)?;
            Ok((form, voter, opened, fleet))
        })?;
        match (form, voter, fleet) {
            (None, None, None) => {}
            (Some(form), _, _) if form != FORMAT => return Err(StoreError::Format { path, form }),
            (Some(_), Some(voter), Some(fleet)) => {
                let fleet = String::from_utf8_lossy(&fleet).into_owned();
                if (fleet.as_str(), voter) != (identity.fleet.as_str(), identity.voter) {
                    return Err(StoreError::Foreign { path, fleet, voter });
                }
            }
            _ => return Err(self.damaged("it does not say whose it is")),
        }
        self.opened = opened.unwrap_or(0) + 1;
        let opened = self.opened;
        self.run(|write| {
            let mut numbers = write.open_table(NUMBERS)?;
            numbers.insert("form", FORMAT)?;
            numbers.insert("voter", identity.voter)?;
            numbers.insert("opened", opened)?;
            let mut state = write.open_table(STATE)?;
            state.insert("fleet", identity.fleet.as_bytes())?;
            Ok(())
        })?;
        self.read()
    }

    /// How often this store was opened, this time included: a life's number that no former life
    /// of this directory had.
    pub fn opened(&self) -> u64 {
        self.opened
    }

    fn damaged(&self, why: impl ToString) -> StoreError {
        StoreError::Damaged { path: self.path.clone(), why: why.to_string() }
    }

    fn failed(&self, error: redb::Error) -> StoreError {
        match error {
            redb::Error::Corrupted(why) => self.damaged(why),
            error => StoreError::Disk { path: self.path.clone(), why: error.to_string() },
        }
    }

    fn run<T>(
        &self,
        work: impl FnOnce(&redb::WriteTransaction) -> Result<T, redb::Error>,
    ) -> Result<T, StoreError> {
        let run = || {
            let mut write = self.database.begin_write().map_err(redb::Error::from)?;
            write.set_durability(Durability::Immediate).map_err(redb::Error::from)?;
            let done = work(&write)?;
            write.commit().map_err(redb::Error::from)?;
            Ok(done)
        };
        run().map_err(|error| self.failed(error))
    }

    /// Writes a batch whole and syncs it.
    ///
    /// # Errors
    /// The disk fails: nothing of the batch may be promised, and the voter must stop. What is
    /// stored is the batch before it, or this one.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), StoreError> {
        let bytes = |message: &dyn protobuf::Message| {
            message.write_to_bytes().map_err(|error| self.damaged(error))
        };
        let snapshot = batch.snapshot.as_ref().map(|s| bytes(s)).transpose()?;
        let hard = batch.hard_state.as_ref().map(|hard| bytes(hard)).transpose()?;
        let entries: Vec<(u64, Vec<u8>)> = batch
            .entries
            .iter()
            .map(|entry| Ok((entry.index, bytes(entry)?)))
            .collect::<Result<_, StoreError>>()?;
        let compacted = batch.compacted.as_ref().map(|s| bytes(s)).transpose()?;
        self.run(|write| {
            let mut log = write.open_table(ENTRIES)?;
            let mut state = write.open_table(STATE)?;
            if let Some(snapshot) = &snapshot {
                log.retain(|_, _| false)?;
                state.insert("snapshot", snapshot.as_slice())?;
            }
            if let Some((first, _)) = entries.first() {
                log.retain_in(*first.., |_, _| false)?;
            }
            for (index, entry) in &entries {
                log.insert(index, entry.as_slice())?;
            }
            if let Some(hard) = &hard {
                state.insert("hard", hard.as_slice())?;
            }
            if let (Some(snapshot), Some(bytes)) = (&batch.compacted, &compacted) {
                log.retain_in(..=snapshot.get_metadata().index, |_, _| false)?;
                state.insert("snapshot", bytes.as_slice())?;
            }
            Ok(())
        })
    }

    /// Writes the beginning of a new fleet into an empty store.
    ///
    /// # Errors
    /// The disk fails.
    pub fn begin_fleet(&self, stored: &PersistentState) -> Result<(), StoreError> {
        self.write(&WriteBatch {
            snapshot: Some(stored.snapshot().clone()),
            hard_state: Some(stored.hard_state().clone()),
            ..WriteBatch::default()
        })
    }

    fn read(&self) -> Result<Opened, StoreError> {
        let read = || {
            let read = self.database.begin_read().map_err(redb::Error::from)?;
            let state = read.open_table(STATE)?;
            let bytes = |name: &str| {
                Ok::<_, redb::Error>(state.get(name)?.map(|bytes| bytes.value().to_vec()))
            };
            let (hard, snapshot) = (bytes("hard")?, bytes("snapshot")?);
            let mut entries = Vec::new();
            for entry in read.open_table(ENTRIES)?.iter()? {
                entries.push(entry?.1.value().to_vec());
            }
            Ok((hard, snapshot, entries))
        };
        let (hard, snapshot, entries) = read().map_err(|error| self.failed(error))?;
        let (hard, snapshot) = match (hard, snapshot) {
            (None, None) if entries.is_empty() => return Ok(Opened::Empty),
            (Some(hard), Some(snapshot)) => (hard, snapshot),
            _ => return Err(self.damaged("a part of the state is missing")),
        };
        let wrong = |error: protobuf::ProtobufError| self.damaged(error);
        let hard = HardState::parse_from_bytes(&hard).map_err(wrong)?;
        let snapshot = Snapshot::parse_from_bytes(&snapshot).map_err(wrong)?;
        let entries: Result<Vec<Entry>, _> =
            entries.iter().map(|entry| Entry::parse_from_bytes(entry)).collect();
        let stored = PersistentState::from_parts(hard, snapshot, entries.map_err(wrong)?);
        let stored = stored.map_err(|error: StoredStateError| self.damaged(error))?;
        Ok(Opened::Stored(Box::new(stored)))
    }
}

fn open_error(path: &Path, error: DatabaseError) -> StoreError {
    let path = path.to_owned();
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse { path },
        DatabaseError::Storage(redb::StorageError::Io(error))
            if error.kind() != std::io::ErrorKind::InvalidData =>
        {
            StoreError::Disk { path, why: error.to_string() }
        }
        error => StoreError::Damaged { path, why: error.to_string() },
    }
}
