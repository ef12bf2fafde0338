//! The registry of all open sockets of a process: their slots, entries and queued bytes.

use super::entry::{ServerLocation, SocketEntry};
use super::schedules::{MigrationSchedules, ServerProbes};
use super::stats::{SocketStats, SocketTraffic, SocketUsage};
use crate::clock::Clock;
use mintshelf_admission::slots::{SlotConfig, SlotOwner, SlotTable, SlotUnavailable};
use mintshelf_time::Nanos;
use mintshelf_websocket::session::{Session, SessionEnd};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes that are read from a connection at one time.
pub const READ_BYTES: usize = 16 << 10;
/// The same while the queues of all sockets are full.
pub const MIN_READ_BYTES: usize = 512;

/// All open sockets of a process.
pub struct SocketRegistry {
    pub(super) entries: RefCell<BTreeMap<u64, Rc<SocketEntry>>>,
    /// The last number given to a socket or used for a seed.
    last_number: Cell<u64>,
    slots: RefCell<SlotTable>,
    pub(super) migration_schedules: RefCell<MigrationSchedules>,
    pub(super) server_probes: RefCell<ServerProbes>,
    /// Bytes in the queues of all sockets.
    queued_bytes: Cell<usize>,
    max_queued_bytes: usize,
    /// Totals for the metrics.
    pub stats: RefCell<SocketStats>,
    /// The buffer that all connections are read into, one after the other.
    pub scratch: RefCell<Vec<u8>>,
    clock: Clock,
    seed: u64,
}

/// Holds a slot of the registry until it is dropped.
#[must_use = "the slot is released when this is dropped"]
pub struct SlotReservation {
    registry: Rc<SocketRegistry>,
    owner: SlotOwner,
}

impl Drop for SlotReservation {
    fn drop(&mut self) {
        self.registry.slots.borrow_mut().release(&self.owner);
    }
}

/// Keeps a socket in the registry until it is dropped.
#[must_use = "the socket leaves the registry when this is dropped"]
pub struct RegisteredSocket {
    registry: Rc<SocketRegistry>,
    number: u64,
    /// The socket's entry.
    pub entry: Rc<SocketEntry>,
    queued_bytes: usize,
    traffic: SocketTraffic,
}

impl RegisteredSocket {
    /// Adds what a session has queued and passed since the last call to the registry's figures.
    pub fn record_progress(&mut self, session: &Session, now: Nanos) {
        let queued_bytes = session.buffered_bytes();
        let total = self.registry.queued_bytes.get();
        self.registry.queued_bytes.set(total.saturating_sub(self.queued_bytes) + queued_bytes);
        self.queued_bytes = queued_bytes;
        let traffic = SocketTraffic::of(session);
        if self.registry.stats.borrow_mut().add_traffic(self.traffic, traffic) {
            self.entry.set_last_message_at(now);
        }
        self.traffic = traffic;
    }

    /// Counts that it has ended.
    pub fn record_end(&self, end: SessionEnd) {
        let mut stats = self.registry.stats.borrow_mut();
        *stats.closed.entry((end.by, end.code)).or_default() += 1;
    }

    /// Counts that it has migrated to another server.
    pub fn record_migration(&self) {
        let mut stats = self.registry.stats.borrow_mut();
        *stats.migrated.entry(self.entry.owner.cluster.clone()).or_default() += 1;
    }
}

impl Drop for RegisteredSocket {
    fn drop(&mut self) {
        self.registry.entries.borrow_mut().remove(&self.number);
        let total = self.registry.queued_bytes.get();
        self.registry.queued_bytes.set(total.saturating_sub(self.queued_bytes));
    }
}

impl SocketRegistry {
    /// An empty registry. `max_queued_bytes`: what all queues together may have before less is
    /// read of each connection; `seed`: a secret of the process.
    #[must_use]
    pub fn new(max_queued_bytes: usize, seed: u64) -> Rc<Self> {
        Rc::new(SocketRegistry {
            entries: RefCell::default(),
            last_number: Cell::new(0),
            slots: RefCell::default(),
            migration_schedules: RefCell::default(),
            server_probes: RefCell::default(),
            queued_bytes: Cell::new(0),
            max_queued_bytes,
            stats: RefCell::default(),
            scratch: RefCell::new(vec![0; READ_BYTES]),
            clock: Clock::start(),
            seed,
        })
    }

    /// Applies the limits of a configuration. Open sockets stay.
    pub fn configure(&self, config: SlotConfig) {
        self.slots.borrow_mut().configure(config);
    }

    /// The clock of all times of sockets.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// How many bytes are read from a connection at one time now.
    pub fn read_size(&self) -> usize {
        if self.queued_bytes.get() < self.max_queued_bytes {
            READ_BYTES
        } else {
            MIN_READ_BYTES
        }
    }

    fn next_number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// A number that is unique in this process and that peers can't predict.
    pub fn next_seed(&self) -> u64 {
        let mixed = self.seed ^ self.next_number().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    }

    /// Reserves a slot.
    ///
    /// # Errors
    ///
    /// The limit that is exhausted. Where the owner is below its share, a socket of a tenant
    /// above its own is evicted, so that a later call may succeed.
    pub fn reserve(self: &Rc<Self>, owner: &SlotOwner) -> Result<SlotReservation, SlotUnavailable> {
        let now = self.clock.now();
        let acquired = self.slots.borrow_mut().acquire(now, owner);
        match acquired {
            Ok(()) => Ok(SlotReservation { registry: self.clone(), owner: owner.clone() }),
            Err(rejected) => {
                if let Some(tenant) = rejected.reclaim_from {
                    self.reclaim_slot(now, &tenant);
                }
                Err(rejected.reason)
            }
        }
    }

    /// Registers a socket that has opened.
    pub fn register(
        self: &Rc<Self>,
        owner: SlotOwner,
        handler_id: usize,
        location: ServerLocation,
    ) -> RegisteredSocket {
        let number = self.next_number();
        *self.stats.borrow_mut().opened.entry(owner.cluster.clone()).or_default() += 1;
        let entry = Rc::new(SocketEntry::new(owner, handler_id, location, self.clock.now()));
        self.entries.borrow_mut().insert(number, entry.clone());
        RegisteredSocket {
            registry: self.clone(),
            number,
            entry,
            queued_bytes: 0,
            traffic: SocketTraffic::default(),
        }
    }

    /// Counts the open sockets by where and whose they are.
    pub fn usage(&self) -> SocketUsage {
        let queued_bytes = self.queued_bytes.get();
        let mut usage = SocketUsage { queued_bytes, ..SocketUsage::default() };
        for entry in self.entries.borrow().values() {
            let SlotOwner { tenant, cluster, .. } = &entry.owner;
            *usage.clusters.entry(cluster.to_string()).or_default() += 1;
            *usage.tenants.entry(tenant.to_string()).or_default() += 1;
            let endpoint = (cluster.to_string(), entry.location().server);
            *usage.endpoints.entry(endpoint).or_default() += 1;
        }
        usage
    }
}
