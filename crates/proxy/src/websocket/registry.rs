//! The registry of all open sockets of the process: slots, entries and queued bytes.

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

/// Maximum number of bytes that are read from a connection at once.
pub const READ_BYTES: usize = 16 << 10;
/// Maximum number of bytes that are read from a connection at once while the total of queued bytes
/// is at its limit.
pub const MIN_READ_BYTES: usize = 512;

/// All open sockets of the process.
pub struct SocketRegistry {
    pub(super) entries: RefCell<BTreeMap<u64, Rc<SocketEntry>>>,
    /// The last number that was assigned to a socket or used for a seed.
    last_number: Cell<u64>,
    slots: RefCell<SlotTable>,
    pub(super) migration_schedules: RefCell<MigrationSchedules>,
    pub(super) server_probes: RefCell<ServerProbes>,
    /// The number of bytes in the queues of all sockets.
    queued_bytes: Cell<usize>,
    max_queued_bytes: usize,
    /// Totals of sockets, migrations and traffic since the process started, for the metrics.
    pub stats: RefCell<SocketStats>,
    /// The buffer that all connections share to read into, one at a time.
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
    /// The state that the task of the socket shares with the registry.
    pub entry: Rc<SocketEntry>,
    queued_bytes: usize,
    traffic: SocketTraffic,
}

impl RegisteredSocket {
    /// Updates the registry with what the session has queued and relayed since the last call.
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

    /// Counts the end of the socket in the metrics.
    pub fn record_end(&self, end: SessionEnd) {
        let mut stats = self.registry.stats.borrow_mut();
        *stats.closed.entry((end.by, end.code)).or_default() += 1;
    }

    /// Counts a migration of the socket to another server in the metrics.
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
    /// Creates an empty registry. `max_queued_bytes`: total of queued bytes from which on less is
    /// read from each connection at once. `seed`: a secret of the process, for [`Self::next_seed`].
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

    /// Applies the limits of a configuration. Open sockets stay open.
    pub fn configure(&self, config: SlotConfig) {
        self.slots.borrow_mut().configure(config);
    }

    /// Returns the clock for all timestamps of sockets.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the number of bytes that may currently be read from a connection at once.
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

    /// Returns a number that is unique in this process and that peers cannot predict.
    pub fn next_seed(&self) -> u64 {
        let mixed = self.seed ^ self.next_number().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    }

    /// Reserves one of the limited slots for open sockets on behalf of a tenant, route and cluster.
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached. If the owner's tenant is below its share of the slots, a
    /// socket of a tenant above its share is evicted, so that a later call may succeed.
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

    /// Registers a newly opened socket.
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

    /// Counts the open sockets by cluster, tenant and server.
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
