//! The state of one client connection that other modules use: its phase and its timeouts.

use super::exchange::Exchange;
use super::head_scanner::RequestHeadScanner;
use super::phase::EvictionPriority;
pub use super::phase::{ClientTimeouts, Phase, SharedTimeout};
use super::phase_timer::PhaseTimer;
pub use super::request_memory::RequestMemory;
use super::scanned_head::ScannedHead;
pub use super::upgrade::Upgrade;
use crate::memory::{MemoryAccount, MemoryUse};
use crate::tcp::{is_closed_by_peer, is_reset, pending, Pending, SharedStream, TrafficObserver};
use crate::upstream::attempt_control::ResponseRecipient;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Minimum wait in the accept queue that is counted as part of a request's time; shorter waits are
/// ignored.
const MIN_ACCEPT_WAIT: Duration = Duration::from_millis(5);

/// Minimum time for which a client has not read its response before its connection may be closed
/// because others wait for memory or for a connection.
const MIN_RESPONSE_STALL: Duration = Duration::from_secs(1);

/// The state of one connection that is shared outside its task.
#[derive(Debug)]
pub struct Client {
    stream: SharedStream,
    /// The remote address of the connection.
    pub peer: SocketAddr,
    pub(super) phase: PhaseTimer,
    /// Whether a client that has closed its write side still gets its response.
    allows_half_close: bool,
    /// Scans the request heads that arrive on the connection, ahead of the HTTP library.
    pub(super) scanner: RefCell<RequestHeadScanner>,
    /// The current request and its response.
    pub(super) exchange: RefCell<Rc<Exchange>>,
    /// Notified when a request body has been dropped before its end.
    pub(super) body_dropped: Notify,
    /// Whether the HTTP library has read the complete response body.
    pub is_response_read: Cell<bool>,
    /// Whether at least one byte has arrived from the client.
    has_sent: Cell<bool>,
    /// Maximum time that the first request may have waited in the accept queue; zero once taken.
    accept_wait: Cell<Duration>,
    /// The memory of the connection, its request and its response.
    pub(super) memory: RequestMemory,
    /// Time at which the response, or its last part, was passed to the kernel; `None` if no response
    /// is being written.
    pub(super) responding_since: Cell<Option<Instant>>,
    /// Whether the connection is to be closed behind the next response.
    closes_after_response: Cell<bool>,
    /// Notified when the connection is to give up its buffers, if it is idle.
    pub(super) buffers_wanted: Notify,
    /// Cancelled to evict the connection when there is no capacity for another.
    pub eviction: CancellationToken,
    /// Cancelled to close the connection although it has a request or a response, because others wait
    /// for memory or for a connection.
    pub(super) forced_eviction: CancellationToken,
    /// Takes over the connection after a 101 response; `None` before a server has accepted a
    /// handshake.
    pub upgrade: RefCell<Option<Upgrade>>,
}

impl Client {
    /// Creates the state of a connection that was just accepted, after at most `accept_wait` in the
    /// accept queue.
    pub fn new(
        stream: SharedStream,
        peer: SocketAddr,
        timeouts: ClientTimeouts,
        accept_wait: Duration,
        memory: RequestMemory,
    ) -> Self {
        // If no bytes have arrived, the request was sent after the connection was accepted.
        let is_request_queued =
            accept_wait >= MIN_ACCEPT_WAIT && pending(&stream) == Pending::Bytes;
        let accept_wait = if is_request_queued { accept_wait } else { Duration::ZERO };
        Client {
            stream,
            peer,
            allows_half_close: timeouts.allows_half_close,
            phase: PhaseTimer::start(timeouts, accept_wait),
            scanner: RefCell::default(),
            exchange: RefCell::default(),
            body_dropped: Notify::new(),
            is_response_read: Cell::new(false),
            has_sent: Cell::new(false),
            accept_wait: Cell::new(accept_wait),
            memory,
            responding_since: Cell::new(None),
            closes_after_response: Cell::new(false),
            buffers_wanted: Notify::new(),
            eviction: CancellationToken::new(),
            forced_eviction: CancellationToken::new(),
            upgrade: RefCell::default(),
        }
    }

    /// Returns the phase that the connection is in.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns the time when the phase began, or when bytes last passed if they restart the
    /// timeout.
    pub fn phase_since(&self) -> Instant {
        self.phase.since()
    }

    /// Returns how long the first request may have waited in the accept queue; zero for later ones.
    pub fn take_accept_wait(&self) -> Duration {
        self.accept_wait.take()
    }

    /// Sets the phase of the connection and restarts the timeout.
    pub fn enter(&self, phase: Phase) {
        self.phase.enter(phase);
    }

    /// Records that there is memory for a body of at most `bytes` bytes.
    pub(crate) fn admit_body(&self, bytes: usize) {
        self.memory.admit_body(bytes);
    }

    /// Returns the account of the current request.
    pub(crate) fn memory_account(&self) -> Rc<MemoryAccount> {
        self.memory.account()
    }

    /// Returns how long the current request has waited unread for memory, once.
    pub fn take_memory_wait(&self) -> Duration {
        self.memory.take_wait()
    }

