//! A simulated disk. When power is lost, it holds any part of what was not synced; and it can fail
//! from some write on.

use rand_core::RngCore;
use rand_pcg::Pcg32;
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Size of a sector, in bytes; a sector is written completely or not at all.
const SECTOR_BYTES: usize = 512;

#[derive(Debug)]
struct UnsyncedWrite {
    offset: usize,
    bytes: Vec<u8>,
}

/// What is on the platter, and what is only in the cache.
#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    unsynced: Vec<UnsyncedWrite>,
}

#[derive(Debug, Clone)]
pub struct Disk {
    /// What the process sees.
    cache: Arc<InMemoryBackend>,
    platter: Arc<Mutex<Platter>>,
    writes_left: Arc<AtomicU64>,
}

impl Disk {
    pub fn holding(bytes: &[u8]) -> Disk {
        let cache = InMemoryBackend::new();
        cache.set_len(bytes.len() as u64).unwrap();
        cache.write(0, bytes).unwrap();
        let platter = Platter { synced: bytes.to_vec(), ..Platter::default() };
        Disk {
            cache: Arc::new(cache),
            platter: Arc::new(Mutex::new(platter)),
            writes_left: Arc::new(AtomicU64::new(u64::MAX)),
        }
    }

    /// Fails after a number of writes, and from then on.
    pub fn fail_after(&self, writes: u64) {
        self.writes_left.store(writes, Ordering::Relaxed);
    }

    /// What it holds after power is lost: of each unsynced write any of the sectors.
    pub fn after_power_loss(&self, rng: &mut Pcg32) -> Vec<u8> {
        let platter = self.platter.lock().unwrap();
        let mut bytes = platter.synced.clone();
        for write in &platter.unsynced {
            for (index, sector) in write.bytes.chunks(SECTOR_BYTES).enumerate() {
                let start = write.offset + index * SECTOR_BYTES;
                let end = start + sector.len();
                if rng.next_u32().is_multiple_of(2) && end <= bytes.len() {
                    bytes[start..end].copy_from_slice(sector);
                }
            }
        }
        bytes
    }

    fn count_write(&self) -> io::Result<()> {
        let count = |left: u64| left.checked_sub(1);
        let counted = self.writes_left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, count);
        counted.map(drop).map_err(|_| io::Error::other("the disk fails"))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        self.cache.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.cache.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.count_write()?;
        self.cache.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.count_write()?;
        let mut bytes = vec![0; self.cache.len()? as usize];
        self.cache.read(0, &mut bytes)?;
        *self.platter.lock().unwrap() = Platter { synced: bytes, unsynced: Vec::new() };
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.count_write()?;
        let write = UnsyncedWrite { offset: offset as usize, bytes: data.to_vec() };
        self.platter.lock().unwrap().unsynced.push(write);
        self.cache.write(offset, data)
    }
}
