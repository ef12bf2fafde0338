//! A voter's store: whole batches over restarts, one process at a time, and a clear word where it
//! is another's, damaged, or the disk fails.

use mintshelf_consensus::persistent_state::PersistentState;
use mintshelf_consensus::replica::{Replica, SNAPSHOT_ENTRIES};
use mintshelf_consensus_node::store::{Identity, Opened, Store, StoreError, FILE};
use mintshelf_lease::command::{Command, Owner};
use mintshelf_lease::timing::{Nanos, Timing, MS, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// A directory that goes when the test does.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Directory {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("mintshelf-{name}-{}-{count}", std::process::id());
        Directory(std::env::temp_dir().join(name))
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn identity() -> Identity {
    Identity { fleet: "f".into(), voter: 1 }
}

fn stored(opened: Opened) -> PersistentState {
    match opened {
        Opened::Stored(stored) => *stored,
        Opened::Empty => panic!("nothing is stored"),
    }
}

/// A fleet of one voter: what it has agreed on is what its store holds.
fn alone(store: &Store, opened: Opened) -> (Replica, Nanos) {
    let state = match opened {
        Opened::Empty => {
            let state = PersistentState::new_fleet(&[1]);
            store.begin_fleet(&state).unwrap();
            state
        }
        opened => stored(opened),
    };
    let mut voter: Replica = Replica::new(1, &state, &Timing::default(), store.opened()).unwrap();
    let mut now = SECOND;
    while !voter.status().is_leader {
        now += 100 * MS;
        voter.tick(now);
        settle(&mut voter, store, now).unwrap();
    }
    (voter, now)
}

/// Writes what is to be written; how many answers were given.
fn settle(voter: &mut Replica, store: &Store, now: Nanos) -> Result<usize, StoreError> {
    let mut answers = 0;
    while let Some(batch) = voter.next_batch(now).unwrap() {
        answers += batch.responses.len();
        store.write(&batch)?;
        let _unsent = voter.batch_synced(now);
    }
    Ok(answers)
}

fn ask(n: u64) -> Command {
    let owner = Owner { member: "m".into(), incarnation: 1 };
    Command::Acquire { lease: format!("l{}", n % 40), owner, duration: SECOND, wait: false }
}

#[test]
fn what_was_promised_is_there_after_a_restart() {
    let directory = Directory::new("restart");
    let (store, opened) = Store::open(&directory.0, &identity()).unwrap();
    assert!(matches!(opened, Opened::Empty));
    let (mut voter, now) = alone(&store, opened);
    for n in 0..SNAPSHOT_ENTRIES as u64 + 300 {
        voter.propose(&ask(n)).unwrap();
        assert_eq!(settle(&mut voter, &store, now).unwrap(), 1);
    }
    let (leases, status) = (voter.leases().clone(), voter.status());
    drop((voter, store));
    let (store, opened) = Store::open(&directory.0, &identity()).unwrap();
    assert_eq!(store.opened(), 2);
    let state = stored(opened);
    let (hard, snapshot, entries) = (state.hard_state(), state.snapshot(), state.entries());
    assert!(snapshot.get_metadata().index > SNAPSHOT_ENTRIES as u64 - 5, "no snapshot was kept");
    assert!(entries.len() < SNAPSHOT_ENTRIES && hard.term >= status.term);
    let (voter, _) = alone(&store, Opened::Stored(Box::new(state)));
    assert_eq!(voter.leases(), &leases);
}

#[test]
fn a_second_process_a_strangers_directory_and_a_damaged_file_are_refused() {
    let directory = Directory::new("refused");
    let path = directory.0.join(FILE);
    let open = |identity: &Identity| Store::open(&directory.0, identity).map(|_| ()).unwrap_err();
    let (store, opened) = Store::open(&directory.0, &identity()).unwrap();
    drop(alone(&store, opened));
    let error = open(&identity());
    assert!(matches!(&error, StoreError::InUse { path: at } if *at == path), "{error}");
    drop(store);
    let error = open(&Identity { fleet: "f".into(), voter: 2 });
    assert!(error.to_string().contains("belongs to voter 1 of fleet \"f\""), "{error}");
    let error = open(&Identity { fleet: "g".into(), voter: 1 });
    assert!(matches!(error, StoreError::Foreign { .. }), "{error}");
    let whole = std::fs::read(&path).unwrap();
    let damage = |bytes: &[u8]| {
        std::fs::write(&path, bytes).unwrap();
        let error = open(&identity());
        assert!(matches!(error, StoreError::Damaged { .. }), "{error}");
        assert!(error.to_string().contains("must not go on from it"), "{error}");
    };
    damage(b"");
    damage(b"not a store at all, but long enough to be looked at as if it were one");
    damage(&whole[..whole.len() / 3]);
    // A refusal changes nothing: put back, it is as it was.
    std::fs::write(&path, &whole).unwrap();
    let (_, opened) = Store::open(&directory.0, &identity()).unwrap();
    stored(opened);
}

/// A disk that, when power goes, has any part of what was not synced; and from some write on does
/// nothing but fail.
#[derive(Debug, Clone)]
struct Disk {
    now: Arc<InMemoryBackend>,
    platter: Arc<Mutex<Platter>>,
    left: Arc<AtomicU64>,
}

/// What is safe, and what is on its way.
#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    unsynced: Vec<(usize, Vec<u8>)>,
}