    /// Returns whether a request has arrived in part, so that it cannot have been forwarded.
    pub(super) fn is_unfinished(&self) -> bool {
        match self.phase.get() {
            Phase::New => self.has_sent.get(),
            Phase::Receiving => true,
            Phase::Closing | Phase::Idle | Phase::Discarding | Phase::Busy => false,
        }
    }

    /// Returns whether the connection may be closed, although more of a request is expected, because
    /// others wait for memory or for a connection.
    pub(super) fn may_be_cut_off(&self) -> bool {
        self.is_unfinished() || self.phase.get() == Phase::Discarding
    }

    /// Returns whether the client has not read its response for so long that its connection may be
    /// closed because others wait for memory or for a connection.
    pub(super) fn is_response_stalled(&self) -> bool {
        self.responding_since.get().is_some_and(|since| since.elapsed() >= MIN_RESPONSE_STALL)
    }

    /// Returns whether the HTTP library holds large buffers for a connection without a request.
    pub(super) fn holds_idle_buffers(&self) -> bool {
        self.phase.get() == Phase::Idle && self.memory.has_large_buffers()
    }

    /// Closes the connection behind the next response.
    pub(super) fn close_after_response(&self) {
        self.closes_after_response.set(true);
    }

    /// Returns whether the connection is to be closed behind the next response.
    pub(super) fn closes_after_response(&self) -> bool {
        self.closes_after_response.get() || self.eviction.is_cancelled()
    }

    /// Returns the eviction priority of the connection; `None` while a request after the first is
    /// being received or a response is pending, when the connection may not be evicted.
    pub(super) fn eviction_priority(&self) -> Option<EvictionPriority> {
        match self.phase.get() {
            Phase::Closing => Some(EvictionPriority::Closing),
            Phase::New if self.has_sent.get() => Some(EvictionPriority::FirstRequestStarted),
            Phase::New => Some(EvictionPriority::Silent),
            Phase::Idle => Some(EvictionPriority::Idle),
            Phase::Discarding => Some(EvictionPriority::Discarding),
            Phase::Receiving | Phase::Busy => None,
        }
    }

    /// Returns the scan result of a request that the HTTP library has just delivered.
    pub(super) fn next_head(&self) -> ScannedHead {
        self.scanner.borrow_mut().next_head()
    }

    /// Returns whether further requests have arrived behind the current one: the client does not wait
    /// for its responses.
    pub(super) fn is_pipelining(&self) -> bool {
        self.scanner.borrow().pending_heads().next().is_some()
    }

    /// Returns whether the body of the current request has not arrived completely, or its end is
    /// unknown.
    pub(super) fn is_in_body(&self) -> bool {
        self.scanner.borrow().is_in_body()
    }

    /// Returns whether a body on this connection has a chunked encoding in which two recipients may
    /// find different ends.
    pub(crate) fn is_body_ambiguous(&self) -> bool {
        self.scanner.borrow().is_body_ambiguous()
    }

    /// Frees the scanner: no further request heads will arrive.
    pub(super) fn stop_scanning(&self) {
        self.scanner.take();
    }

    /// Returns whether unread bytes may belong to a request that has to get a response.
    pub(super) fn has_unread_request(&self) -> bool {
        !matches!(self.phase.get(), Phase::Closing | Phase::Discarding) && self.has_pending()
    }

    /// Returns whether the client has sent bytes that the sidecar has not read from the socket yet.
    pub fn has_pending(&self) -> bool {
        pending(&self.stream) == Pending::Bytes
    }
}

impl ResponseRecipient for Client {
    // Checked on the socket: the HTTP library does not detect the end of a connection behind bytes
    // that it has not delivered yet.
    fn has_disconnected(&self) -> bool {
        if self.allows_half_close {
            is_reset(&self.stream)
        } else {
            is_closed_by_peer(&self.stream)
        }
    }
}

impl TrafficObserver for Client {
    fn read(&self, bytes: &[u8]) {
        self.memory.resume();
        self.memory.count_read(bytes.len());
        if !bytes.is_empty() {
            self.has_sent.set(true);
        }
        if !bytes.is_empty() && self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
        self.phase.record_progress();
        self.scanner.borrow_mut().read(bytes);
    }

    fn read_again(&self) {
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
    }

    fn wrote(&self, bytes: &[u8]) {
        self.memory.count_traffic(bytes.len());
        if self.responding_since.get().is_some() {
            self.responding_since.set(Some(Instant::now()));
        }
        self.phase.record_progress();
    }

    fn memory_use(&self) -> MemoryUse {
        match self.phase.get() {
            Phase::Closing | Phase::Idle => MemoryUse::RequestStart,
            Phase::New if !self.has_sent.get() => MemoryUse::RequestStart,
            _ if self.memory.is_body_admitted() => MemoryUse::RequestStart,
            Phase::New | Phase::Discarding | Phase::Receiving | Phase::Busy => {
                MemoryUse::RequestGrowth
            }
        }
    }

    fn paused(&self) {
        self.memory.pause();
    }

    fn flushed(&self) {
        if self.is_response_read.replace(false) {
            self.finish_response();
        }
    }
}
