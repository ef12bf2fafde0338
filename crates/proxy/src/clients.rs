//! Clients' connections as the rest of the program sees them: phases, limits, eviction.

use crate::scan::Scan;
use crate::socket::{has_ended, is_reset, pending, Pending, Stream, Watcher};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Waits to be accepted that are shorter are not counted.
const QUEUED_LEAST: Duration = Duration::from_millis(5);

/// How long a connection may be in its phases.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// A request is whole so long after its first byte, and the first one of a
    /// connection so long after the connection. Guards against clients that say
    /// nothing, stop half-way or go on for ever; it would harm one that sends a
    /// request slower than this.
    pub receive: Duration,
    /// An idle connection is closed after this.
    pub idle: Duration,
    /// How long a request may hold the connection.
    pub busy: Duration,
    /// Whether bytes that pass, either way, give a request its time anew.
    pub by_progress: bool,
    /// A client that has ended its sending still gets its answer; else it counts as gone.
    pub half_close: bool,
}

/// What a client's connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Its last answer is out; only its client's end is awaited.
    Closing,
    /// Nothing, or part of its first request, has come.
    Fresh,
    /// Between requests.
    Idle,
    /// Part of a further request has come.
    Receiving,
    /// A request is whole, and its answer not out.
    Busy,
}

/// How readily a connection makes room, the readiest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Eviction {
    /// Its last answer is out.
    Closing,
    /// It has sent nothing.
    Silent,
    /// Between requests: a request that crosses the close is sent again.
    Idle,
    /// Its first request has begun, and would be lost.
    Begun,
}

/// One connection as seen from outside its task.
#[derive(Debug)]
pub struct Client {
    stream: Stream,
    /// The other side.
    pub peer: SocketAddr,
    phase: Cell<Phase>,
    /// When that phase began, or bytes last passed in it.
    since: Cell<Instant>,
    patience: Patience,
    /// The messages as they come.
    pub scan: RefCell<Scan>,
    /// The library has no more of the answer to ask for.
    pub handed_over: Cell<bool>,
    /// Whether it has sent anything.
    begun: Cell<bool>,
    /// How long the request that came with the connection may have waited to be accepted.
    queued: Cell<Duration>,
    /// Whether it is to make room.
    pub evicted: CancellationToken,
    /// What becomes of it after a 101.
    pub upgrade: RefCell<Option<Upgrade>>,
}

/// Takes over a connection after its 101, with what was read behind the request.
pub struct Upgrade(pub Box<TakeOver>);

type TakeOver = dyn FnOnce(Stream, Bytes) -> Pin<Box<dyn Future<Output = ()>>>;

impl fmt::Debug for Upgrade {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Upgrade")
    }
}

impl Client {
    /// A connection that was just accepted, after a wait in the listener's queue of at most
    /// `queued`.
    pub fn new(stream: Stream, peer: SocketAddr, patience: Patience, queued: Duration) -> Self {
        // A request that is not there yet was sent after the connection was accepted.
        let came_with_request = queued >= QUEUED_LEAST && pending(&stream) == Pending::Bytes;
        let queued = if came_with_request { queued } else { Duration::ZERO };
        Client {
            stream,
            peer,
            phase: Cell::new(Phase::Fresh),
            since: Cell::new(Instant::now()),
            patience,
            scan: RefCell::default(),
            handed_over: Cell::new(false),
            begun: Cell::new(false),
            queued: Cell::new(queued),
            evicted: CancellationToken::new(),
            upgrade: RefCell::default(),
        }
    }

    /// What it is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When that phase began.
    pub fn since(&self) -> Instant {
        self.since.get()
    }

    /// How long its first request may have waited to be accepted; nothing for later ones.
    pub fn take_queued(&self) -> Duration {
        self.queued.take()
    }

    /// Begins a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// How readily it makes room; none while it has a further request or an answer under way.
    fn eviction(&self) -> Option<Eviction> {
        match self.phase.get() {
            Phase::Closing => Some(Eviction::Closing),
            Phase::Fresh if self.begun.get() => Some(Eviction::Begun),
            Phase::Fresh => Some(Eviction::Silent),
            Phase::Idle => Some(Eviction::Idle),
            Phase::Receiving | Phase::Busy => None,
        }
    }

    /// Whether bytes wait to be read.
    pub fn has_pending(&self) -> bool {
        pending(&self.stream) == Pending::Bytes
    }

    /// Whether nobody waits for an answer any more. Asked of the socket itself: the HTTP library
    /// does not look for the end of a connection behind bytes that it has not handed on.
    pub fn has_left(&self) -> bool {
        match self.patience.half_close {
            true => is_reset(&self.stream),
            false => has_ended(&self.stream),
        }
    }

    /// When the connection has been in its phase for too long.
    pub fn dead_at(&self) -> Instant {
        self.since.get()
            + match self.phase.get() {
                Phase::Closing | Phase::Fresh | Phase::Receiving => self.patience.receive,
                Phase::Idle => self.patience.idle,
                Phase::Busy => self.patience.busy,
            }
    }

    fn progress(&self) {
        if self.patience.by_progress && self.phase.get() == Phase::Busy {
            self.since.set(Instant::now());
        }
    }
}

impl Watcher for Client {
    fn read(&self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.begun.set(true);
        }
        if !bytes.is_empty() && self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
        self.progress();
        self.scan.borrow_mut().read(bytes);
    }

    fn wrote(&self, _bytes: &[u8]) {
        self.progress();
    }

    fn flushed(&self) {
        if self.handed_over.replace(false) {
            self.enter(Phase::Idle);
        }
    }
}

/// All clients' connections, oldest first.
#[derive(Debug, Default)]
pub struct Clients {
    by_number: RefCell<BTreeMap<u64, Rc<Client>>>,
    last: Cell<u64>,
}

impl Clients {
    /// Takes a connection in; its number.
    pub fn add(&self, client: Rc<Client>) -> u64 {
        self.last.set(self.last.get() + 1);
        self.by_number.borrow_mut().insert(self.last.get(), client);
        self.last.get()
    }

    /// Forgets a connection that has ended.
    pub fn remove(&self, number: u64) {
        self.by_number.borrow_mut().remove(&number);
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_number.borrow().is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_number.borrow().len()
    }

    /// Closes a connection to make room: of those whose last answer is out, else
    /// of those that have sent nothing, else of the idle ones, else of those whose
    /// first request has begun, the one that is so for longest, if it has been for `least`. Danger: a crowd that connects and
    /// sends nothing would shut out the rest, and one whose request waits to be
    /// read must not be closed for it.
    pub fn evict_one(&self, least: Duration) -> bool {
        let clients = self.by_number.borrow();
        let now = Instant::now();
        let unwanted = |client: &Rc<Client>| {
            let long = now.saturating_duration_since(client.since.get()) >= least;
            client.eviction().filter(|_| long && !client.evicted.is_cancelled())
        };
        let mut candidates: Vec<_> = clients
            .values()
            .filter_map(|client| Some((unwanted(client)?, client.since.get(), client)))
            .collect();
        candidates.sort_unstable_by_key(|(eviction, since, _)| (*eviction, *since));
        // In this order, as each look asks the kernel.
        let may_go = |(eviction, _, client): &&(Eviction, Instant, &Rc<Client>)| {
            *eviction == Eviction::Closing || !client.has_pending()
        };
        let victim = candidates.iter().find(may_go);
        victim.inspect(|(_, _, client)| client.evicted.cancel()).is_some()
    }
}
