//! When the leader proposes that a lease's span is over.
//!
//! Its clock counts from after the renewal was agreed and applied here, plus the clocks' error.
//! The holder counted from before it asked, less that error: whatever the messages took, its
//! count ends first (Gray and Cheriton, "Leases", SOSP 1989; Raft's thesis, 6.4.1, on clocks).

use crate::fence::Token;
use crate::lease::{Command, Leases, Owner};
use crate::timing::{ClockError, Nanos};
use std::collections::BTreeMap;

/// A proposal that has not been applied by then is made again: it may have been lost with a
/// message.
pub const PROPOSE_AGAIN: Nanos = crate::timing::SECOND;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Count {
    /// Grant and renewal, or the asks of a waiter.
    which: (Token, u64),
    /// When it is to be proposed, first or again.
    due: Nanos,
}

/// Counts the spans of all leases while this voter leads.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Grantor {
    error: ClockError,
    leads: bool,
    held: BTreeMap<String, Count>,
    waiters: BTreeMap<(String, Owner), Count>,
}

impl Grantor {
    /// Leads nothing yet.
    pub fn new(error: ClockError) -> Self {
        Grantor { error, ..Grantor::default() }
    }

    /// This voter leads from now on. Each span runs anew: when the last renewal was agreed, only
    /// the former leader's clock knew.
    pub fn lead(&mut self, now: Nanos, leases: &Leases) {
        (self.leads, self.held, self.waiters) = (true, BTreeMap::new(), BTreeMap::new());
        let names: Vec<String> = leases.iter().map(|(name, _)| name.to_owned()).collect();
        names.iter().for_each(|name| self.applied(now, leases, name));
    }

    /// This voter does not lead any more.
    pub fn follow(&mut self) {
        *self = Grantor::new(self.error);
    }

    /// Whether it counts.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// A command about a lease has been applied.
    pub fn applied(&mut self, now: Nanos, leases: &Leases, name: &str) {
        if !self.leads {
            return;
        }
        let lease = leases.get(name);
        match lease.and_then(|lease| lease.held.as_ref()) {
            None => {
                self.held.remove(name);
            }
            Some(held) => {
                let which = (held.token, held.renewal);
                if self.held.get(name).is_none_or(|count| count.which != which) {
                    let due = now.saturating_add(self.error.grantors(held.span));
                    self.held.insert(name.to_owned(), Count { which, due });
                }
            }
        }
        let queue = lease.map(|lease| &lease.queue);
        self.waiters.retain(|(of, owner), _| {
            of != name || queue.is_some_and(|queue| queue.iter().any(|w| w.owner == *owner))
        });
        for waiter in queue.into_iter().flatten() {
            let (key, which) = ((name.to_owned(), waiter.owner.clone()), (0, waiter.asks));
            if self.waiters.get(&key).is_none_or(|count| count.which != which) {
                // Who has not asked for a span has gone.
                let due = now.saturating_add(self.error.grantors(waiter.span));
                self.waiters.insert(key, Count { which, due });
            }
        }
    }

    /// What is to be proposed now.
    pub fn due(&mut self, now: Nanos) -> Vec<Command> {
        let mut due = Vec::new();
        for (lease, count) in self.held.iter_mut().filter(|(_, count)| count.due <= now) {
            count.due = now.saturating_add(PROPOSE_AGAIN);
            let (token, renewal) = count.which;
            due.push(Command::Expire { lease: lease.clone(), token, renewal });
        }
        for ((lease, owner), count) in self.waiters.iter_mut().filter(|(_, count)| count.due <= now)
        {
            count.due = now.saturating_add(PROPOSE_AGAIN);
            let (lease, owner, asks) = (lease.clone(), owner.clone(), count.which.1);
            due.push(Command::Forget { lease, owner, asks });
        }
        due
    }

    /// When [`Grantor::due`] has something next.
    pub fn next(&self) -> Option<Nanos> {
        self.held.values().chain(self.waiters.values()).map(|count| count.due).min()
    }
}
