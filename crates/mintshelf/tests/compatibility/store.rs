//! A replica's store as written before.

use super::bindings::{described_store, write_store};
use super::fixtures::{assert_same, path, TemporaryDirectory};

/// The database in a replica's directory.
pub const DATABASE: &str = "voter.redb";

/// A copy of the stored directory, since opening a store writes to it.
pub fn copied_store(name: &str) -> TemporaryDirectory {
    let directory = TemporaryDirectory::new(name);
    std::fs::copy(path("store").join(DATABASE), directory.0.join(DATABASE)).unwrap();
    directory
}

#[test]
fn a_store_written_before_is_opened_with_the_same_log_and_leases() {
    let directory = copied_store("store");
    assert_same("store.txt", &described_store(&directory.0));
}

#[test]
fn the_same_commands_write_the_same_log_and_leases() {
    let directory = TemporaryDirectory::new("store-anew");
    write_store(&directory.0);
    assert_same("store.txt", &described_store(&directory.0));
}

/// Writes the store fixture: `cargo test -p mintshelf --test compatibility -- --ignored`.
#[test]
#[ignore = "writes the fixture"]
fn write_the_store_fixture() {
    let directory = path("store");
    let _ = std::fs::remove_dir_all(&directory);
    write_store(&directory);
    // The database grows in steps; compacting releases unused space.
    let mut database = redb::Database::open(directory.join(DATABASE)).unwrap();
    database.compact().unwrap();
}
