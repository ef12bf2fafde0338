//! The tasks that wait in the queues of clusters, and the results of their waits.

use mintshelf_admission::queue::{QueueTicket, QueueTransitions, RejectReason, RejectedTicket};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// Identifies a request in the queue of a cluster.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct WaiterKey {
    pub(super) cluster: Rc<str>,
    pub(super) ticket: QueueTicket,
}

/// The result of a wait: a slot at the cluster, or a rejection.
pub(super) type WaitResult = Result<(), RejectReason>;

/// A task that waits in the queue of a cluster.
#[derive(Default)]
struct Waiter {
    result: Option<WaitResult>,
    waker: Option<Waker>,
}

/// The state of a task's wait for a slot at the time when the wait was removed.
pub(super) enum RemovedWait {
    /// The wait had no result yet: the request was still in the queue.
    Unresolved,
    /// The wait had this result, which its task had not taken yet.
    Resolved(WaitResult),
}

/// All waiting tasks, by cluster and ticket.
#[derive(Default)]
pub(super) struct QueueWaiters(RefCell<HashMap<WaiterKey, Waiter>>);

impl QueueWaiters {
    /// Registers a task that waits for a slot, before its request has a result.
    pub(super) fn insert(&self, key: WaiterKey) {
        self.0.borrow_mut().insert(key, Waiter::default());
    }

    /// Removes a wait. Returns `None` if its task has already taken the result.
    pub(super) fn remove(&self, key: &WaiterKey) -> Option<RemovedWait> {
        let waiter = self.0.borrow_mut().remove(key)?;
        Some(waiter.result.map_or(RemovedWait::Unresolved, RemovedWait::Resolved))
    }

    /// Polls the result of a wait, and removes the wait with it.
    pub(super) fn poll_result(&self, key: &WaiterKey, cx: &Context<'_>) -> Poll<WaitResult> {
        let mut waiters = self.0.borrow_mut();
        let waiter = waiters.entry(key.clone()).or_default();
        if let Some(result) = waiter.result.take() {
            waiters.remove(key);
            return Poll::Ready(result);
        }
        waiter.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Delivers results to the tasks that wait in the queue of a cluster.
    pub(super) fn notify(&self, cluster: &Rc<str>, transitions: QueueTransitions) {
        for ticket in transitions.admitted {
            self.resolve(cluster, ticket, Ok(()));
        }
        for RejectedTicket { ticket, reason } in transitions.rejected {
            self.resolve(cluster, ticket, Err(reason));
        }
    }

    fn resolve(&self, cluster: &Rc<str>, ticket: QueueTicket, result: WaitResult) {
        let mut waiters = self.0.borrow_mut();
        let waiter = waiters.entry(WaiterKey { cluster: cluster.clone(), ticket }).or_default();
        waiter.result = Some(result);
        if let Some(waker) = waiter.waker.take() {
            waker.wake();
        }
    }
}
