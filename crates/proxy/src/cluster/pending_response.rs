//! Where a client's task waits for its answer, and carries the attempts meanwhile: one
//! task for both saves a hand-over between tasks, twice a request.

use crate::client::connection::Client;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// An attempt on its way.
pub type Run = Pin<Box<dyn Future<Output = ()>>>;

/// A place for one answer, and for the attempts that are to begin.
pub struct PendingResponse<R> {
    reply: Cell<Option<R>>,
    starts: RefCell<Vec<Run>>,
    waker: Cell<Option<Waker>>,
}

impl<R> Default for PendingResponse<R> {
    fn default() -> Self {
        PendingResponse {
            reply: Cell::new(None),
            starts: RefCell::default(),
            waker: Cell::new(None),
        }
    }
}

impl<R> PendingResponse<R> {
    /// Gives the answer.
    pub fn reply(&self, reply: R) {
        self.reply.set(Some(reply));
        self.wake();
    }

    /// Has the waiting task carry an attempt.
    pub fn start(&self, run: Run) {
        self.starts.borrow_mut().push(run);
        self.wake();
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The task that sits on a [`PendingResponse`].
pub struct AttemptSet<R> {
    seat: Rc<PendingResponse<R>>,
    running: Vec<Run>,
}

impl<R> AttemptSet<R> {
    /// Sits down.
    pub fn new(seat: Rc<PendingResponse<R>>) -> Self {
        AttemptSet { seat, running: Vec::new() }
    }

    /// Carries the attempts until the answer is there.
    pub async fn answer(&mut self) -> R {
        poll_fn(|cx| self.poll(cx)).await
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<R> {
        loop {
            self.running.append(&mut self.seat.starts.borrow_mut());
            // Danger: an attempt that ends may start the next one.
            self.running.retain_mut(|run| run.as_mut().poll(cx).is_pending());
            if let Some(reply) = self.seat.reply.take() {
                return Poll::Ready(reply);
            }
            if self.seat.starts.borrow().is_empty() {
                self.seat.waker.set(Some(cx.waker().clone()));
                return Poll::Pending;
            }
        }
    }

    /// Lets the attempts that have not ended go on without a client: each still has to
    /// tell how it ended.
    pub fn leave(&mut self) {
        self.running.append(&mut self.seat.starts.borrow_mut());
        for run in self.running.drain(..) {
            spawn_local(run);
        }
    }
}

/// Tells an attempt to stop, and tells of it when it began.
#[derive(Default)]
pub struct AttemptControl {
    cancelled: Cell<bool>,
    /// Its client is known to have left.
    left: Cell<bool>,
    /// Who waits for its answer, if that is a connection with a request open.
    client: Option<Rc<Client>>,
    waker: Cell<Option<Waker>>,
    connected: Cell<Option<Instant>>,
}

impl AttemptControl {
    /// Of an attempt for a client.
    pub fn new(client: Option<Rc<Client>>) -> Self {
        AttemptControl { client, ..AttemptControl::default() }
    }

    /// Its client has left: what has not been sent yet is not to be.
    pub fn leave(&self) {
        self.left.set(true);
        self.wake();
    }

    /// Whether its client has left.
    pub fn is_left(&self) -> bool {
        self.left.get() || self.client.as_ref().is_some_and(|client| client.has_left())
    }

    /// Waits until its client is known to have left; in the task that waits for
    /// [`AttemptControl::cancelled`].
    pub async fn left(&self) {
        poll_fn(|cx| self.poll_for(&self.left, cx)).await
    }

    /// It has a connection.
    pub fn connected(&self) {
        self.connected.set(Some(Instant::now()));
    }

    /// When it had a connection, if it has one.
    pub fn connected_at(&self) -> Option<Instant> {
        self.connected.get()
    }

    /// Stops it.
    pub fn cancel(&self) {
        self.cancelled.set(true);
        self.wake();
    }

    /// Waits until it is to stop; for one waiting task.
    pub async fn cancelled(&self) {
        poll_fn(|cx| self.poll_for(&self.cancelled, cx)).await
    }

    fn poll_for(&self, flag: &Cell<bool>, cx: &mut Context<'_>) -> Poll<()> {
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

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::task::{yield_now, LocalSet};

    fn run(test: impl Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        LocalSet::new().block_on(&runtime, test);
    }

    #[test]
    fn an_attempt_that_ends_starts_the_next_and_that_one_answers() {
        run(async {
            let seat = Rc::new(PendingResponse::default());
            let first = seat.clone();
            seat.start(Box::pin(async move {
                yield_now().await;
                let second = first.clone();
                first.start(Box::pin(async move {
                    yield_now().await;
                    second.reply(7);
                }));
            }));
            assert_eq!(AttemptSet::new(seat).answer().await, 7);
        });
    }

    #[test]
    fn an_attempt_begun_from_elsewhere_wakes_the_client() {
        run(async {
            let seat = Rc::new(PendingResponse::default());
            let (starter, answerer) = (seat.clone(), seat.clone());
            spawn_local(async move {
                yield_now().await;
                starter.start(Box::pin(async move { answerer.reply("here") }));
            });
            assert_eq!(AttemptSet::new(seat).answer().await, "here");
        });
    }

    #[test]
    fn attempts_go_on_when_the_client_leaves_and_hear_that_they_are_to_stop() {
        run(async {
            let seat: Rc<PendingResponse<()>> = Rc::default();
            let (cancel, ended) = (Rc::new(AttemptControl::default()), Rc::new(Cell::new(0)));
            for _ in 0..2 {
                let (cancel, ended) = (cancel.clone(), ended.clone());
                seat.start(Box::pin(async move {
                    if ended.get() == 0 {
                        cancel.cancelled().await;
                    }
                    ended.set(ended.get() + 1);
                }));
            }
            let mut sitting = AttemptSet::new(seat);
            sitting.leave();
            cancel.cancel();
            while ended.get() < 2 {
                yield_now().await;
            }
        });
    }
}
