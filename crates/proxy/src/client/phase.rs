//! The phases of a client connection: how long each may take, and which is evicted first.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// A timeout that all connections of a listener share, and that may be raised while they are open.
#[derive(Debug, Clone)]
pub struct SharedTimeout(Rc<Cell<Duration>>);

impl SharedTimeout {
    /// Creates a timeout.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        SharedTimeout(Rc::new(Cell::new(timeout)))
    }

    /// Returns the timeout.
    #[must_use]
    pub fn get(&self) -> Duration {
        self.0.get()
    }

    /// Raises the timeout to at least `timeout`, also for connections that are waiting.
    pub fn raise(&self, timeout: Duration) {
        self.0.set(self.0.get().max(timeout));
    }
}

/// Limits on the time that a connection may spend in each phase.
#[derive(Debug, Clone)]
pub struct ClientTimeouts {
    /// A request must be complete this long after its first byte, and the first request of a
    /// connection this long after the connection was made, time in the accept queue included.
    /// The rest of a body that is discarded must arrive this long after the response. Protects
    /// against clients that send nothing, stop in the middle of a request or never end it. A legitimate client that takes longer to send a request is disconnected too.
    pub receive: Duration,
    /// Maximum time between a response and the first byte of the next request, after which the
    /// connection is closed.
    pub idle: Duration,
    /// Maximum time from the arrival of a complete request until its response is written.
    pub busy: SharedTimeout,
    /// Whether bytes in either direction restart the `busy` timeout.
    pub is_extended_by_progress: bool,
    /// Whether a client that has closed its write side still gets its response. Otherwise it counts
    /// as disconnected.
    pub allows_half_close: bool,
}

/// The phase of a client connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The last response is written, and the client has not closed the connection yet.
    Closing,
    /// Nothing or a part of the first request has arrived.
    New,
    /// The last response is written, and no byte of the next request has arrived.
    Idle,
    /// The last response is written, and the rest of its request's body is read and discarded.
    Discarding,
    /// Part of a later request has arrived.
    Receiving,
    /// A request is complete, and its response is not written yet.
    Busy,
}

/// The order in which connections are evicted, first variant first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionPriority {
    /// The last response has been written; only the client's close is awaited.
    Closing,
    /// The client has sent nothing.
    Silent,
    /// The response is written, and the client still sends a body that nobody reads.
    Discarding,
    /// Between requests: a client sends a request again that crosses the close.
    Idle,
    /// Part of the first request has arrived, which would be lost.
    FirstRequestStarted,
}
