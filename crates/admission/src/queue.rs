//! A concurrency limit shared fairly between tenants, with a bounded queue.
//!
//! A free place is anybody's, but for a few that are reserved for active tenants which do not use
//! theirs: otherwise the long requests of one tenant could take them all. The queue is ordered by
//! tenant (the least load for its share first), then first attempts before repeats, by descending
//! priority weight, and by deadline. What exceeds the bound is rejected at once, and that is the
//! last in this order, not the one that came last.

use crate::member::{Member, Rank};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A tenant counts as active for this long after its last request.
const ACTIVE_PERIOD: Nanos = SECOND;
/// Inactive tenants are looked for this often.
const SWEEP_INTERVAL: Nanos = 100 * MILLISECOND;
/// Part of a tenant's share of the concurrency that is reserved for it. More would leave places
/// unused while others wait; who waits is served next by share in any case.
const RESERVED_PART: f64 = 0.25;

/// The bounds of a queue and the shares of its tenants.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FairQueueConfig {
    /// Upper bound of the requests in flight.
    pub max_concurrency: u32,
    /// Upper bound of the requests that wait.
    pub max_queued: u32,
    /// Shares of tenants; 1 for one that is not named.
    pub shares: BTreeMap<Rc<str>, f64>,
}

impl FairQueueConfig {
    /// Without bounds.
    pub(crate) fn unlimited() -> Self {
        FairQueueConfig { max_concurrency: u32::MAX, max_queued: u32::MAX, ..Self::default() }
    }
}

/// A request that is offered to a queue.
#[derive(Debug, Clone)]
pub struct QueueEntry {
    /// Its tenant.
    pub tenant: Rc<str>,
    /// Whether its client has sent it before.
    pub is_repeat: bool,
    /// Its priority weight; a negative one counts as 0.
    pub priority_weight: f64,
    /// When its client stops waiting.
    pub deadline: Nanos,
    /// The usual latency of a response; 0 if unknown.
    pub expected_latency: Nanos,
}

/// Identifies a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// What becomes of a request that is offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// It is admitted now, and is to be ended by [`FairQueue::complete`].
    Admit,
    /// It waits until a [`QueueTransitions`] names its ticket, or it is cancelled.
    Wait(QueueTicket),
    /// It is rejected.
    Reject(RejectReason),
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue is full, and the others in it come first.
    QueueFull,
    /// It can't be answered before its deadline.
    TooLate,
}

/// A request that waited and is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectedTicket {
    /// The request.
    pub ticket: QueueTicket,
    /// Why.
    pub reason: RejectReason,
}

/// Which requests wait no longer after a change of a queue.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QueueTransitions {
    /// Admitted; each is to be ended by [`FairQueue::complete`].
    pub admitted: Vec<QueueTicket>,
    /// Rejected.
    pub rejected: Vec<RejectedTicket>,
}

impl QueueTransitions {
    fn reject(&mut self, ticket: QueueTicket, reason: RejectReason) {
        self.rejected.push(RejectedTicket { ticket, reason });
    }
}

/// How many requests a queue knows of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueUsage {
    /// Admitted, and not completed.
    pub in_flight: usize,
    /// Waiting.
    pub queued: usize,
}

/// Where a request waits.
#[derive(Debug, Clone)]
struct QueuePosition {
    tenant: Rc<str>,
    rank: Rank,
}

/// The concurrency limit and the queue of one cluster.
#[derive(Debug, Default)]
pub struct FairQueue {
    config: FairQueueConfig,
    in_flight: u32,
    /// The tenants that are active.
    members: BTreeMap<Rc<str>, Member>,
    /// The sum of the reservations that are not used.
    unused_reservations: u32,
    swept_at: Nanos,
    waiting: HashMap<QueueTicket, QueuePosition>,
    last_ticket: u64,
}

impl FairQueue {
    /// Starts with nothing in flight.
    pub fn new(config: FairQueueConfig) -> Self {
        FairQueue { config, ..FairQueue::default() }
    }

