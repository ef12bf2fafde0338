//! Waits for memory, in the order of how far a request has got.
//!
//! Memory is admitted before bytes are read. Each later stage of a request may use more of the
//! memory than the one before, so that requests which have begun can always be completed.

use super::MemoryBudget;
use crate::budget::fraction_of;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval at which it is checked whether memory was freed, while something waits for memory.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Fraction of the capacity that requests and their connections may use whatever else holds memory,
/// so that some are served even then.
const GUARANTEED_FRACTION: f64 = 0.125;
/// Fraction of the available memory above which the process economizes: idle connections give up
/// their buffers, and reads are short.
const LOW_FRACTION: f64 = 0.2;

/// The next step of a request that needs memory. Later ones may use more of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    /// Reads more of a request that has begun to arrive, or admits its body.
    RequestGrowth,
    /// Reads the beginning of a request, or a body that was admitted.
    RequestStart,
    /// Sends a complete request to a server.
    Attempt,
    /// Reads the head of a response.
    ResponseHead,
    /// Admits the body of a response.
    ResponseBody,
    /// Reads the body of a response, which was admitted.
    ResponseRead,
}

impl MemoryUse {
    /// All uses, in ascending order.
    const ALL: [MemoryUse; 6] = [
        MemoryUse::RequestGrowth,
        MemoryUse::RequestStart,
        MemoryUse::Attempt,
        MemoryUse::ResponseHead,
        MemoryUse::ResponseBody,
        MemoryUse::ResponseRead,
    ];

    /// Returns the fraction of the available memory up to which this use is admitted.
    fn admitted_fraction(self) -> f64 {
        match self {
            MemoryUse::RequestGrowth => 0.4,
            MemoryUse::RequestStart => 0.55,
            MemoryUse::Attempt => 0.7,
            MemoryUse::ResponseHead => 0.78,
            MemoryUse::ResponseBody => 0.92,
            MemoryUse::ResponseRead => 1.0,
        }
    }
}

type ShortageCallback = Box<dyn Fn()>;

/// One that waits for memory.
struct Waiter {
    bytes: usize,
    waker: Waker,
}

/// Those who wait for memory, by use and in order of arrival.
#[derive(Default)]
pub(super) struct WaitQueues {
    waiting: RefCell<[BTreeMap<u64, Waiter>; MemoryUse::ALL.len()]>,
    last_ticket: Cell<u64>,
    /// Whether the task runs that checks whether memory was freed.
    is_checking: Cell<bool>,
    on_shortage: RefCell<Vec<ShortageCallback>>,
}

impl WaitQueues {
    fn is_empty(&self) -> bool {
        self.waiting.borrow().iter().all(BTreeMap::is_empty)
    }

    /// Returns whether no other waits longer for this use.
    fn is_first(&self, memory_use: MemoryUse, ticket: u64) -> bool {
        let waiting = self.waiting.borrow();
        waiting[memory_use as usize].keys().next().is_none_or(|first| *first >= ticket)
    }

    fn enter(&self, memory_use: MemoryUse, ticket: u64, waiter: Waiter) {
        self.waiting.borrow_mut()[memory_use as usize].insert(ticket, waiter);
    }

    /// Removes a waiter, and wakes the next one.
    fn leave(&self, memory_use: MemoryUse, ticket: u64) {
        let mut waiting = self.waiting.borrow_mut();
        let queue = &mut waiting[memory_use as usize];
        queue.remove(&ticket);
        if let Some(first) = queue.values().next() {
            first.waker.wake_by_ref();
        }
    }

    /// Wakes the first waiter of each use for which there is room again. Returns whether there is
    /// none for some of them.
    fn wake_admitted(&self, budget: &MemoryBudget) -> bool {
        let waiting = self.waiting.borrow();
        let mut is_short = false;
        for memory_use in MemoryUse::ALL {
            let Some(first) = waiting[memory_use as usize].values().next() else { continue };
            if budget.has_room(memory_use, first.bytes) {
                first.waker.wake_by_ref();
            } else {
                is_short = true;
            }
        }
        is_short
    }
}

impl MemoryBudget {
    /// Returns whether there is room for `bytes` more bytes of this use.
    #[must_use]
    pub fn has_room(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        self.is_below_threshold(memory_use, bytes) || self.is_guaranteed(bytes)
    }

