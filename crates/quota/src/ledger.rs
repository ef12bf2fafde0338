//! What is promised to whom, as all voters agree on it: a state machine without a clock.

use crate::config::Budget;
use crate::divide::{divide, settle, Claim};
use mintshelf_lease::command::Owner;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Promises to one member that may be in use at one time. Asked three times a span, more than a
/// few are there only while neither confirmations nor ends come through.
pub const PROMISES_MAX: usize = 8;

/// A part of the whole that somebody may use, over its floor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promise {
    /// Counted over all members; later ones are higher.
    pub grant: u64,
    /// So much.
    pub units: u64,
}

/// A member's question. Sent again, late or twice it does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// Who asks.
    pub owner: Owner,
    /// Of its questions, from 1.
    pub number: u64,
    /// What it would use, over its floor.
    pub need: u64,
    /// Its weight among the others.
    pub weight: u32,
    /// It uses no more than this promise, and will never go back to an earlier one; 0 for none.
    pub confirms: u64,
    /// It uses nothing over its floor, and will not again.
    pub leaves: bool,
}

/// The span of a promise is over by the leader's count, and so are those of all earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ended {
    /// To whom it was made.
    pub owner: Owner,
    /// The promise.
    pub grant: u64,
}

/// One entry of the log: all questions since the last one, and the ends that the leader counted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Beat {
    /// At most one of each member.
    pub asks: Vec<Ask>,
    /// At most one for each member.
    pub ended: Vec<Ended>,
}

impl Beat {
    /// Whether there is nothing to agree on.
    pub fn is_empty(&self) -> bool {
        self.asks.is_empty() && self.ended.is_empty()
    }
}

/// What is known of one life of one member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account {
    /// The last question taken.
    number: u64,
    need: u64,
    weight: u32,
    leaves: bool,
    /// Each of these may be in use, oldest first.
    promises: Vec<Promise>,
}

impl Account {
    /// The most that it may be using over its floor.
    pub fn used(&self) -> u64 {
        self.promises.iter().map(|promise| promise.units).max().unwrap_or(0)
    }

    /// What was promised last.
    pub fn last(&self) -> Option<Promise> {
        self.promises.last().copied()
    }

    /// The oldest that may be in use.
    pub fn oldest(&self) -> Option<Promise> {
        self.promises.first().copied()
    }

    fn promise(&mut self, promise: Promise) {
        if self.promises.len() == PROMISES_MAX {
            // The two oldest count as one, with the more of the two and until the later ends.
            let oldest = self.promises.remove(0);
            self.promises[0].units = self.promises[0].units.max(oldest.units);
        }
        self.promises.push(promise);
    }
}

/// The answer to a question: a promise that counts from before it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// Who asked.
    pub owner: Owner,
    /// Which question.
    pub number: u64,
    /// What it may use over its floor.
    pub promise: Promise,
}

/// One budget's accounts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    budget: Budget,
    accounts: BTreeMap<Owner, Account>,
    last_grant: u64,
}

impl Ledger {
    /// Nothing is promised yet.
    pub fn new(budget: Budget) -> Self {
        Ledger { budget, accounts: BTreeMap::new(), last_grant: 0 }
    }

    /// What is divided.
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    /// Another whole or reserve for the same budget; whether it can be taken over. What else
    /// there is to it members have from their own files, and count by already. Of a smaller
    /// whole, what was promised of the larger one is in use until it is confirmed or over.
    pub fn change(&mut self, budget: Budget) -> bool {
        let Budget { whole, reserve, .. } = budget;
        let same = Budget { whole, reserve, ..self.budget } == budget;
        if same {
            self.budget = budget;
        }
        same
    }

