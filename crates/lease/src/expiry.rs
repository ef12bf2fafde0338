//! Decides when the leader proposes that a lease has expired.
//!
//! The leader measures the lease duration plus the clock error, from after the renewal was
//! committed and applied. The holder measures the duration minus that error, from before it sent
//! its request. So the holder's deadline passes first, whatever the message delays (Gray and
//! Cheriton, "Leases", SOSP 1989; Ongaro's thesis on Raft, 6.4.1, on clocks).

use crate::command::{Command, Owner};
use crate::fence::Token;
use crate::lease::{LeaseHolder, Leases, Waiter};
use crate::timing::ClockError;
use mintshelf_time::{Nanos, SECOND};
use std::collections::{BTreeMap, VecDeque};

/// A proposal that has not been applied within this time is proposed again, since a lost message
/// may have dropped it.
pub const PROPOSAL_RETRY_INTERVAL: Nanos = SECOND;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HolderDeadline {
    token: Token,
    renewals: u64,
    /// Time on the leader's clock at which the expiry is proposed, for the first time or again.
    due_at: Nanos,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct WaiterDeadline {
    requests: u64,
    /// Time on the leader's clock at which the expiry is proposed, for the first time or again.
    due_at: Nanos,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct WaiterKey {
    lease: String,
    owner: Owner,
}

/// Expiry deadlines of all holders and waiters, tracked while this replica is the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct LeaseExpiry {
    clock_error: ClockError,
    is_leader: bool,
    holders: BTreeMap<String, HolderDeadline>,
    waiters: BTreeMap<WaiterKey, WaiterDeadline>,
}

impl LeaseExpiry {
    /// Creates the state of a replica that is not the leader, without deadlines.
    #[must_use]
    pub fn new(clock_error: ClockError) -> Self {
        LeaseExpiry { clock_error, ..LeaseExpiry::default() }
    }

    /// Starts tracking deadlines when this replica becomes the leader. All durations are measured
    /// from `now`, because the time of the last renewal is known on the former leader's clock only.
    pub fn become_leader(&mut self, now: Nanos, leases: &Leases) {
        self.is_leader = true;
        self.holders.clear();
        self.waiters.clear();
        for (name, _) in leases.iter() {
            self.command_applied(now, leases, name);
        }
    }

    /// Drops all deadlines when this replica is no longer the leader.
    pub fn step_down(&mut self) {
        *self = LeaseExpiry::new(self.clock_error);
    }

    /// Returns whether this replica is the leader and tracks deadlines.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Updates the deadlines of the named lease after a command for it was applied.
    pub fn command_applied(&mut self, now: Nanos, leases: &Leases, name: &str) {
        if !self.is_leader {
            return;
        }
        let lease = leases.get(name);
        self.update_holder(now, name, lease.and_then(|lease| lease.holder.as_ref()));
        self.update_waiters(now, name, lease.map(|lease| &lease.queue));
    }

    fn update_holder(&mut self, now: Nanos, name: &str, holder: Option<&LeaseHolder>) {
        let Some(holder) = holder else {
            self.holders.remove(name);
            return;
        };
        let LeaseHolder { token, renewals, duration, .. } = *holder;
        let is_same =
            |deadline: &HolderDeadline| deadline.token == token && deadline.renewals == renewals;
        if !self.holders.get(name).is_some_and(is_same) {
            let due_at = now.saturating_add(self.clock_error.expiry_duration(duration));
            self.holders.insert(name.to_owned(), HolderDeadline { token, renewals, due_at });
        }
    }

    fn update_waiters(&mut self, now: Nanos, name: &str, queue: Option<&VecDeque<Waiter>>) {
        self.waiters.retain(|key, _| {
            let is_waiter = |waiter: &Waiter| waiter.owner == key.owner;
            key.lease != name || queue.is_some_and(|queue| queue.iter().any(is_waiter))
        });
        for waiter in queue.into_iter().flatten() {
            let key = WaiterKey { lease: name.to_owned(), owner: waiter.owner.clone() };
            let requests = waiter.requests;
            if self.waiters.get(&key).is_none_or(|deadline| deadline.requests != requests) {
                // A waiter that does not repeat its request for a lease duration is removed.
                let due_at = now.saturating_add(self.clock_error.expiry_duration(waiter.duration));
                self.waiters.insert(key, WaiterDeadline { requests, due_at });
            }
        }
    }

    /// Returns the expiry commands that the leader must propose at `now`. Each is returned again
    /// after [`PROPOSAL_RETRY_INTERVAL`] unless it has been applied by then.
    pub fn due_commands(&mut self, now: Nanos) -> Vec<Command> {
        let retry_at = now.saturating_add(PROPOSAL_RETRY_INTERVAL);
        let mut commands = Vec::new();
        for (lease, deadline) in self.holders.iter_mut().filter(|(_, entry)| entry.due_at <= now) {
            deadline.due_at = retry_at;
            let HolderDeadline { token, renewals, .. } = *deadline;
            commands.push(Command::Expire { lease: lease.clone(), token, renewals });
        }
        for (key, deadline) in self.waiters.iter_mut().filter(|(_, entry)| entry.due_at <= now) {
            deadline.due_at = retry_at;
            let WaiterKey { lease, owner } = key.clone();
            commands.push(Command::ExpireWaiter { lease, owner, requests: deadline.requests });
        }
        commands
    }

    /// Returns the time at which [`LeaseExpiry::due_commands`] next returns a command; `None`
    /// without deadlines.
    #[must_use]
    pub fn next_due_at(&self) -> Option<Nanos> {
        let holders = self.holders.values().map(|deadline| deadline.due_at);
        let waiters = self.waiters.values().map(|deadline| deadline.due_at);
        holders.chain(waiters).min()
    }
}
