//! A bounded number of requests at one time, shared between tenants, and a bounded queue.
//!
//! A free place is anybody's, but for a few that are kept for those who are active and have
//! not taken theirs: else long requests of one could hold them all. Who has to wait does so in a queue
//! that is ordered by tenant (the one with the least for its share), then first tries before
//! repeats, worth before age, the earlier deadline first. What is over the bound is refused at
//! once, and the least of all that wait is what goes: not the one that came last.

use mintshelf_balancer::api::Nanos;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// A tenant counts as active for so long after it last asked, and the idle are looked for this
/// often.
const ACTIVE: Nanos = 1_000_000_000;
const SWEEP: Nanos = 100_000_000;
/// Part of a tenant's share of the places that is kept for it. More would leave places idle
/// while others wait; who waits is served next by share in any case.
const KEPT: f64 = 0.25;

/// What a gate is set to.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FairQueueConfig {
    /// Most at one time.
    pub most: u32,
    /// Most that wait.
    pub queue: u32,
    /// Shares of tenants; 1 for one that is not named.
    pub shares: BTreeMap<Rc<str>, f64>,
}

/// A request that wants through.
#[derive(Debug, Clone)]
pub struct QueueEntry {
    /// Whose it is.
    pub tenant: Rc<str>,
    /// Its client has asked for it before.
    pub repeat: bool,
    /// What its answer is worth.
    pub priority_weight: f64,
    /// When its client's time is up.
    pub deadline: Nanos,
    /// What an answer usually takes.
    pub needs: Nanos,
}

/// A place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(u64);

/// What becomes of an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// It goes now, and [`FairQueue::done`] is owed.
    Go,
    /// It waits until one of the lists of [`QueueTransitions`] names its ticket, or it leaves.
    Wait(QueueTicket),
    /// It is refused.
    Rejected(RejectReason),
}

/// Why something is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue is at its bound, and the others in it come first.
    Full,
    /// It can't be answered in the time that is left.
    TooLate,
}

/// What else follows: tickets that go now, and that are refused.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QueueTransitions {
    /// They go, and [`FairQueue::done`] is owed for each.
    pub go: Vec<QueueTicket>,
    /// They are refused.
    pub refused: Vec<(QueueTicket, RejectReason)>,
}

/// What comes first in a tenant's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    repeat: bool,
    /// Bits of a number that is not negative: they are ordered as it is.
    priority_weight: Reverse<u64>,
    deadline: Nanos,
    ticket: QueueTicket,
}

#[derive(Debug, Default)]
struct Member {
    held: u32,
    queue: BTreeMap<Rank, Nanos>,
    seen: Nanos,
    share: f64,
    /// Places that are kept for it.
    part: u32,
}

impl Member {
    fn load(&self) -> u32 {
        self.held + self.queue.len() as u32
    }
}

/// A gate.
#[derive(Debug, Default)]
pub struct FairQueue {
    set: FairQueueConfig,
    held: u32,
    /// Those that are active.
    members: BTreeMap<Rc<str>, Member>,
    /// Kept places that their owners have not taken.
    kept: u32,
    swept_at: Nanos,
    waiting: HashMap<QueueTicket, (Rc<str>, Rank)>,
    last: u64,
}

impl FairQueue {
    /// With nobody in it.
    pub fn new(set: FairQueueConfig) -> Self {
        FairQueue { set, ..FairQueue::default() }
    }

    /// How many are in it, and how many wait.
    pub fn levels(&self) -> [usize; 2] {
        [self.held as usize, self.waiting.len()]
    }

    /// Changes what it is set to. Those that are in it stay and count, those that wait keep
    /// their place unless the queue is now too short for them.
    pub fn set(&mut self, now: Nanos, set: FairQueueConfig) -> QueueTransitions {
        self.set = set;
        self.divide();
        let mut moves = QueueTransitions::default();
        while self.waiting.len() > self.set.queue as usize {
            let Some(ticket) = self.heaviest().and_then(|tenant| self.pop_last(&tenant)) else {
                break;
            };
            moves.refused.push((ticket, RejectReason::Full));
        }
        self.grant(now, &mut moves);
        moves
    }

    fn share(&self, tenant: &str) -> f64 {
        self.set.shares.get(tenant).copied().unwrap_or(1.0).max(f64::MIN_POSITIVE)
    }

    /// Divides the places between those that are active.
    fn divide(&mut self) {
        let shares = self.members.keys().map(|name| self.share(name)).collect::<Vec<_>>();
        let all: f64 = shares.iter().sum();
        self.kept = 0;
        for (member, share) in self.members.values_mut().zip(shares) {
            member.share = share;
            member.part = (f64::from(self.set.most) * KEPT * share / all) as u32;
            self.kept += member.part.saturating_sub(member.held);
        }
    }

    /// Notes that a tenant asks; forgets those that have not for long.
    fn see(&mut self, now: Nanos, tenant: &Rc<str>) {
        let known = self.members.get_mut(tenant).map(|member| member.seen = now).is_some();
        if !known {
            self.members.insert(tenant.clone(), Member { seen: now, ..Member::default() });
        }
        if !self.sweep(now) && !known {
            self.divide();
        }
    }

