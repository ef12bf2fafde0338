//! A replica's store: a single-file embedded database that writes each batch atomically.
//!
//! A batch is synced before [`Store::write`] returns; messages that depend on the batch may be sent
//! only after that. The file also records the fleet and the replica that the store belongs to, and
//! the number of times that the store was opened.

use crate::store_codec::{EncodedBatch, EncodedState};
use crate::store_error::{Corruption, StoreError};
use crate::store_tables::{
    ENTRIES, FLEET_KEY, FORMAT, FORMAT_KEY, METADATA, OPEN_COUNT_KEY, REPLICA_KEY, STATE,
};
use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus::write_batch::WriteBatch;
use redb::{
    Builder, Database, Durability, ReadableDatabase, ReadableTable, StorageBackend,
    WriteTransaction,
};
use std::fs::{self, File, OpenOptions};
use std::path::{Path, PathBuf};

/// Name of the store file in a replica's directory.
pub const FILE_NAME: &str = "voter.redb";
/// Size of the database's page cache, in bytes.
const CACHE_BYTES: usize = 4 << 20;

/// The fleet and the replica that a store belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreIdentity {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of the replica.
    pub replica: u64,
}

/// The content of a store when it was opened.
#[derive(Debug)]
pub enum StoreContent {
    /// The store is empty: either the directory is new, or the content was lost. Only the other
    /// replicas can tell which of the two is the case; see `docs/design/fleet.md`.
    Empty,
    /// The state from which the replica continues.
    State(Box<PersistentState>),
}

/// An open store and its content when it was opened.
#[derive(Debug)]
pub struct OpenedStore {
    /// Store through which the replica writes its log and snapshots.
    pub store: Store,
    /// Content of the store when it was opened.
    pub content: StoreContent,
}

/// An open store. Only one process at a time can open it.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    database: Database,
    open_count: u64,
}

/// Format, identity and open count of a store; all are absent in a new store.
struct Header {
    format: Option<u64>,
    replica: Option<u64>,
    open_count: Option<u64>,
    fleet: Option<Vec<u8>>,
}

impl Store {
    /// Opens the store in a replica's directory, creating the directory and the store if they are
    /// missing, and increments the store's open count.
    ///
    /// # Errors
    /// The store is in use, belongs to another replica, is damaged, or the disk fails; see
    /// [`StoreError`]. The store's content is unchanged then.
    pub fn open(directory: &Path, identity: &StoreIdentity) -> Result<OpenedStore, StoreError> {
        let path = directory.join(FILE_NAME);
        fs::create_dir_all(directory).map_err(|error| StoreError::io(directory, error))?;
        let is_new = !path.exists();
        let file = open_file(&path).map_err(|error| StoreError::io(&path, error))?;
        let metadata = file.metadata().map_err(|error| StoreError::io(&path, error))?;
        // An existing empty file is a truncated store. The database would initialize the file as a
        // new store, without the replica's votes and log.
        if !is_new && metadata.len() == 0 {
            return Err(StoreError::corrupted(&path, Corruption::Empty));
        }
        let backend = redb::backends::FileBackend::new(file)
            .map_err(|error| StoreError::from_open(&path, error))?;
        let opened = Self::open_with_backend(path, backend, identity)?;
        if is_new {
            // Sync the directory too, so that the new file's entry survives a crash.
            File::open(directory)
                .and_then(|directory| directory.sync_all())
                .map_err(|error| StoreError::io(directory, error))?;
        }
        Ok(opened)
    }

    /// Opens a store on the given storage backend.
    ///
    /// # Errors
    /// The errors of [`Store::open`].
    pub fn open_with_backend(
        path: PathBuf,
        backend: impl StorageBackend,
        identity: &StoreIdentity,
    ) -> Result<OpenedStore, StoreError> {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        let database = builder
            .create_with_backend(backend)
            .map_err(|error| StoreError::from_open(&path, error))?;
        let mut store = Store { path, database, open_count: 0 };
        let header = store.read_header()?;
        store.check_identity(&header, identity)?;
        store.open_count = header.open_count.unwrap_or(0) + 1;
        store.write_header(identity)?;
        let content = store.read_content()?;
        Ok(OpenedStore { store, content })
    }