    /// All accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&Owner, &Account)> {
        self.accounts.iter()
    }

    /// One life's account.
    pub fn account(&self, owner: &Owner) -> Option<&Account> {
        self.accounts.get(owner)
    }

    /// The most that all members together may be using over their floors.
    pub fn used(&self) -> u64 {
        self.accounts.values().map(Account::used).sum()
    }

    /// Takes an agreed entry; the answers to the questions in it. Who is one member too many gets
    /// none, and has no floor either: the operator's number of members was wrong.
    pub fn apply(&mut self, beat: &Beat) -> Vec<Answer> {
        for ended in &beat.ended {
            self.end(ended);
        }
        let mut asking = Vec::new();
        for ask in &beat.asks {
            if self.take(ask) {
                asking.push((ask.owner.clone(), ask.number));
            }
        }
        self.accounts.retain(|_, account| !(account.leaves && account.promises.is_empty()));
        let mut free = self.budget.divisible().saturating_sub(self.used());
        let wanted = self.wanted(&asking, free);
        let mut answers = Vec::with_capacity(asking.len());
        for ((owner, number), units) in asking.into_iter().zip(wanted) {
            let Some(account) = self.accounts.get_mut(&owner) else { continue };
            let before = account.used();
            // Danger: what others are promised below must not count this one's growth as free.
            let units = units.min(before.saturating_add(free));
            free -= units.saturating_sub(before);
            self.last_grant += 1;
            let promise = Promise { grant: self.last_grant, units };
            account.promise(promise);
            answers.push(Answer { owner, number, promise });
        }
        answers
    }

    fn end(&mut self, ended: &Ended) {
        let Some(account) = self.accounts.get_mut(&ended.owner) else { return };
        account.promises.retain(|promise| promise.grant > ended.grant);
        // It has not asked for a span.
        if account.promises.is_empty() {
            self.accounts.remove(&ended.owner);
        }
    }

    /// Notes a question; whether it is to be answered.
    fn take(&mut self, ask: &Ask) -> bool {
        // Former lives keep their accounts until their spans are over, beside the new ones.
        let full = self.accounts.len() as u64 >= self.budget.members.saturating_mul(2);
        if full && !self.accounts.contains_key(&ask.owner) {
            return false;
        }
        let account = self.accounts.entry(ask.owner.clone()).or_default();
        if ask.number <= account.number {
            // An old copy: what it says of need and use is no longer so.
            return false;
        }
        account.number = ask.number;
        (account.need, account.weight) = (ask.need, ask.weight);
        // Danger: one that was never made would free all. One that has ended has freed its like.
        if account.promises.iter().any(|promise| promise.grant == ask.confirms) {
            account.promises.retain(|promise| promise.grant >= ask.confirms);
        }
        if ask.leaves {
            account.promises.clear();
        }
        account.leaves = ask.leaves;
        !ask.leaves
    }

    /// What each should have, by the needs of all.
    fn targets(&self) -> BTreeMap<&Owner, u64> {
        // A former life's need is nobody's: only the latest counts.
        let owners = self.accounts.keys();
        let latest: BTreeMap<&str, &Owner> = owners.map(|o| (o.member.as_str(), o)).collect();
        let claim = |owner: &&Owner| {
            let account = &self.accounts[*owner];
            Claim { need: account.need, weight: account.weight }
        };
        let claims: Vec<Claim> = latest.values().map(claim).collect();
        let parts = divide(self.budget.divided(), &claims);
        latest.into_values().zip(parts).collect()
    }

    /// What the askers are to be promised, as far as it is free.
    fn wanted(&self, asking: &[(Owner, u64)], free: u64) -> Vec<u64> {
        let targets = self.targets();
        let aims: Vec<(u64, u64)> = asking
            .iter()
            .map(|(owner, _)| {
                let account = self.accounts.get(owner);
                let last = account.and_then(Account::last).map_or(0, |promise| promise.units);
                let target = targets.get(owner).copied().unwrap_or(0);
                (settle(last, target), account.map_or(0, Account::used))
            })
            .collect();
        // What is free goes to those that are short of their aim, again by max-min.
        let short = |(aim, used): &(u64, u64)| Claim { need: aim.saturating_sub(*used), weight: 1 };
        let claims: Vec<Claim> = aims.iter().map(short).collect();
        let more = divide(free, &claims);
        aims.iter()
            .zip(more)
            .map(|((aim, used), more)| if aim > used { used + more } else { *aim })
            .collect()
    }
}