    /// Forgets those that are idle, now and then; whether it did.
    fn sweep(&mut self, now: Nanos) -> bool {
        if now.saturating_sub(self.swept_at) < SWEEP {
            return false;
        }
        self.swept_at = now;
        self.members.retain(|_, m| m.load() > 0 || now.saturating_sub(m.seen) < ACTIVE);
        self.divide();
        true
    }

    fn may_go(&self, member: &Member) -> bool {
        let free = self.set.most.saturating_sub(self.held);
        free > 0 && (member.held < member.part || free > self.kept)
    }

    /// A request wants through.
    pub fn offer(&mut self, now: Nanos, offer: QueueEntry) -> (QueueDecision, QueueTransitions) {
        let mut moves = QueueTransitions::default();
        self.see(now, &offer.tenant);
        if now.saturating_add(offer.needs) >= offer.deadline {
            return (QueueDecision::Rejected(RejectReason::TooLate), moves);
        }
        let goes = |m: &Member| m.queue.is_empty() && self.may_go(m);
        if self.members.get(&offer.tenant).is_some_and(goes) {
            self.enter(&offer.tenant);
            return (QueueDecision::Go, moves);
        }
        self.last += 1;
        let ticket = QueueTicket(self.last);
        let rank = Rank {
            repeat: offer.repeat,
            priority_weight: Reverse(offer.priority_weight.max(0.0).to_bits()),
            deadline: offer.deadline,
            ticket,
        };
        if self.waiting.len() >= self.set.queue as usize {
            match self.displaced(&offer.tenant, rank) {
                Some(loser) => moves.refused.push((loser, RejectReason::Full)),
                None => return (QueueDecision::Rejected(RejectReason::Full), moves),
            }
        }
        let member = self.members.entry(offer.tenant.clone()).or_default();
        member.queue.insert(rank, offer.needs);
        self.waiting.insert(ticket, (offer.tenant, rank));
        (QueueDecision::Wait(ticket), moves)
    }

    /// Whose load is largest for its share, of those with somebody waiting.
    fn heaviest(&self) -> Option<Rc<str>> {
        let waiting = self.members.iter().filter(|(_, member)| !member.queue.is_empty());
        let weight = |member: &Member| f64::from(member.load()) / member.share;
        let heaviest = waiting.max_by(|a, b| weight(a.1).total_cmp(&weight(b.1)));
        heaviest.map(|(name, _)| name.clone())
    }

    /// Makes room for one that comes before another; the loser.
    fn displaced(&mut self, tenant: &Rc<str>, rank: Rank) -> Option<QueueTicket> {
        let heaviest = self.heaviest()?;
        if heaviest != *tenant {
            let load = |name: &str| self.members.get(name).map_or(0, Member::load);
            let ours = f64::from(load(tenant) + 1) / self.share(tenant);
            if ours <= f64::from(load(&heaviest)) / self.share(&heaviest) {
                return self.pop_last(&heaviest);
            }
        }
        let own = self.members.get(tenant)?.queue.last_key_value()?.0;
        (rank < *own).then(|| self.pop_last(tenant)).flatten()
    }

    fn pop_last(&mut self, tenant: &Rc<str>) -> Option<QueueTicket> {
        let (rank, _) = self.members.get_mut(tenant)?.queue.pop_last()?;
        self.waiting.remove(&rank.ticket);
        Some(rank.ticket)
    }

    fn enter(&mut self, tenant: &Rc<str>) {
        if let Some(member) = self.members.get_mut(tenant) {
            self.kept -= u32::from(member.held < member.part);
            member.held += 1;
            self.held += 1;
        }
    }

    /// One that went is over.
    pub fn done(&mut self, now: Nanos, tenant: &Rc<str>) -> QueueTransitions {
        if let Some(member) = self.members.get_mut(tenant).filter(|member| member.held > 0) {
            member.held -= 1;
            self.kept += u32::from(member.held < member.part);
            self.held -= 1;
        }
        let mut moves = QueueTransitions::default();
        self.grant(now, &mut moves);
        self.sweep(now);
        moves
    }

    /// One that waits does so no longer, by itself.
    pub fn leave(&mut self, ticket: QueueTicket) {
        if let Some((tenant, rank)) = self.waiting.remove(&ticket) {
            if let Some(member) = self.members.get_mut(&tenant) {
                member.queue.remove(&rank);
            }
        }
    }

    /// Lets those go whose turn it is.
    fn grant(&mut self, now: Nanos, moves: &mut QueueTransitions) {
        while self.held < self.set.most && !self.waiting.is_empty() {
            let waiting = self.members.iter().filter(|(_, member)| !member.queue.is_empty());
            let able = waiting.filter(|(_, member)| self.may_go(member));
            let weight = |m: &Member| f64::from(m.held + 1) / m.share;
            let next = able.min_by(|a, b| weight(a.1).total_cmp(&weight(b.1)));
            let Some(tenant) = next.map(|(name, _)| name.clone()) else { return };
            let member = self.members.get_mut(&tenant);
            let Some((rank, needs)) = member.and_then(|m| m.queue.pop_first()) else { return };
            self.waiting.remove(&rank.ticket);
            if now.saturating_add(needs) >= rank.deadline {
                moves.refused.push((rank.ticket, RejectReason::TooLate));
            } else {
                self.enter(&tenant);
                moves.go.push(rank.ticket);
            }
        }
    }
}
