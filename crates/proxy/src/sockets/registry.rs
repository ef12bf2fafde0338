//! All open sockets: who holds them and where, and the orders that reach many at one time.

use crate::clock::Clock;
use mintshelf_admission::slots::{SlotConfig, SlotOwner, SlotTable, SlotUnavailable};
use mintshelf_balancer::api::{Nanos, ServerId};
use mintshelf_websocket::close;
use mintshelf_websocket::frame::Peer;
use mintshelf_websocket::migration::MigrationSchedule;
use mintshelf_websocket::session::{ClosedBy, LeaveRequest, Session, SessionEnd};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::task::Waker;

/// Bytes that are read of a connection at one time.
pub const READ: usize = 16 << 10;
/// The same while the queues of all sockets hold as much as they may.
pub const READ_LEAST: usize = 512;

/// A server's sockets are asked for a sign of life no more often than this.
const DOUBT_AGAIN: Nanos = 1_000_000_000;

/// What a socket is told from outside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// To leave its server at a time.
    LeaveRequest(Nanos, LeaveRequest),
    /// To ask its server for a sign of life.
    Doubt,
}

/// One socket as seen from outside its task.
pub struct Entry {
    /// Whose it is.
    pub sitter: SlotOwner,
    /// The front that it came by.
    front: usize,
    pool: Cell<u32>,
    server: Cell<ServerId>,
    /// A message last passed.
    active: Cell<Nanos>,
    /// It has been given a time to leave.
    leaving: Cell<bool>,
    /// Its front ends.
    ending: Cell<bool>,
    order: RefCell<Option<Order>>,
    waker: Cell<Option<Waker>>,
}

impl Entry {
    /// Its order, if there is one; else `waker` is woken when there is.
    pub fn take_order(&self, waker: &Waker) -> Option<Order> {
        let order = self.order.borrow_mut().take();
        if order.is_none() {
            self.waker.set(Some(waker.clone()));
        }
        order
    }

    fn give(&self, order: Order) {
        if matches!(order, Order::LeaveRequest(..)) {
            self.leaving.set(true);
        }
        *self.order.borrow_mut() = Some(order);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// It is at a server of a cluster now.
    pub fn at(&self, pool: u32, server: ServerId) {
        self.pool.set(pool);
        self.server.set(server);
        self.leaving.set(false);
    }

    /// A message passed.
    pub fn active(&self, now: Nanos) {
        self.active.set(now);
    }
}

/// What was done, for the figures.
#[derive(Debug, Default)]
pub struct SocketCounts {
    /// Opened, by cluster.
    pub opened: BTreeMap<Rc<str>, u64>,
    /// Moved to another server, by cluster.
    pub moved: BTreeMap<Rc<str>, u64>,
    /// Ended, by who ended them and with which code.
    pub closed: BTreeMap<(ClosedBy, u16), u64>,
    /// Messages and bytes from clients and from servers.
    pub passed: [[u64; 2]; 2],
}

/// All open sockets of a process.
pub struct Sockets {
    entries: RefCell<BTreeMap<u64, Rc<Entry>>>,
    last: Cell<u64>,
    seats: RefCell<SlotTable>,
    evacuations: RefCell<HashMap<u32, MigrationSchedule>>,
    /// When the sockets of a server were last asked for a sign of life, and how many.
    doubted: RefCell<HashMap<(u32, ServerId), (Nanos, usize)>>,
    /// Bytes that wait in all sockets' queues, and how many may.
    queued: Cell<usize>,
    queued_most: usize,
    /// What was done.
    pub counts: RefCell<SocketCounts>,
    /// What connections are read into.
    pub scratch: RefCell<Vec<u8>>,
    clock: Clock,
    seed: u64,
}

/// A socket's seat until this is dropped.
pub struct Seated {
    sockets: Rc<Sockets>,
    sitter: SlotOwner,
}

impl Drop for Seated {
    fn drop(&mut self) {
        self.sockets.seats.borrow_mut().release(&self.sitter);
    }
}

/// An open socket until this is dropped.
pub struct Listed {
    sockets: Rc<Sockets>,
    number: u64,
    /// The socket.
    pub entry: Rc<Entry>,
    queued: usize,
    passed: [[u64; 2]; 2],
}

impl Listed {
    /// Notes what a session has come to since the last time.
    pub fn note(&mut self, session: &Session, now: Nanos) {
        let queued = session.queued();
        let all = self.sockets.queued.get();
        self.sockets.queued.set(all.saturating_sub(self.queued) + queued);
        self.queued = queued;
        let passed = [Peer::Client, Peer::Server].map(|end| session.passed(end));
        let mut counts = self.sockets.counts.borrow_mut();
        for (end, of) in passed.iter().enumerate() {
            for (what, count) in of.iter().enumerate() {
                // A server that took over begins its messages anew.
                let more = count.saturating_sub(self.passed[end][what]);
                counts.passed[end][what] += more;
                if what == 0 && more > 0 {
                    self.entry.active(now);
                }
            }
        }
        self.passed = passed;
    }