    /// How many requests are in flight, and wait.
    pub fn usage(&self) -> QueueUsage {
        QueueUsage { in_flight: self.in_flight as usize, queued: self.waiting.len() }
    }

    /// Changes the bounds. What is in flight stays and counts; what waits keeps its place unless
    /// the queue is now too short for it.
    #[must_use = "requests that wait never learn that they are admitted or rejected"]
    pub fn configure(&mut self, now: Nanos, config: FairQueueConfig) -> QueueTransitions {
        self.config = config;
        self.divide_reservations();
        let mut transitions = QueueTransitions::default();
        while self.waiting.len() > self.config.max_queued as usize {
            let last = self.busiest_tenant().and_then(|tenant| self.pop_last(&tenant));
            let Some(ticket) = last else { break };
            transitions.reject(ticket, RejectReason::QueueFull);
        }
        self.admit_waiting(now, &mut transitions);
        transitions
    }

    /// Offers a request. Another that waits may have to give way to it.
    #[must_use]
    pub fn enqueue(&mut self, now: Nanos, entry: QueueEntry) -> (QueueDecision, QueueTransitions) {
        let mut transitions = QueueTransitions::default();
        let decision = self.decide(now, entry, &mut transitions);
        (decision, transitions)
    }

    fn decide(
        &mut self,
        now: Nanos,
        entry: QueueEntry,
        transitions: &mut QueueTransitions,
    ) -> QueueDecision {
        self.record_activity(now, &entry.tenant);
        if now.saturating_add(entry.expected_latency) >= entry.deadline {
            return QueueDecision::Reject(RejectReason::TooLate);
        }
        let can_pass = |member: &Member| !member.is_waiting() && self.has_place_for(member);
        if self.members.get(&entry.tenant).is_some_and(can_pass) {
            self.admit(&entry.tenant);
            return QueueDecision::Admit;
        }
        self.last_ticket += 1;
        let ticket = QueueTicket(self.last_ticket);
        let rank = Rank::new(&entry, ticket);
        if self.waiting.len() >= self.config.max_queued as usize {
            match self.displace(&entry.tenant, rank) {
                Some(displaced) => transitions.reject(displaced, RejectReason::QueueFull),
                None => return QueueDecision::Reject(RejectReason::QueueFull),
            }
        }
        let member = self.members.entry(entry.tenant.clone()).or_default();
        member.queue.insert(rank, entry.expected_latency);
        self.waiting.insert(ticket, QueuePosition { tenant: entry.tenant, rank });
        QueueDecision::Wait(ticket)
    }

    /// Ends a request that was admitted.
    #[must_use = "requests that wait never learn that they are admitted or rejected"]
    pub fn complete(&mut self, now: Nanos, tenant: &Rc<str>) -> QueueTransitions {
        if let Some(member) = self.members.get_mut(tenant).filter(|member| member.in_flight > 0) {
            member.in_flight -= 1;
            self.unused_reservations += u32::from(member.in_flight < member.reserved);
            self.in_flight -= 1;
        }
        let mut transitions = QueueTransitions::default();
        self.admit_waiting(now, &mut transitions);
        self.sweep(now);
        transitions
    }

    /// Takes a request that waits out of the queue.
    pub fn cancel(&mut self, ticket: QueueTicket) {
        let Some(position) = self.waiting.remove(&ticket) else { return };
        if let Some(member) = self.members.get_mut(&position.tenant) {
            member.queue.remove(&position.rank);
        }
    }

    fn share(&self, tenant: &str) -> f64 {
        self.config.shares.get(tenant).copied().unwrap_or(1.0).max(f64::MIN_POSITIVE)
    }

    /// Divides what is reserved between the tenants that are active.
    fn divide_reservations(&mut self) {
        let shares: Vec<f64> = self.members.keys().map(|name| self.share(name)).collect();
        let total_share: f64 = shares.iter().sum();
        let reservable = f64::from(self.config.max_concurrency) * RESERVED_PART;
        self.unused_reservations = 0;
        for (member, share) in self.members.values_mut().zip(shares) {
            member.share = share;
            member.reserved = (reservable * share / total_share) as u32;
            self.unused_reservations += member.unused_reservation();
        }
    }

