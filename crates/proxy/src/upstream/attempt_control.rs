//! Cancellation of an attempt, and the time at which it got its connection.
//!
//! Elsewhere cancellation uses a `CancellationToken`, which supports any number of waiting tasks.
//! An [`AttemptControl`] is cheaper, as every attempt needs one: its two signals reach the single
//! task that runs the attempt, without a lock or a list of waiters.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// The client that waits for a response.
pub trait ResponseRecipient {
    /// Returns whether the client has disconnected, so that it would not read a response.
    fn has_disconnected(&self) -> bool;
}

/// Shared by the runtime, which cancels an attempt, and the single task that runs the attempt.
#[derive(Default)]
pub struct AttemptControl {
    is_cancelled: Cell<bool>,
    is_client_disconnected: Cell<bool>,
    /// The client that waits for the response, if there is one.
    client: Option<Rc<dyn ResponseRecipient>>,
    waker: Cell<Option<Waker>>,
    connected_at: Cell<Option<Instant>>,
}

impl AttemptControl {
    /// Creates the control of an attempt for `client`.
    #[must_use]
    pub fn new(client: Option<Rc<dyn ResponseRecipient>>) -> Self {
        AttemptControl { client, ..AttemptControl::default() }
    }

    /// Records that the client has disconnected: an attempt that has not been sent must not be.
    pub fn mark_client_disconnected(&self) {
        self.is_client_disconnected.set(true);
        self.wake();
    }

    /// Returns whether the client is recorded as disconnected, or its connection shows that it is.
    pub fn is_client_disconnected(&self) -> bool {
        self.is_client_disconnected.get()
            || self.client.as_ref().is_some_and(|client| client.has_disconnected())
    }

    /// Waits until the client is recorded as disconnected. May only be awaited in the task that
    /// awaits [`AttemptControl::cancelled`].
    pub async fn client_disconnected(&self) {
        poll_fn(|cx| self.poll_flag(&self.is_client_disconnected, cx)).await;
    }

    /// Records that the attempt has a connection.
    pub fn connected(&self) {
        self.connected_at.set(Some(Instant::now()));
    }

    /// Returns the time at which the attempt got its connection; `None` if it has none yet.
    pub fn connected_at(&self) -> Option<Instant> {
        self.connected_at.get()
    }

    /// Cancels the attempt, and wakes the task that awaits [`Self::cancelled`].
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
        self.wake();
    }

    /// Waits until the attempt is cancelled. May only be awaited in a single task.
    pub async fn cancelled(&self) {
        poll_fn(|cx| self.poll_flag(&self.is_cancelled, cx)).await;
    }

    fn poll_flag(&self, flag: &Cell<bool>, cx: &mut Context<'_>) -> Poll<()> {
        if flag.get() {
            return Poll::Ready(());
        }
        self.waker.set(Some(cx.waker().clone()));
        Poll::Pending
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}