    /// Returns the number of times that the store has been opened, including this one. The number
    /// serves as the replica's incarnation, since it differs for each start from this directory.
    #[must_use]
    pub fn open_count(&self) -> u64 {
        self.open_count
    }

    fn read_header(&self) -> Result<Header, StoreError> {
        self.run_transaction(|transaction| {
            let metadata = transaction.open_table(METADATA)?;
            let number = |key: &str| -> Result<Option<u64>, redb::Error> {
                Ok(metadata.get(key)?.map(|value| value.value()))
            };
            let state = transaction.open_table(STATE)?;
            let fleet = state.get(FLEET_KEY)?.map(|fleet| fleet.value().to_vec());
            // Opening the table in a write transaction creates the table, so that later reads find
            // it.
            transaction.open_table(ENTRIES)?;
            Ok(Header {
                format: number(FORMAT_KEY)?,
                replica: number(REPLICA_KEY)?,
                open_count: number(OPEN_COUNT_KEY)?,
                fleet,
            })
        })
    }

    fn check_identity(&self, header: &Header, identity: &StoreIdentity) -> Result<(), StoreError> {
        let path = self.path.clone();
        match (header.format, header.replica, &header.fleet) {
            (None, None, None) => Ok(()),
            (Some(format), _, _) if format != FORMAT => {
                Err(StoreError::UnsupportedFormat { path, format })
            }
            (Some(_), Some(replica), Some(fleet)) => {
                let fleet = String::from_utf8_lossy(fleet).into_owned();
                if fleet != identity.fleet || replica != identity.replica {
                    return Err(StoreError::IdentityMismatch { path, fleet, replica });
                }
                Ok(())
            }
            _ => Err(self.corrupted(Corruption::MissingIdentity)),
        }
    }

    fn write_header(&self, identity: &StoreIdentity) -> Result<(), StoreError> {
        self.run_transaction(|transaction| {
            let mut metadata = transaction.open_table(METADATA)?;
            metadata.insert(FORMAT_KEY, FORMAT)?;
            metadata.insert(REPLICA_KEY, identity.replica)?;
            metadata.insert(OPEN_COUNT_KEY, self.open_count)?;
            let mut state = transaction.open_table(STATE)?;
            state.insert(FLEET_KEY, identity.fleet.as_bytes())?;
            Ok(())
        })
    }

    fn corrupted(&self, cause: impl Into<Corruption>) -> StoreError {
        StoreError::corrupted(&self.path, cause)
    }

    /// Runs one write transaction and syncs it.
    fn run_transaction<T>(
        &self,
        operation: impl FnOnce(&WriteTransaction) -> Result<T, redb::Error>,
    ) -> Result<T, StoreError> {
        let run = || -> Result<T, redb::Error> {
            let mut transaction = self.database.begin_write()?;
            transaction.set_durability(Durability::Immediate)?;
            let result = operation(&transaction)?;
            transaction.commit()?;
            Ok(result)
        };
        run().map_err(|error| StoreError::from_database(&self.path, error))
    }

    /// Writes a batch atomically and syncs it.
    ///
    /// # Errors
    /// The disk fails: the batch must not be acknowledged, and the replica must stop. The batch is
    /// stored completely or not at all.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), StoreError> {
        let encoded = EncodedBatch::new(batch).map_err(|error| self.corrupted(error))?;
        self.run_transaction(|transaction| encoded.write_to(transaction))
    }

    /// Writes the initial state of a new fleet to an empty store.
    ///
    /// # Errors
    /// The disk fails.
    pub fn initialize(&self, state: &PersistentState) -> Result<(), StoreError> {
        self.write(&WriteBatch {
            snapshot: Some(state.snapshot().clone()),
            hard_state: Some(state.hard_state().clone()),
            ..WriteBatch::default()
        })
    }

    fn read_content(&self) -> Result<StoreContent, StoreError> {
        let read = || EncodedState::read_from(&self.database.begin_read()?);
        let encoded = read().map_err(|error| StoreError::from_database(&self.path, error))?;
        let state = encoded.decode().map_err(|cause| self.corrupted(cause))?;
        Ok(state.map_or(StoreContent::Empty, |state| StoreContent::State(Box::new(state))))
    }
}

fn open_file(path: &Path) -> std::io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}
