//! All clients' connections, and which of them makes room for others.

use super::connection::{Client, EvictionPriority};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
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
    /// Adds a connection; its number.
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

    /// Closes a connection to make room: of those whose last response is out, else
    /// of those that have sent nothing, else of the idle ones, else of those whose
    /// first request has begun, the one that is so for longest, if it has been for `min_age`.
    /// Whether there was one.
    ///
    /// Else a crowd that connects and sends nothing would shut out all others. One whose request
    /// waits to be read is not closed for it.
    pub fn evict_one(&self, min_age: Duration) -> bool {
        let clients = self.by_number.borrow();
        let now = Instant::now();
        let candidate = |client| EvictionCandidate::new(client, now, min_age);
        let mut candidates: Vec<_> = clients.values().filter_map(candidate).collect();
        candidates.sort_unstable_by_key(|candidate| (candidate.priority, candidate.since));
        // In this order, as each look asks the kernel.
        let Some(evicted) = candidates.iter().find(|candidate| candidate.may_be_closed()) else {
            return false;
        };
        evicted.client.eviction.cancel();
        true
    }
}

/// A connection that may make room.
struct EvictionCandidate<'a> {
    client: &'a Client,
    priority: EvictionPriority,
    since: Instant,
}

impl<'a> EvictionCandidate<'a> {
    fn new(client: &'a Rc<Client>, now: Instant, min_age: Duration) -> Option<Self> {
        let priority = client.eviction_priority()?;
        let since = client.phase_since();
        let is_old = now.saturating_duration_since(since) >= min_age;
        let is_candidate = is_old && !client.eviction.is_cancelled();
        is_candidate.then_some(EvictionCandidate { client, priority, since })
    }

    fn may_be_closed(&self) -> bool {
        self.priority == EvictionPriority::Closing || !self.client.has_pending()
    }
}
