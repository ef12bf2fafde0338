//! All client connections, and the choice of those to evict when there is no capacity for others.

use super::connection::{Client, Phase};
use super::phase::EvictionPriority;
use crate::memory::MemoryBudget;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum time since its first byte after which an unfinished request may be ended because others
/// wait for memory. A client that sends its request at once has sent all of it by then.
const MIN_UNFINISHED_AGE: Duration = Duration::from_millis(250);
/// Maximum number of connections of one kind that are closed at once because others wait.
const MAX_EVICTIONS: usize = 8;

/// The memory of one client connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClientMemory {
    pub(crate) phase: Phase,
    /// Bytes of the connection, its request and its response.
    pub(crate) bytes: usize,
}

/// All client connections, oldest first.
#[derive(Debug, Default)]
pub struct Clients {
    by_number: RefCell<BTreeMap<u64, Rc<Client>>>,
    last_number: Cell<u64>,
}

impl Clients {
    /// Adds a connection and returns its number.
    pub fn add(&self, client: Rc<Client>) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.by_number.borrow_mut().insert(self.last_number.get(), client);
        self.last_number.get()
    }

    /// Removes the connection with this number, which has ended.
    pub fn remove(&self, number: u64) {
        self.by_number.borrow_mut().remove(&number);
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.by_number.borrow().is_empty()
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.by_number.borrow().len()
    }

    /// Frees memory of these connections whenever something waits for memory.
    pub fn relieve_shortages(self: &Rc<Self>, memory: &MemoryBudget) {
        let clients = Rc::downgrade(self);
        memory.on_shortage(move || {
            if let Some(clients) = clients.upgrade() {
                clients.relieve_shortage();
            }
        });
    }

    /// Frees the buffers of idle connections, ends the oldest unfinished requests, and closes
    /// connections whose clients do not read their responses, or send further requests before they
    /// have them.
    fn relieve_shortage(&self) {
        let clients = self.by_number.borrow();
        let holding: Vec<_> =
            clients.values().filter(|client| client.memory.holds_buffers()).collect();
        let idle = holding.iter().filter(|client| client.phase() == Phase::Idle);
        idle.for_each(|client| client.buffers_wanted.notify_one());
        let now = Instant::now();
        let age = |client: &Client| now.saturating_duration_since(client.phase_since());
        let unfinished = holding.iter().filter(|client| client.may_be_cut_off());
        let old = unfinished.filter(|client| age(client) >= MIN_UNFINISHED_AGE);
        evict_oldest(old.map(|client| (client.phase_since(), *client)).collect());
        drop(holding);
        // Their further requests hold memory for as long as the first ones take.
        self.close_behind_response(Client::is_pipelining);
        self.evict_stalled();
    }

    /// Closes the connections of clients that have not read their responses for longest.
    fn evict_stalled(&self) {
        let clients = self.by_number.borrow();
        let stalled = clients.values().filter(|client| client.is_response_stalled());
        evict_oldest(stalled.map(|client| (client.phase_since(), client)).collect());
    }

    /// Makes room for another connection. Connections that are being closed are not waited for; if
    /// there are none, an idle one is evicted. If none is idle either, closes those whose clients do
    /// not read their responses, and marks others to be closed behind their next response.
    pub(super) fn make_room(&self) {
        if self.end_closing() || self.evict_one(Duration::ZERO) {
            return;
        }
        self.evict_stalled();
        self.close_behind_response(|_| true);
    }

    /// Evicts all connections whose last response is written; returns whether there were any.
    fn end_closing(&self) -> bool {
        let clients = self.by_number.borrow();
        let closing = clients.values().filter(|client| client.phase() == Phase::Closing);
        let mut has_evicted = false;
        for client in closing.filter(|client| !client.eviction.is_cancelled()) {
            client.eviction.cancel();
            has_evicted = true;
        }
        has_evicted
    }

    /// Marks a few busy connections to be closed behind their next response, those first that were
    /// opened first. A client that sends one request at a time loses nothing.
    fn close_behind_response(&self, applies_to: impl Fn(&Client) -> bool) {
        let clients = self.by_number.borrow();
        let busy = clients.values().filter(|client| client.phase() == Phase::Busy);
        let unmarked = busy.filter(|client| !client.closes_after_response() && applies_to(client));
        unmarked.take(MAX_EVICTIONS).for_each(|client| client.close_after_response());
    }

    /// Returns the memory of each connection, with its phase.
    pub(crate) fn memory_by_phase(&self) -> Vec<ClientMemory> {
        let clients = self.by_number.borrow();
        let usage = clients
            .values()
            .map(|client| ClientMemory { phase: client.phase(), bytes: client.memory.bytes() });
        usage.collect()
    }

    /// Evicts one connection and returns whether there was one to evict. Connections whose last
    /// response is written come first, then those that have sent nothing, then those whose unread body
    /// is discarded, then idle ones, then those that have sent part of their first request. Within each group the one that has been in
    /// its phase for longest is evicted, if that is at least `min_age`.
    ///
    /// Without eviction, clients that connect and send nothing could use up all connections. A
    /// connection with an unread request is not evicted.
    pub fn evict_one(&self, min_age: Duration) -> bool {
        let clients = self.by_number.borrow();
        let now = Instant::now();
        let candidates = clients.iter().filter_map(|(number, client)| {
            EvictionCandidate::new(*number, client, now, min_age).map(Reverse)
        });
        let mut candidates: BinaryHeap<_> = candidates.collect();
        // Checked one by one, as each check is a system call.
        while let Some(Reverse(candidate)) = candidates.pop() {
            let client = clients.get(&candidate.number);
            if let Some(client) = client.filter(|client| !client.has_unread_request()) {
                client.eviction.cancel();
                return true;
            }
        }
        false
    }
}

/// Ends the requests of the connections that have been in their phase for longest.
fn evict_oldest(mut candidates: Vec<(Instant, &Rc<Client>)>) {
    candidates.sort_unstable_by_key(|(since, _)| *since);
    for (_, client) in candidates.into_iter().take(MAX_EVICTIONS) {
        client.forced_eviction.cancel();
    }
}

/// A connection that may be evicted. The smallest candidate is evicted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EvictionCandidate {
    priority: EvictionPriority,
    /// The time when the current phase of the connection began.
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
}