    /// It has ended.
    pub fn over(&self, over: SessionEnd) {
        let mut counts = self.sockets.counts.borrow_mut();
        *counts.closed.entry((over.by, over.code)).or_default() += 1;
    }

    /// It has gone on at another server.
    pub fn moved(&self) {
        let mut counts = self.sockets.counts.borrow_mut();
        *counts.moved.entry(self.entry.sitter.cluster.clone()).or_default() += 1;
    }
}

impl Drop for Listed {
    fn drop(&mut self) {
        self.sockets.entries.borrow_mut().remove(&self.number);
        let queued = self.sockets.queued.get();
        self.sockets.queued.set(queued.saturating_sub(self.queued));
    }
}

/// Where sockets are, for the figures: by cluster, tenant and endpoint, and bytes in queues.
#[derive(Debug, Default)]
pub struct SocketLevels {
    /// By cluster.
    pub clusters: BTreeMap<String, u64>,
    /// By tenant.
    pub tenants: BTreeMap<String, u64>,
    /// By cluster and server.
    pub endpoints: BTreeMap<(String, ServerId), u64>,
    /// Bytes that wait for a client or a server.
    pub queued: usize,
}

impl Sockets {
    /// None open; their queues may hold so many bytes together.
    pub fn new(queued_most: usize, seed: u64) -> Rc<Self> {
        Rc::new(Sockets {
            entries: RefCell::default(),
            last: Cell::new(0),
            seats: RefCell::default(),
            evacuations: RefCell::default(),
            doubted: RefCell::default(),
            queued: Cell::new(0),
            queued_most,
            counts: RefCell::default(),
            scratch: RefCell::new(vec![0; READ]),
            clock: Clock::start(),
            seed,
        })
    }

    /// Puts a file's numbers in force.
    pub fn set(&self, set: SlotConfig) {
        self.seats.borrow_mut().configure(set);
    }

    /// The clock of all sockets' times.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// How many bytes of a connection are read now.
    pub fn read_size(&self) -> usize {
        if self.queued.get() < self.queued_most {
            READ
        } else {
            READ_LEAST
        }
    }

