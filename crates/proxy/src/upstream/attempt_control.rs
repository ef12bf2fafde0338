//! Cancelling an attempt, and learning when it got its connection.

use crate::client::connection::Client;
use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// Shared by the runtime, which stops an attempt, and the one task that carries it.
#[derive(Default)]
pub struct AttemptControl {
    is_cancelled: Cell<bool>,
    has_client_left: Cell<bool>,
    /// Who waits for the response, if that is a connection with a request open.
    client: Option<Rc<Client>>,
    waker: Cell<Option<Waker>>,
    connected_at: Cell<Option<Instant>>,
}

impl AttemptControl {
    /// The control of an attempt for `client`.
    pub fn new(client: Option<Rc<Client>>) -> Self {
        AttemptControl { client, ..AttemptControl::default() }
    }

    /// Reports that the client has disconnected: what has not been sent yet is not to be.
    pub fn client_disconnected(&self) {
        self.has_client_left.set(true);
        self.wake();
    }

    /// Whether the client has disconnected, as far as was reported or its connection shows.
    pub fn has_client_left(&self) -> bool {
        self.has_client_left.get() || self.client.as_ref().is_some_and(|client| client.has_left())
    }

    /// Waits until the client is reported to have disconnected; only in the task that waits for
    /// [`AttemptControl::cancelled`].
    pub async fn client_left(&self) {
        poll_fn(|cx| self.poll_flag(&self.has_client_left, cx)).await
    }

    /// Reports that the attempt has a connection.
    pub fn connected(&self) {
        self.connected_at.set(Some(Instant::now()));
    }

    /// When the attempt got its connection, if it has one.
    pub fn connected_at(&self) -> Option<Instant> {
        self.connected_at.get()
    }

    /// Stops the attempt.
    pub fn cancel(&self) {
        self.is_cancelled.set(true);
        self.wake();
    }

    /// Waits until the attempt is cancelled; for one waiting task.
    pub async fn cancelled(&self) {
        poll_fn(|cx| self.poll_flag(&self.is_cancelled, cx)).await
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
