//! The kernel's accept queue of a listening socket, and the arrival times of the connections in the
//! queue.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::unconstrained;
use tokio::time::Instant;

/// A client connection taken from the accept queue, with a bound on its time of arrival there.
pub(super) struct AcceptedConnection {
    pub(super) stream: TcpStream,
    pub(super) peer: SocketAddr,
    /// The earliest time at which the connection may have entered the accept queue.
    pub(super) arrived_after: Instant,
}

/// The accept queue of a listening socket.
pub(super) struct AcceptQueue {
    listener: TcpListener,
    /// Whether the queue was empty at the last poll. If so, the task is woken by the next
    /// connection.
    was_empty: bool,
    /// The earliest time at which the connections in the queue may have arrived.
    nonempty_since: Instant,
}

impl AcceptQueue {
    pub(super) fn new(listener: TcpListener) -> Self {
        AcceptQueue { listener, was_empty: false, nonempty_since: Instant::now() }
    }

    /// Accepts the next connection. The connection cannot have arrived before the first connection
    /// after the queue was last empty, and that first one arrived at most `loop_lag` before it was
    /// noticed.
    ///
    /// # Errors
    /// The error of `accept`, for example when no file descriptor is left.
    pub(super) async fn accept(
        &mut self,
        loop_lag: impl Fn() -> Duration,
    ) -> io::Result<AcceptedConnection> {
        // Unconstrained: with its cooperative budget used up, a poll would return `Pending`
        // although connections are in the queue.
        let accepted = unconstrained(poll_fn(|cx| {
            let polled = self.listener.poll_accept(cx);
            if polled.is_pending() {
                self.was_empty = true;
            } else if std::mem::take(&mut self.was_empty) {
                let now = Instant::now();
                self.nonempty_since = now.checked_sub(loop_lag()).unwrap_or(now);
            }
            polled
        }));
        let (stream, peer) = accepted.await?;
        Ok(AcceptedConnection { stream, peer, arrived_after: self.nonempty_since })
    }
}
