//! A replica's side of one quota: collects its members' requests into batches and, while it is
//! the leader, counts the durations of grants.

use crate::allocation::{AllocationBatch, AllocationRequest, GrantExpired};
use crate::config::MEMBERS_MAX;
use crate::ledger::Ledger;
use mintshelf_lease::command::Owner;
use mintshelf_lease::expiry::PROPOSAL_RETRY_INTERVAL;
use mintshelf_time::Nanos;
use std::collections::BTreeMap;

/// Most requests in one batch: of each member, one of its current and one of its former
/// incarnation.
const REQUESTS_MAX: u64 = 2 * MEMBERS_MAX;

/// One grant whose duration is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct GrantDeadline {
    /// Number of the grant.
    grant: u64,
    expires_at: Nanos,
}

/// The grants of one owner that have not been confirmed or expired.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct OwnerDeadlines {
    /// Oldest first.
    grants: Vec<GrantDeadline>,
    /// An expiry is not proposed again before.
    next_proposal_at: Nanos,
}

impl OwnerDeadlines {
    /// Number of the last grant that has expired, if an expiry is to be proposed now.
    fn take_expired(&mut self, now: Nanos) -> Option<u64> {
        let is_expired = |deadline: &&GrantDeadline| deadline.expires_at <= now;
        let expired = self.grants.iter().take_while(is_expired).count();
        if expired == 0 || self.next_proposal_at > now {
            return None;
        }
        let grant = self.grants[expired - 1].grant;
        // The last of them stays, to be proposed again if its entry is lost.
        self.grants.drain(..expired - 1);
        self.next_proposal_at = now.saturating_add(PROPOSAL_RETRY_INTERVAL);
        Some(grant)
    }
}

/// Collects requests, and counts grants while this replica is the leader. Bounded by the ledger's
/// accounts, and by one request of each owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RequestCollector {
    is_leader: bool,
    requests: BTreeMap<Owner, AllocationRequest>,
    deadlines: BTreeMap<Owner, OwnerDeadlines>,
}

impl RequestCollector {
    /// This replica has become the leader. The count of each duration starts again: when a grant
    /// was committed, only the former leader's clock knew.
    pub fn become_leader(&mut self, now: Nanos, ledger: &Ledger) {
        self.is_leader = true;
        self.deadlines.clear();
        self.update_deadlines(now, ledger);
    }

    /// This replica is not the leader any more: counting is the next leader's.
    pub fn step_down(&mut self) {
        self.is_leader = false;
        self.deadlines.clear();
    }

    /// Whether this replica counts as the leader.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Collects a request for the next batch; of one owner's the last counts. Returns whether it
    /// was accepted: it is not if it is an old copy, or from more owners than there can be.
    pub fn add_request(&mut self, request: AllocationRequest) -> bool {
        let is_full = self.requests.len() as u64 >= REQUESTS_MAX;
        if is_full && !self.requests.contains_key(&request.owner) {
            return false;
        }
        let collected = self.requests.get(&request.owner);
        let is_newer = collected.is_none_or(|collected| collected.sequence < request.sequence);
        if is_newer {
            self.requests.insert(request.owner.clone(), request);
        }
        is_newer
    }

    /// A batch has been applied to the ledger.
    pub fn batch_applied(&mut self, now: Nanos, ledger: &Ledger) {
        if self.is_leader {
            self.update_deadlines(now, ledger);
        }
    }

    fn update_deadlines(&mut self, now: Nanos, ledger: &Ledger) {
        let quota = ledger.quota();
        // A unit that was acquired at the last moment may be in use for its longest time.
        let duration = quota.grant_duration.saturating_add(quota.max_use_duration);
        let expires_at = now.saturating_add(quota.clock_error.expiry_duration(duration));
        self.deadlines.retain(|owner, _| ledger.account(owner).is_some());
        for (owner, account) in ledger.accounts() {
            let Some((oldest, last)) = account.oldest().zip(account.last()) else { continue };
            let grants = &mut self.deadlines.entry(owner.clone()).or_default().grants;
            // Grants before the oldest are confirmed or expired.
            grants.retain(|deadline| deadline.grant >= oldest.number);
            if grants.last().is_none_or(|deadline| deadline.grant < last.number) {
                grants.push(GrantDeadline { grant: last.number, expires_at });
            }
        }
    }

    /// The next batch to propose; `None` if it would be empty. Only a leader's has expiries.
    pub fn next_batch(&mut self, now: Nanos) -> Option<AllocationBatch> {
        let mut expired = Vec::new();
        for (owner, deadlines) in &mut self.deadlines {
            if let Some(grant) = deadlines.take_expired(now) {
                expired.push(GrantExpired { owner: owner.clone(), grant });
            }
        }
        let requests = std::mem::take(&mut self.requests).into_values().collect();
        Some(AllocationBatch { requests, expired }).filter(|batch| !batch.is_empty())
    }
}