    /// Notes that a tenant is active.
    fn record_activity(&mut self, now: Nanos, tenant: &Rc<str>) {
        let is_known = self.members.contains_key(tenant);
        self.members.entry(tenant.clone()).or_default().last_seen = now;
        let has_divided = self.sweep(now);
        if !is_known && !has_divided {
            self.divide_reservations();
        }
    }

    /// Forgets the tenants that are inactive, if it is time for that; whether it was.
    fn sweep(&mut self, now: Nanos) -> bool {
        if now.saturating_sub(self.swept_at) < SWEEP_INTERVAL {
            return false;
        }
        self.swept_at = now;
        self.members.retain(|_, member| {
            member.load() > 0 || now.saturating_sub(member.last_seen) < ACTIVE_PERIOD
        });
        self.divide_reservations();
        true
    }

    fn has_place_for(&self, member: &Member) -> bool {
        let free = self.config.max_concurrency.saturating_sub(self.in_flight);
        free > 0 && (member.in_flight < member.reserved || free > self.unused_reservations)
    }

    /// The tenant whose load is largest for its share, of those with requests that wait.
    fn busiest_tenant(&self) -> Option<Rc<str>> {
        let relative_load = |member: &Member| f64::from(member.load()) / member.share;
        self.members
            .iter()
            .filter(|(_, member)| member.is_waiting())
            .max_by(|one, other| relative_load(one.1).total_cmp(&relative_load(other.1)))
            .map(|(name, _)| name.clone())
    }

    /// Takes a request that comes after this one out of the full queue; none if there is none.
    fn displace(&mut self, tenant: &Rc<str>, rank: Rank) -> Option<QueueTicket> {
        let busiest_tenant = self.busiest_tenant()?;
        if busiest_tenant != *tenant {
            let load = |name: &str| self.members.get(name).map_or(0, Member::load);
            let own_load = f64::from(load(tenant) + 1) / self.share(tenant);
            if own_load <= f64::from(load(&busiest_tenant)) / self.share(&busiest_tenant) {
                return self.pop_last(&busiest_tenant);
            }
        }
        let (last_own, _) = self.members.get(tenant)?.queue.last_key_value()?;
        (rank < *last_own).then(|| self.pop_last(tenant)).flatten()
    }

    fn pop_last(&mut self, tenant: &Rc<str>) -> Option<QueueTicket> {
        let (rank, _) = self.members.get_mut(tenant)?.queue.pop_last()?;
        self.waiting.remove(&rank.ticket);
        Some(rank.ticket)
    }

    fn admit(&mut self, tenant: &Rc<str>) {
        if let Some(member) = self.members.get_mut(tenant) {
            self.unused_reservations -= u32::from(member.in_flight < member.reserved);
            member.in_flight += 1;
            self.in_flight += 1;
        }
    }

    /// Admits requests that wait while there are places for them.
    fn admit_waiting(&mut self, now: Nanos, transitions: &mut QueueTransitions) {
        while self.in_flight < self.config.max_concurrency && !self.waiting.is_empty() {
            let Some(tenant) = self.next_tenant() else { return };
            let member = self.members.get_mut(&tenant);
            let first = member.and_then(|member| member.queue.pop_first());
            let Some((rank, expected_latency)) = first else { return };
            self.waiting.remove(&rank.ticket);
            if now.saturating_add(expected_latency) >= rank.deadline {
                transitions.reject(rank.ticket, RejectReason::TooLate);
            } else {
                self.admit(&tenant);
                transitions.admitted.push(rank.ticket);
            }
        }
    }

    /// The tenant whose request is admitted next: the one with the least in flight for its share.
    fn next_tenant(&self) -> Option<Rc<str>> {
        let relative_load = |member: &Member| f64::from(member.in_flight + 1) / member.share;
        self.members
            .iter()
            .filter(|(_, member)| member.is_waiting() && self.has_place_for(member))
            .min_by(|one, other| relative_load(one.1).total_cmp(&relative_load(other.1)))
            .map(|(name, _)| name.clone())
    }
}
