//! A voter's side: gathers its members' questions into beats and, while it leads, counts the
//! spans of promises.

use crate::config::MEMBERS_MAX;
use crate::ledger::{Ask, Beat, Ended, Ledger};
use mintshelf_lease::command::Owner;
use mintshelf_lease::expiry::PROPOSAL_RETRY_INTERVAL;
use mintshelf_lease::timing::Nanos;
use std::collections::BTreeMap;

/// One promise whose span is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Count {
    grant: u64,
    /// When it is over.
    over: Nanos,
}

/// What one member's promises are waiting for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Counts {
    /// Oldest first.
    running: Vec<Count>,
    /// Not proposed again before.
    again: Nanos,
}

/// Gathers, and counts while this voter leads. Bounded by the ledger's accounts, and by one
/// question of each member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Clerk {
    leads: bool,
    asks: BTreeMap<Owner, Ask>,
    counts: BTreeMap<Owner, Counts>,
}

impl Clerk {
    /// This voter leads from now on. Each span runs anew: when a promise was agreed, only the
    /// former leader's clock knew.
    pub fn lead(&mut self, now: Nanos, ledger: &Ledger) {
        (self.leads, self.counts) = (true, BTreeMap::new());
        self.count(now, ledger);
    }

    /// This voter does not lead any more: its counts are the next leader's.
    pub fn follow(&mut self) {
        (self.leads, self.counts) = (false, BTreeMap::new());
    }

    /// Whether it counts.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Gathers a question for the next beat; of one member's the latest counts. Whether it was
    /// taken: not from more members than there can be.
    pub fn ask(&mut self, ask: Ask) -> bool {
        let full = self.asks.len() as u64 >= MEMBERS_MAX * 2;
        if full && !self.asks.contains_key(&ask.owner) {
            return false;
        }
        let newer = self.asks.get(&ask.owner).is_none_or(|before| before.number < ask.number);
        if newer {
            self.asks.insert(ask.owner.clone(), ask);
        }
        newer
    }

    /// An entry has been applied, by which the ledger is what it is now.
    pub fn applied(&mut self, now: Nanos, ledger: &Ledger) {
        if self.leads {
            self.count(now, ledger);
        }
    }

    fn count(&mut self, now: Nanos, ledger: &Ledger) {
        let budget = ledger.budget();
        // What was taken in the span's last moment may be in use for the hold.
        let wait = budget.error.expiry_duration(budget.span.saturating_add(budget.hold));
        let over = now.saturating_add(wait);
        self.counts.retain(|owner, _| ledger.account(owner).is_some());
        for (owner, account) in ledger.accounts() {
            let Some((oldest, last)) = account.oldest().zip(account.last()) else { continue };
            let counts = self.counts.entry(owner.clone()).or_default();
            // Confirmed or ended: nothing is left to wait for.
            counts.running.retain(|count| count.grant >= oldest.grant);
            if counts.running.last().is_none_or(|count| count.grant < last.grant) {
                counts.running.push(Count { grant: last.grant, over });
            }
        }
    }

    /// The next entry to agree on; nothing if it would be empty. Only a leader's has ends in it.
    pub fn beat(&mut self, now: Nanos) -> Option<Beat> {
        let mut ended = Vec::new();
        for (owner, counts) in &mut self.counts {
            let over = counts.running.iter().take_while(|count| count.over <= now).count();
            if over > 0 && counts.again <= now {
                let grant = counts.running[over - 1].grant;
                ended.push(Ended { owner: owner.clone(), grant });
                // The last of them stays, to be proposed again if need be.
                counts.running.drain(..over - 1);
                counts.again = now.saturating_add(PROPOSAL_RETRY_INTERVAL);
            }
        }
        let asks = std::mem::take(&mut self.asks).into_values().collect();
        Some(Beat { asks, ended }).filter(|beat| !beat.is_empty())
    }
}