    /// Returns whether `bytes` more bytes leave what is allocated and reserved below the threshold of
    /// their use.
    pub(super) fn is_below_threshold(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        let threshold = self.threshold(memory_use.admitted_fraction());
        self.allocated().saturating_add(self.reserved()).saturating_add(bytes) <= threshold
    }

    /// Returns whether requests may use `bytes` more bytes whatever else holds memory.
    fn is_guaranteed(&self, bytes: usize) -> bool {
        let guaranteed = fraction_of(self.capacity, GUARANTEED_FRACTION);
        self.claimed().saturating_add(bytes) <= guaranteed
    }

    /// Admits `bytes` more bytes of this use if there is room for them.
    pub(super) fn try_admit(&self, memory_use: MemoryUse, bytes: usize) -> bool {
        if self.is_below_threshold(memory_use, bytes) {
            return true;
        }
        let is_admitted = self.is_guaranteed(bytes);
        if is_admitted {
            self.admissions.count_guaranteed();
        }
        is_admitted
    }

    /// Returns whether so much memory is used that the process economizes.
    #[must_use]
    pub fn is_low(&self) -> bool {
        self.allocated() > self.threshold(LOW_FRACTION)
    }

    /// Returns the allocated bytes at which a fraction of the available memory is used: that which
    /// neither the start of the process nor endpoint lists hold.
    fn threshold(&self, fraction: f64) -> usize {
        let available = self.capacity.saturating_sub(self.resident());
        self.resident().saturating_add(fraction_of(available, fraction))
    }

    /// Calls `callback` at short intervals while there is no room for something that waits.
    pub fn on_shortage(&self, callback: impl Fn() + 'static) {
        self.queues.on_shortage.borrow_mut().push(Box::new(callback));
    }

    /// Waits until there is room for `bytes` more bytes. What is admitted must be allocated at once:
    /// otherwise use [`MemoryAccount::reserve`](super::MemoryAccount::reserve).
    pub fn admit(self: &Rc<Self>, memory_use: MemoryUse, bytes: usize) -> MemoryWait {
        MemoryWait { budget: self.clone(), memory_use, bytes, ticket: None }
    }

    /// Checks at intervals whether memory was freed, until nothing waits.
    fn start_checking(self: &Rc<Self>) {
        if self.queues.is_checking.replace(true) {
            return;
        }
        let budget = Rc::downgrade(self);
        spawn_local(async move {
            while MemoryBudget::check_waiting(&budget) {
                sleep(CHECK_INTERVAL).await;
            }
        });
    }

    /// Wakes those for which there is room; returns false if nothing waits.
    fn check_waiting(budget: &Weak<Self>) -> bool {
        let Some(budget) = budget.upgrade() else { return false };
        if budget.queues.is_empty() {
            budget.queues.is_checking.set(false);
            return false;
        }
        if budget.queues.wake_admitted(&budget) {
            budget.queues.on_shortage.borrow().iter().for_each(|callback| callback());
        }
        true
    }
}

/// A wait for memory; dropping it gives up the place in the queue.
#[must_use = "the memory is admitted when this is awaited"]
pub struct MemoryWait {
    budget: Rc<MemoryBudget>,
    memory_use: MemoryUse,
    bytes: usize,
    /// The place in the queue; `None` before there is a wait, and after it.
    ticket: Option<u64>,
}

impl Future for MemoryWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let queues = &self.budget.queues;
        let ticket = self.ticket.unwrap_or(u64::MAX);
        let is_first = queues.is_first(self.memory_use, ticket);
        if is_first && self.budget.try_admit(self.memory_use, self.bytes) {
            if let Some(ticket) = self.ticket {
                queues.leave(self.memory_use, ticket);
            }
            self.ticket = None;
            return Poll::Ready(());
        }
        let ticket = self.ticket.unwrap_or_else(|| {
            self.budget.admissions.count_wait();
            queues.last_ticket.set(queues.last_ticket.get() + 1);
            queues.last_ticket.get()
        });
        let waiter = Waiter { bytes: self.bytes, waker: cx.waker().clone() };
        queues.enter(self.memory_use, ticket, waiter);
        self.ticket = Some(ticket);
        self.budget.start_checking();
        Poll::Pending
    }
}

impl Drop for MemoryWait {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.budget.queues.leave(self.memory_use, ticket);
        }
    }
}
