//! All clients' connections, and which of them is evicted when there is no capacity for others.

use super::connection::{Client, EvictionPriority};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// All clients' connections, oldest first.
#[derive(Debug, Default)]
pub struct Clients {
    by_number: RefCell<BTreeMap<u64, Rc<Client>>>,
    last_number: Cell<u64>,
}

impl Clients {
    /// Adds a connection; returns its number.
    pub fn add(&self, client: Rc<Client>) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.by_number.borrow_mut().insert(self.last_number.get(), client);
        self.last_number.get()
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, number: u64) {
        self.by_number.borrow_mut().remove(&number);
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.by_number.borrow().is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_number.borrow().len()
    }

    /// Evicts one connection, if one may be; whether there was one. Those whose last response is
    /// out come first, then those that have sent nothing, then idle ones, then those whose first
    /// request has begun; among them the one that is so for longest, and for at least `min_age`.
    ///
    /// Without it, clients that connect and send nothing could shut out all others. A connection
    /// is not evicted while a request waits to be read on it.
    pub fn evict_one(&self, min_age: Duration) -> bool {
        let clients = self.by_number.borrow();
        let now = Instant::now();
        let candidates = clients.iter().filter_map(|(number, client)| {
            EvictionCandidate::new(*number, client, now, min_age).map(Reverse)
        });
        let mut candidates: BinaryHeap<_> = candidates.collect();
        // In this order, as each check is a system call.
        while let Some(Reverse(candidate)) = candidates.pop() {
            let client = clients.get(&candidate.number);
            if let Some(client) = client.filter(|client| candidate.may_be_closed(client)) {
                client.eviction.cancel();
                return true;
            }
        }
        false
    }
}

/// A connection that may be evicted; the first one in their order is evicted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    priority: EvictionPriority,
    /// When its phase began.
    since: Instant,
    number: u64,
}

impl EvictionCandidate {
    fn new(number: u64, client: &Client, now: Instant, min_age: Duration) -> Option<Self> {
        let priority = client.eviction_priority()?;
        let since = client.phase_since();
        let is_old = now.saturating_duration_since(since) >= min_age;
        let is_candidate = is_old && !client.eviction.is_cancelled();
        is_candidate.then_some(EvictionCandidate { priority, since, number })
    }

    fn may_be_closed(&self, client: &Client) -> bool {
        self.priority == EvictionPriority::Closing || !client.has_pending()
    }
}
