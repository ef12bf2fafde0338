//! A member's side of one budget.

use crate::config::Budget;
use crate::ledger::{Answer, Ask, Promise};
use mintshelf_lease::command::Owner;
use mintshelf_lease::timing::Nanos;
use std::collections::VecDeque;

/// Questions whose answers are still of use. Asked three times a span, an answer to an older one
/// would be over.
const ASKED_MAX: usize = 4;

/// A promise that may be used, until when on the own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Adopted {
    promise: Promise,
    until: Nanos,
}

/// What may be in use at once, or a second, for whoever admits requests: nothing to wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Limit {
    /// So much now.
    pub units: u64,
    /// From then on the floor alone, unless a newer limit has come.
    pub until: Nanos,
    /// That floor.
    pub floor: u64,
}

impl Limit {
    /// What it allows at a time.
    pub fn at(&self, now: Nanos) -> u64 {
        if now < self.until {
            self.units
        } else {
            self.floor
        }
    }
}

/// Holds one member's share. A new life begins with none, under a higher incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShareHolder {
    owner: Owner,
    budget: Budget,
    weight: u32,
    need: u64,
    asked: VecDeque<(u64, Nanos)>,
    last_number: u64,
    ask_at: Nanos,
    adopted: Option<Adopted>,
    /// The last promise whose units the use has come down to.
    confirms: u64,
    leaves: bool,
    /// From then on the floor may be used.
    floor_from: Nanos,
}

impl ShareHolder {
    /// Begins a life. It holds nothing yet but its floor, and that from a hold after its `born`
    /// only: servers may still work on what its former life sent under the same floor.
    pub fn new(owner: Owner, budget: Budget, weight: u32, born: Nanos) -> Self {
        let floor_from = born.saturating_add(budget.error.expiry_duration(budget.hold));
        ShareHolder {
            floor_from,
            owner,
            budget,
            weight,
            need: 0,
            asked: VecDeque::new(),
            last_number: 0,
            ask_at: 0,
            adopted: None,
            confirms: 0,
            leaves: false,
        }
    }

    fn floor(&self, now: Nanos) -> u64 {
        if now < self.floor_from {
            0
        } else {
            self.budget.floor
        }
    }

    /// What would be used now, floor included, if it were allowed. More than was asked for is
    /// asked for at once.
    pub fn needs(&mut self, now: Nanos, units: u64) {
        let over = units.saturating_sub(self.floor(now));
        // A doubled need can't wait for the next question; small steps can.
        if over > self.need.saturating_mul(2) {
            self.ask_at = self.ask_at.min(now);
        }
        self.need = over;
    }

    /// What may be used. To be read again at its end, and whenever an answer has come.
    pub fn limit(&self, now: Nanos) -> Limit {
        let own = self.floor(now);
        match self.adopted.filter(|adopted| now < adopted.until && !self.leaves) {
            Some(Adopted { promise, until }) => {
                let floor = self.floor(until);
                Limit { units: own.saturating_add(promise.units), until, floor }
            }
            None if now < self.floor_from => {
                Limit { units: 0, until: self.floor_from, floor: self.budget.floor }
            }
            None => Limit { units: own, until: Nanos::MAX, floor: own },
        }
    }

    /// Gives the share back: from now on the floor alone is used.
    pub fn leave(&mut self) {
        (self.leaves, self.ask_at) = (true, 0);
    }

    /// Time has passed, and `used` units are in use; the question to take to the voters, if it
    /// is time for one.
    pub fn tick(&mut self, now: Nanos, used: u64) -> Option<Ask> {
        self.confirm(now, used);
        let over_floor = used > self.floor(now);
        if now < self.ask_at || self.leaves && over_floor {
            return None;
        }
        self.last_number += 1;
        let number = self.last_number;
        // Danger: the span counts from here, before the question leaves.
        self.asked.push_back((number, now));
        if self.asked.len() > ASKED_MAX {
            self.asked.pop_front();
        }
        self.ask_at = match self.leaves {
            // Said once more at the next span, should it be lost; then its promises end anyway.
            true => now.saturating_add(self.budget.span),
            false => now.saturating_add(self.budget.span / 3),
        };
        Some(Ask {
            owner: self.owner.clone(),
            number,
            need: self.need,
            weight: self.weight,
            confirms: self.confirms,
            leaves: self.leaves,
        })
    }

    /// What is in use fits the newest promise, so all earlier ones are done with.
    fn confirm(&mut self, now: Nanos, used: u64) {
        let Some(adopted) = self.adopted else { return };
        // Danger: requests that began under a larger share go on for as long as they take.
        if used <= self.limit(now).units {
            self.confirms = adopted.promise.grant;
        }
    }

    /// An answer has come. One to an older question than the last answered is passed over, and so
    /// is one to a former life.
    pub fn answered(&mut self, now: Nanos, answer: &Answer) {
        let asked = self.asked.iter().find(|(number, _)| *number == answer.number);
        let Some((number, at)) = asked.copied().filter(|_| answer.owner == self.owner) else {
            return;
        };
        let until = at.saturating_add(self.budget.error.holder_duration(self.budget.span));
        if self.leaves || now >= until {
            return;
        }
        self.asked.retain(|(other, _)| *other > number);
        self.adopted = Some(Adopted { promise: answer.promise, until });
    }

    /// When [`ShareHolder::tick`] has something to ask.
    pub fn next(&self) -> Nanos {
        self.ask_at
    }
}
