//! `mintshelf fleet init`: initializes this replica's store with the state of a new fleet.

use super::error::CommandError;
use super::query::{load_fleet, store_identity};
use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus_node::store::{OpenedStore, Store, StoreContent};
use std::path::Path;

/// Initializes the empty store of this replica for the fleet in the file `config`, and prints a
/// confirmation.
pub fn run(config: &Path) -> Result<(), CommandError> {
    let fleet = load_fleet(config)?;
    let id = fleet.id.ok_or_else(|| CommandError::NotReplica { name: fleet.name.clone() })?;
    let directory = fleet.directory.as_deref().ok_or(CommandError::NoDirectory)?;
    let OpenedStore { store, content } = Store::open(directory, &store_identity(&fleet, id))?;
    if !matches!(content, StoreContent::Empty) {
        return Err(CommandError::AlreadyInitialized { directory: directory.to_owned() });
    }
    let replica_ids: Vec<u64> = (1..).zip(&fleet.voters).map(|(id, _)| id).collect();
    store.initialize(&PersistentState::new_fleet(&replica_ids))?;
    println!(
        "initialized voter '{}' of fleet '{}' in {}",
        fleet.name,
        fleet.fleet,
        directory.display()
    );
    Ok(())
}
