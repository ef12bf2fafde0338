//! Tables and keys of the store, and its format version.

use redb::TableDefinition;

/// Format version of the store.
pub(crate) const FORMAT: u64 = 1;

/// Numbers that identify the store, by key.
pub(crate) const METADATA: TableDefinition<&str, u64> = TableDefinition::new("numbers");
/// Key of [`METADATA`]: format version; see [`FORMAT`].
pub(crate) const FORMAT_KEY: &str = "form";
/// Key of [`METADATA`]: number of the replica.
pub(crate) const REPLICA_KEY: &str = "voter";
/// Key of [`METADATA`]: number of times that the store has been opened.
pub(crate) const OPEN_COUNT_KEY: &str = "opened";

/// Name of the fleet, snapshot and hard state, by key.
pub(crate) const STATE: TableDefinition<&str, &[u8]> = TableDefinition::new("state");
/// Key of [`STATE`]: name of the fleet.
pub(crate) const FLEET_KEY: &str = "fleet";
/// Key of [`STATE`]: the last snapshot.
pub(crate) const SNAPSHOT_KEY: &str = "snapshot";
/// Key of [`STATE`]: raft's hard state (term, vote and commit index).
pub(crate) const HARD_STATE_KEY: &str = "hard";

/// Log entries after the snapshot, by index.
pub(crate) const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
