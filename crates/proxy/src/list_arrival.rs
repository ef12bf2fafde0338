//! Detects endpoint list updates that have arrived on a socket and are not applied yet.

use crate::tcp::{pending, Pending, SharedStream, TrafficObserver};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Maximum time that a request waits for a list to be applied. With a small share of a core, a list
/// of thousands of servers may take a few hundred milliseconds.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// If nothing of a response has been read for longer than this, discovery is sending it slowly, and
/// requests do not wait for it.
const PROGRESS_GAP: Duration = Duration::from_millis(30);

/// Tracks the connections on which endpoint lists arrive.
#[derive(Debug, Default)]
pub struct ListArrival {
    /// The open connections, and closed ones that have not been removed yet.
    streams: RefCell<Vec<Weak<RefCell<TcpStream>>>>,
    /// The time when bytes of a response were last read; `None` if that response has been handled.
    last_read_at: Cell<Option<Instant>>,
    handled: Notify,
}

impl ListArrival {
    /// Tracks a connection until it is dropped.
    pub fn track(&self, stream: &SharedStream) {
        let mut streams = self.streams.borrow_mut();
        streams.retain(|stream| stream.strong_count() > 0);
        streams.push(Rc::downgrade(stream));
    }

    /// Records that a response of discovery has been handled; a list in the response is applied by
    /// then.
    pub fn record_response_handled(&self) {
        self.last_read_at.set(None);
        self.handled.notify_waiters();
    }

    /// Waits until no received list is left to be applied, for at most 500 ms.
    ///
    /// When many requests are due in the same iteration of the event loop, the task that reads the
    /// list runs after these requests. Without this wait the requests would be sent to servers that
    /// the list marks as draining.
    pub async fn wait_until_applied(&self) {
        let started_at = Instant::now();
        while self.is_arriving() && started_at.elapsed() < MAX_WAIT {
            // The loop condition checks whether the response was handled or `PROGRESS_GAP` has
            // passed.
            timeout(PROGRESS_GAP, self.handled.notified()).await.unwrap_or_default();
        }
    }

    fn is_arriving(&self) -> bool {
        let is_read = self.last_read_at.get().is_some_and(|at| at.elapsed() < PROGRESS_GAP);
        is_read || self.has_unread_bytes()
    }

    fn has_unread_bytes(&self) -> bool {
        let streams = self.streams.borrow();
        let mut open = streams.iter().filter_map(Weak::upgrade);
        open.any(|stream| pending(&stream) == Pending::Bytes)
    }
}

impl TrafficObserver for ListArrival {
    fn read(&self, bytes: &[u8]) {
        if !bytes.is_empty() {
            self.last_read_at.set(Some(Instant::now()));
        }
    }
}
