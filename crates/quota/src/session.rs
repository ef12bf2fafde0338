//! Which voter a member asks, and how many members a voter takes: up to 2,000 members spread over
//! three or five voters, moved when one goes, without a rush on those that are left.

use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::{Nanos, MS, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A voter that has not answered for so long after a question is given up on.
pub const PATIENCE: Nanos = 800 * MS;
/// Pause after a voter that is full, or after all have been silent: drawn up to this, doubled
/// each time.
const PAUSE_FIRST: Nanos = 200 * MS;
/// See [`PAUSE_FIRST`].
const PAUSE_MOST: Nanos = 5 * SECOND;
/// A member that is not where it belongs asks there again after this, up to twice as long.
const HOME_AFTER: Nanos = 30 * SECOND;

/// A member's side.
#[derive(Debug, Clone)]
pub struct Session {
    /// Voters by preference; each member has an order of its own.
    order: Vec<usize>,
    /// Place in the order of the one that is asked.
    at: usize,
    /// Since when an answer is owed.
    owed: Option<Nanos>,
    /// Voters asked in vain since the last answer.
    in_vain: u32,
    not_before: Nanos,
    home_at: Nanos,
    rng: Pcg64Mcg,
}

impl Session {
    /// For one life of a member, among so many voters (one at least). Where it belongs follows
    /// from its name, so that a restart changes nothing.
    pub fn new(owner: &Owner, voters: usize) -> Self {
        let voters = voters.max(1);
        let mut order: Vec<usize> = (0..voters).collect();
        // Rendezvous hashing: a voter that goes spreads its members evenly over the others.
        order.sort_by_key(|voter| xxh3_64(format!("{voter}/{}", owner.member).as_bytes()));
        let seed = xxh3_64(owner.member.as_bytes()) ^ owner.incarnation;
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (at, owed, in_vain, not_before, home_at) = (0, None, 0, 0, Nanos::MAX);
        Session { order, at, owed, in_vain, not_before, home_at, rng }
    }

    fn drawn(&mut self, span: Nanos) -> Nanos {
        self.rng.next_u64() % span.max(1)
    }

    /// Whom to ask now; none while it is to wait.
    pub fn voter(&mut self, now: Nanos) -> Option<usize> {
        if self.owed.is_some_and(|since| now >= since.saturating_add(PATIENCE)) {
            self.next(now);
        }
        if now >= self.home_at && self.owed.is_none() {
            (self.at, self.home_at) = (0, Nanos::MAX);
        }
        (now >= self.not_before).then(|| self.order[self.at])
    }

    /// When [`Session::voter`] may give another answer.
    pub fn until(&self, now: Nanos) -> Nanos {
        if now < self.not_before {
            return self.not_before;
        }
        let owed = self.owed.map_or(Nanos::MAX, |since| since.saturating_add(PATIENCE));
        owed.min(self.home_at)
    }

    /// A question has gone to it.
    pub fn asked(&mut self, now: Nanos) {
        self.owed.get_or_insert(now);
    }

    /// It has answered.
    pub fn heard(&mut self, now: Nanos, from: usize) {
        if from != self.order[self.at] {
            return;
        }
        (self.owed, self.in_vain) = (None, 0);
        if self.at == 0 {
            self.home_at = Nanos::MAX;
        } else if self.home_at == Nanos::MAX {
            let more = self.drawn(HOME_AFTER);
            self.home_at = now.saturating_add(HOME_AFTER + more);
        }
    }

    /// It will not have this member now, or its link has broken.
    pub fn turned_away(&mut self, now: Nanos, from: usize) {
        if from == self.order[self.at] {
            self.next(now);
            self.pause(now, self.in_vain - 1);
        }
    }

    fn next(&mut self, now: Nanos) {
        self.owed = None;
        self.at = (self.at + 1) % self.order.len();
        self.in_vain = self.in_vain.saturating_add(1);
        let voters = self.order.len() as u32;
        if self.in_vain.is_multiple_of(voters) {
            self.pause(now, self.in_vain / voters - 1);
        }
    }

    /// Danger: members that lost a voter together would come back together.
    fn pause(&mut self, now: Nanos, doubled: u32) {
        let pause = self.drawn((PAUSE_FIRST << doubled.min(8)).min(PAUSE_MOST));
        self.not_before = self.not_before.max(now.saturating_add(pause));
    }
}

/// A voter's side: who has a seat.
#[derive(Debug, Clone)]
pub struct Seats {
    most: usize,
    /// New ones in each interval of a second: a storm of joins costs so much and no more.
    new_most: usize,
    span: Nanos,
    taken: BTreeMap<Owner, Nanos>,
    second: Nanos,
    new: usize,
}

impl Seats {
    /// For `members` in all among `voters`: each takes twice its part, so that all find a seat
    /// soon with one voter of three gone. A seat is free when its member has not asked for `span`.
    pub fn new(members: usize, voters: usize, span: Nanos) -> Self {
        let most = (members * 2).div_ceil(voters.max(1)).max(1);
        let new_most = most.div_ceil(4);
        Seats { most, new_most, span, taken: BTreeMap::new(), second: 0, new: 0 }
    }

    /// A member asks; whether it has a seat, or gets one.
    pub fn knock(&mut self, now: Nanos, owner: &Owner) -> bool {
        if now / SECOND != self.second {
            (self.second, self.new) = (now / SECOND, 0);
            let span = self.span;
            self.taken.retain(|_, at| now.saturating_sub(*at) < span);
        }
        if let Some(at) = self.taken.get_mut(owner) {
            *at = now;
            return true;
        }
        if self.taken.len() >= self.most || self.new >= self.new_most {
            return false;
        }
        self.new += 1;
        self.taken.insert(owner.clone(), now);
        true
    }

    /// A member has left, or its link has.
    pub fn leave(&mut self, owner: &Owner) {
        self.taken.remove(owner);
    }

    /// How many seats are taken.
    pub fn len(&self) -> usize {
        self.taken.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.taken.is_empty()
    }
}