    /// A number that no other socket of this process had, and that nobody can guess.
    pub fn next_seed(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        let mixed = self.seed ^ self.last.get().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        (mixed ^ (mixed >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
    }

    /// Takes a seat; if there is none, one of whoever has more than its share may be sent away.
    pub fn seat(self: &Rc<Self>, sitter: &SlotOwner) -> Result<Seated, SlotUnavailable> {
        let now = self.clock.now();
        let taken = self.seats.borrow_mut().acquire(now, sitter);
        match taken {
            Ok(()) => Ok(Seated { sockets: self.clone(), sitter: sitter.clone() }),
            Err(refused) => {
                if let Some(from) = refused.reclaim_from {
                    self.reclaim(now, &from);
                }
                Err(refused.reason)
            }
        }
    }

    /// Sends one socket of a tenant away: the one that has been quiet for longest.
    fn reclaim(&self, now: Nanos, tenant: &str) {
        let entries = self.entries.borrow();
        let of = entries.values().filter(|e| *e.sitter.tenant == *tenant && !e.leaving.get());
        if let Some(entry) = of.min_by_key(|entry| entry.active.get()) {
            let reason = close::come_back("others want their share of the sockets", 5);
            entry.give(Order::LeaveRequest(
                now,
                LeaveRequest { code: close::TRY_LATER, reason, moves: false },
            ));
        }
    }

    /// A socket has opened.
    pub fn list(
        self: &Rc<Self>,
        sitter: SlotOwner,
        front: usize,
        pool: u32,
        server: ServerId,
    ) -> Listed {
        self.last.set(self.last.get() + 1);
        let number = self.last.get();
        *self.counts.borrow_mut().opened.entry(sitter.cluster.clone()).or_default() += 1;
        let entry = Rc::new(Entry {
            sitter,
            front,
            pool: Cell::new(pool),
            server: Cell::new(server),
            active: Cell::new(self.clock.now()),
            leaving: Cell::new(false),
            ending: Cell::new(false),
            order: RefCell::default(),
            waker: Cell::default(),
        });
        self.entries.borrow_mut().insert(number, entry.clone());
        let (queued, passed) = (0, Default::default());
        Listed { sockets: self.clone(), number, entry, queued, passed }
    }

    /// In how long a cluster's sockets leave a server that has gone.
    pub fn spread(&self, pool: u32, span: Nanos) {
        self.evacuations.borrow_mut().insert(pool, MigrationSchedule::new(span));
    }

    /// A cluster is no more, and its last socket has left.
    pub fn forget(&self, pool: u32) {
        self.evacuations.borrow_mut().remove(&pool);
    }

    fn slot(&self, now: Nanos, pool: u32, server: ServerId, there: usize) -> Nanos {
        let mut all = self.evacuations.borrow_mut();
        all.get_mut(&pool).map_or(now, |of| of.slot(now, server, there))
    }

    /// When a socket may go that has lost its server. The others of that server are asked for a
    /// sign of life: they may not have heard.
    pub fn lost(&self, entry: &Entry) -> Nanos {
        let (pool, server) = (entry.pool.get(), entry.server.get());
        entry.leaving.set(true);
        let there = self.doubt(pool, server);
        self.slot(self.clock.now(), pool, server, there + 1)
    }

    /// A cluster's server is doubtful: its sockets ask it for a sign of life. Back comes how
    /// many there are.
    pub fn doubt(&self, pool: u32, server: ServerId) -> usize {
        let now = self.clock.now();
        let mut doubted = self.doubted.borrow_mut();
        doubted.retain(|_, (at, _)| now.saturating_sub(*at) < DOUBT_AGAIN);
        if let Some((_, there)) = doubted.get(&(pool, server)) {
            return *there;
        }
        let entries = self.entries.borrow();
        let of = entries.values().filter(|entry| {
            entry.pool.get() == pool && entry.server.get() == server && !entry.leaving.get()
        });
        let there = of.inspect(|entry| entry.give(Order::Doubt)).count();
        doubted.insert((pool, server), (now, there));
        there
    }

    /// A cluster has these servers and no others: sockets leave those that it has no more.
    pub fn keep(&self, pool: u32, servers: &HashSet<ServerId>, reason: &str) {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        let of = |entry: &&Rc<Entry>| {
            entry.pool.get() == pool
                && !servers.contains(&entry.server.get())
                && !entry.leaving.get()
        };
        let mut there: HashMap<ServerId, usize> = HashMap::new();
        for entry in entries.values().filter(of) {
            *there.entry(entry.server.get()).or_default() += 1;
        }
        for entry in entries.values().filter(of) {
            let server = entry.server.get();
            let left = there.entry(server).or_default();
            let at = self.slot(now, pool, server, *left);
            *left = left.saturating_sub(1);
            let reason = reason.to_string();
            entry.give(Order::LeaveRequest(
                at,
                LeaveRequest { code: close::RESTART, reason, moves: true },
            ));
        }
    }

    /// The process ends, or one front does: its sockets are closed within `span`, evenly.
    pub fn end(&self, front: Option<usize>, span: Nanos) {
        let now = self.clock.now();
        let entries = self.entries.borrow();
        let these = entries.values().filter(|e| front.is_none_or(|front| e.front == front));
        let all: Vec<_> = these.filter(|entry| !entry.ending.get()).collect();
        let step = span / (all.len() as u64).max(1);
        for (n, entry) in all.into_iter().enumerate() {
            entry.ending.set(true);
            // They are told to come back as evenly as they left, and no sooner than a restart
            // takes.
            let reason = close::come_back("this sidecar ends", 1 + n as u64 % 10);
            let leave = LeaveRequest { code: close::GOING_AWAY, reason, moves: false };
            entry.give(Order::LeaveRequest(now.saturating_add(step * n as u64), leave));
        }
    }

    /// Where they are.
    pub fn levels(&self) -> SocketLevels {
        let mut levels = SocketLevels { queued: self.queued.get(), ..SocketLevels::default() };
        for entry in self.entries.borrow().values() {
            let SlotOwner { tenant, cluster, .. } = &entry.sitter;
            *levels.clusters.entry(cluster.to_string()).or_default() += 1;
            *levels.tenants.entry(tenant.to_string()).or_default() += 1;
            let at = (cluster.to_string(), entry.server.get());
            *levels.endpoints.entry(at).or_default() += 1;
        }
        levels
    }
}