impl Platter {
    /// What is left when power goes: of each write a drawn part, in sectors.
    fn after_power_loss(&self, rng: &mut Pcg32) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        for (offset, data) in &self.unsynced {
            for (n, sector) in data.chunks(512).enumerate() {
                let at = offset + n * 512;
                if rng.next_u32().is_multiple_of(2) && at + sector.len() <= bytes.len() {
                    bytes[at..at + sector.len()].copy_from_slice(sector);
                }
            }
        }
        bytes
    }
}

impl Disk {
    fn holding(bytes: &[u8]) -> Disk {
        let now = InMemoryBackend::new();
        now.set_len(bytes.len() as u64).unwrap();
        now.write(0, bytes).unwrap();
        Disk {
            now: Arc::new(now),
            platter: Arc::new(Mutex::new(Platter { synced: bytes.to_vec(), ..Platter::default() })),
            left: Arc::new(AtomicU64::new(u64::MAX)),
        }
    }

    fn spend(&self) -> io::Result<()> {
        let spent = self
            .left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        spent.map(drop).map_err(|_| io::Error::other("the disk fails"))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        self.now.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.now.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.spend()?;
        self.now.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.spend()?;
        let mut bytes = vec![0; self.now.len()? as usize];
        self.now.read(0, &mut bytes)?;
        *self.platter.lock().unwrap() = Platter { synced: bytes, unsynced: Vec::new() };
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.spend()?;
        self.platter.lock().unwrap().unsynced.push((offset as usize, data.to_vec()));
        self.now.write(offset, data)
    }
}

/// Power goes at any write: what had been answered is there, and no half of a batch.
#[test]
fn a_disk_that_fails_at_any_write_keeps_what_was_promised() {
    let path = || Path::new("disk").to_owned();
    let (mut failed, mut kept) = (0, 0);
    for seed in 0..150u64 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let disk = Disk::holding(&[]);
        let (store, opened) = Store::on(path(), disk.clone(), &identity()).unwrap();
        let (mut voter, now) = alone(&store, opened);
        disk.left.store(u64::from(rng.next_u32() % 160), Ordering::Relaxed);
        let mut promised = 0;
        for n in 0..30 {
            voter.propose(&ask(n)).unwrap();
            match settle(&mut voter, &store, now) {
                Ok(_) => promised = voter.leases().last_token(),
                Err(error) => {
                    assert!(matches!(error, StoreError::Disk { .. }), "{error}");
                    failed += 1;
                    break;
                }
            }
        }
        // The process and all that was not synced are gone.
        drop((voter, store));
        let left = disk.platter.lock().unwrap().after_power_loss(&mut rng);
        let (store, opened) = Store::on(path(), Disk::holding(&left), &identity()).unwrap();
        let (voter, _) = alone(&store, Opened::Stored(Box::new(stored(opened))));
        let token = voter.leases().last_token();
        assert!((promised..=promised + 1).contains(&token), "seed {seed}: {promised}, {token}");
        kept += u64::from(promised > 0);
    }
    assert!(failed > 50 && kept > 50, "{failed} failed, {kept} had something to keep");
}
