//! A concurrency limit shared fairly between tenants, with a bounded queue.
//!
//! Free capacity goes to whichever tenant comes first, except for a few slots that are reserved for
//! active tenants; otherwise the long requests of one tenant could occupy all of it. The queue is
//! ordered by tenant (lowest load relative to its share first), then first attempts before repeats,
//! then by descending priority weight, then by deadline. If it is full, the last request in this
//! order is rejected, which is not necessarily the one that arrived last.

mod active_tenants;
mod config;
mod rank;
mod request;
mod tenant;

pub use config::FairQueueConfig;
pub use request::{
    Enqueued, QueueDecision, QueueEntry, QueueTicket, QueueTransitions, QueueUsage, RejectReason,
    RejectedTicket,
};

use active_tenants::{ActiveTenants, Dequeued};
use mintshelf_time::Nanos;
use rank::Rank;
use std::collections::HashMap;
use std::rc::Rc;

/// The position of a waiting request in the queue.
#[derive(Debug, Clone)]
struct QueuePosition {
    tenant: Rc<str>,
    rank: Rank,
}

/// The concurrency limit and the queue of one cluster.
#[derive(Debug, Default)]
pub struct FairQueue {
    config: FairQueueConfig,
    tenants: ActiveTenants,
    waiting: HashMap<QueueTicket, QueuePosition>,
    last_ticket: QueueTicket,
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(config: FairQueueConfig) -> Self {
        FairQueue { config, ..FairQueue::default() }
    }

    /// Returns the number of requests in flight and waiting.
    #[must_use]
    pub fn usage(&self) -> QueueUsage {
        QueueUsage { in_flight: self.tenants.in_flight() as usize, queued: self.waiting.len() }
    }

    /// Changes the configuration. Requests in flight still count; waiting requests keep their
    /// positions unless the queue is now too short for them.
    #[must_use = "requests that wait never learn that they are admitted or rejected"]
    pub fn configure(&mut self, now: Nanos, config: FairQueueConfig) -> QueueTransitions {
        self.config = config;
        self.tenants.divide_reservations(&self.config);
        let mut transitions = QueueTransitions::default();
        while self.waiting.len() > self.config.max_queued as usize {
            let most_loaded = self.tenants.most_loaded_waiting();
            let Some(ticket) = most_loaded.and_then(|tenant| self.pop_last(&tenant)) else { break };
            transitions.reject(ticket, RejectReason::QueueFull);
        }
        self.admit_waiting(now, &mut transitions);
        transitions
    }

    /// Submits a request. If the queue is full, a waiting request that ranks lower may be rejected
    /// in favor of the new one.
    pub fn enqueue(&mut self, now: Nanos, entry: QueueEntry) -> Enqueued {
        let mut transitions = QueueTransitions::default();
        let decision = self.decide(now, entry, &mut transitions);
        Enqueued { decision, transitions }
    }

    fn decide(
        &mut self,
        now: Nanos,
        entry: QueueEntry,
        transitions: &mut QueueTransitions,
    ) -> QueueDecision {
        self.tenants.record_activity(now, &entry.tenant, &self.config);
        if now.saturating_add(entry.expected_latency) >= entry.deadline {
            return QueueDecision::Reject(RejectReason::DeadlineUnreachable);
        }
        if self.tenants.can_admit_immediately(&entry.tenant, &self.config) {
            self.tenants.begin(&entry.tenant);
            return QueueDecision::Admit;
        }
        self.last_ticket = self.last_ticket.next();
        let ticket = self.last_ticket;
        let rank = Rank::new(&entry, ticket);
        if self.waiting.len() >= self.config.max_queued as usize {
            match self.pop_lower_ranked(&entry.tenant, rank) {
                Some(displaced) => transitions.reject(displaced, RejectReason::QueueFull),
                None => return QueueDecision::Reject(RejectReason::QueueFull),
            }
        }
        self.tenants.push(&entry.tenant, rank, entry.expected_latency);
        self.waiting.insert(ticket, QueuePosition { tenant: entry.tenant, rank });
        QueueDecision::Wait(ticket)
    }

    /// Ends an admitted request of a tenant. Returns the waiting requests that are admitted or
    /// rejected as a result.
    #[must_use = "requests that wait never learn that they are admitted or rejected"]
    pub fn complete(&mut self, now: Nanos, tenant: &Rc<str>) -> QueueTransitions {
        self.tenants.end(tenant);
        let mut transitions = QueueTransitions::default();
        self.admit_waiting(now, &mut transitions);
        self.tenants.sweep(now, &self.config);
        transitions
    }

    /// Removes a waiting request from the queue.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        let Some(position) = self.waiting.remove(&ticket) else { return };
        self.tenants.remove(&position.tenant, &position.rank);
    }

    /// Removes a request that ranks lower than this one from the full queue; `None` if all others
    /// take precedence.
    fn pop_lower_ranked(&mut self, tenant: &Rc<str>, rank: Rank) -> Option<QueueTicket> {
        let most_loaded = self.tenants.most_loaded_waiting()?;
        if most_loaded != *tenant {
            let relative_load =
                |load: u32, tenant: &str| f64::from(load) / self.config.share(tenant);
            let own_load = relative_load(self.tenants.load(tenant) + 1, tenant);
            if own_load <= relative_load(self.tenants.load(&most_loaded), &most_loaded) {
                return self.pop_last(&most_loaded);
            }
        }
        if rank < *self.tenants.last_rank(tenant)? {
            self.pop_last(tenant)
        } else {
            None
        }
    }

    fn pop_last(&mut self, tenant: &str) -> Option<QueueTicket> {
        let rank = self.tenants.pop_last(tenant)?;
        self.waiting.remove(&rank.ticket);
        Some(rank.ticket)
    }

    /// Admits waiting requests as far as the concurrency limit allows.
    fn admit_waiting(&mut self, now: Nanos, transitions: &mut QueueTransitions) {
        while self.tenants.in_flight() < self.config.max_concurrency && !self.waiting.is_empty() {
            let Some(tenant) = self.tenants.next_to_admit(&self.config) else { return };
            let Some(first) = self.tenants.pop_first(&tenant) else { return };
            let Dequeued { rank, expected_latency } = first;
            self.waiting.remove(&rank.ticket);
            if now.saturating_add(expected_latency) >= rank.deadline {
                transitions.reject(rank.ticket, RejectReason::DeadlineUnreachable);
            } else {
                self.tenants.begin(&tenant);
                transitions.admitted.push(rank.ticket);
            }
        }
    }
}
