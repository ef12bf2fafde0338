//! The wait of a client's task for its response. The same task also polls the attempts, which saves
//! two task switches per request.

use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::task::spawn_local;

/// The future that runs an attempt.
pub type AttemptFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A slot for one response, and a queue of attempts to be started by the task that waits for it.
pub struct PendingResponse<R> {
    response: Cell<Option<R>>,
    new_attempts: RefCell<Vec<AttemptFuture>>,
    waker: Cell<Option<Waker>>,
}

impl<R> Default for PendingResponse<R> {
    fn default() -> Self {
        PendingResponse {
            response: Cell::new(None),
            new_attempts: RefCell::default(),
            waker: Cell::new(None),
        }
    }
}

impl<R> PendingResponse<R> {
    /// Sets the response and wakes the waiting task.
    pub fn resolve(&self, response: R) {
        self.response.set(Some(response));
        self.wake();
    }

    /// Passes an attempt to the waiting task, which runs the attempt.
    pub fn start(&self, attempt: AttemptFuture) {
        self.new_attempts.borrow_mut().push(attempt);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The attempts of a [`PendingResponse`], polled by the task that waits for it.
pub struct AttemptSet<R> {
    pending: Rc<PendingResponse<R>>,
    running: Vec<AttemptFuture>,
}

impl<R> AttemptSet<R> {
    /// Creates a set without running attempts.
    pub fn new(pending: Rc<PendingResponse<R>>) -> Self {
        AttemptSet { pending, running: Vec::new() }
    }

    /// Runs the attempts until the response is set.
    pub async fn response(&mut self) -> R {
        poll_fn(|cx| self.poll(cx)).await
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<R> {
        loop {
            self.running.append(&mut self.pending.new_attempts.borrow_mut());
            self.running.retain_mut(|attempt| attempt.as_mut().poll(cx).is_pending());
            if let Some(response) = self.pending.response.take() {
                return Poll::Ready(response);
            }
            // An attempt that ended in this poll may have started another.
            if self.pending.new_attempts.borrow().is_empty() {
                self.pending.waker.set(Some(cx.waker().clone()));
                return Poll::Pending;
            }
        }
    }

    /// Moves the attempts that have not ended to tasks of their own: each attempt still has to
    /// report its outcome.
    pub fn detach(&mut self) {
        self.running.append(&mut self.pending.new_attempts.borrow_mut());
        for attempt in self.running.drain(..) {
            spawn_local(attempt);
        }
    }
}
