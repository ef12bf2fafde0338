//! Clients' connections as the rest of the program sees them: phases, limits, eviction.

use crate::client::head_scanner::RequestHeadScanner;
use crate::tcp::{has_ended, is_reset, pending, Pending, SharedStream, TrafficObserver};
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

/// How long a connection may be in its phases.
#[derive(Debug, Clone, Copy)]
pub struct ClientTimeouts {
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

/// One connection as seen from outside its task.
#[derive(Debug)]
pub struct Client {
    stream: SharedStream,
    /// The other side.
    pub peer: SocketAddr,
    phase: Cell<Phase>,
    /// When that phase began, or bytes last passed in it.
    since: Cell<Instant>,
    patience: ClientTimeouts,
    /// The messages as they come.
    pub scanner: RefCell<RequestHeadScanner>,
    /// The library has no more of the answer to ask for.
    pub is_response_read: Cell<bool>,
    /// Whether it is to make room.
    pub evicted: CancellationToken,
    /// What becomes of it after a 101.
    pub upgrade: RefCell<Option<Upgrade>>,
}

/// Takes over a connection after its 101, with what was read behind the request.
pub struct Upgrade(pub Box<TakeOver>);

type TakeOver = dyn FnOnce(SharedStream, Bytes) -> Pin<Box<dyn Future<Output = ()>>>;

impl fmt::Debug for Upgrade {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Upgrade")
    }
}

impl Client {
    /// A connection that was just accepted.
    pub fn new(stream: SharedStream, peer: SocketAddr, patience: ClientTimeouts) -> Self {
        Client {
            stream,
            peer,
            phase: Cell::new(Phase::Fresh),
            since: Cell::new(Instant::now()),
            patience,
            scanner: RefCell::default(),
            is_response_read: Cell::new(false),
            evicted: CancellationToken::new(),
            upgrade: RefCell::default(),
        }
    }

    /// What it is doing.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Begins a phase.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
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

impl TrafficObserver for Client {
    fn read(&self, bytes: &[u8]) {
        if !bytes.is_empty() && self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
        self.progress();
        self.scanner.borrow_mut().read(bytes);
    }

    fn wrote(&self, _bytes: &[u8]) {
        self.progress();
    }

    fn flushed(&self) {
        if self.is_response_read.replace(false) {
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
    /// of those that have sent nothing, else of the idle ones, the one that is so
    /// for longest, if it has been for `least`. Danger: a crowd that connects and
    /// sends nothing would shut out the rest, and one whose request waits to be
    /// read must not be closed for it.
    pub fn evict_one(&self, least: Duration) -> bool {
        let clients = self.by_number.borrow();
        let unwanted = |c: &&Rc<Client>| {
            c.phase.get() <= Phase::Idle
                && c.since.get().elapsed() >= least
                && !c.evicted.is_cancelled()
                && (c.phase.get() == Phase::Closing || !c.has_pending())
        };
        let victim =
            clients.values().filter(unwanted).min_by_key(|c| (c.phase.get(), c.since.get()));
        victim.inspect(|client| client.evicted.cancel()).is_some()
    }
}
