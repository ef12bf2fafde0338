//! Replica side of one quota: collects members' requests into batches and, while the replica is the
//! leader, tracks the expiry deadlines of grants.

use crate::allocation::{AllocationBatch, AllocationRequest, GrantExpired};
use crate::config::MEMBERS_MAX;
use crate::ledger::Ledger;
use mintshelf_lease::command::Owner;
use mintshelf_lease::expiry::PROPOSAL_RETRY_INTERVAL;
use mintshelf_time::Nanos;
use std::collections::BTreeMap;

/// Maximum number of requests in one batch: for each member, one request of the current and one of
/// a former incarnation.
const REQUESTS_MAX: u64 = 2 * MEMBERS_MAX;

/// Expiry deadline of one grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct GrantDeadline {
    /// Number of the grant.
    grant: u64,
    expires_at: Nanos,
}

/// Deadlines of the grants of one owner that may still be in use.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct OwnerDeadlines {
    /// Deadlines of the owner's grants, the oldest grant first.
    grants: Vec<GrantDeadline>,
    /// Earliest time at which the leader next proposes an expiry for this owner.
    next_proposal_at: Nanos,
}

impl OwnerDeadlines {
    /// Returns the number of the last expired grant if the leader must propose that expiry now.
    fn take_expired(&mut self, now: Nanos) -> Option<u64> {
        let is_expired = |deadline: &&GrantDeadline| deadline.expires_at <= now;
        let expired = self.grants.iter().take_while(is_expired).count();
        if expired == 0 || self.next_proposal_at > now {
            return None;
        }
        let grant = self.grants[expired - 1].grant;
        // The last expired grant is kept, so that it is proposed again if the log entry is lost.
        self.grants.drain(..expired - 1);
        self.next_proposal_at = now.saturating_add(PROPOSAL_RETRY_INTERVAL);
        Some(grant)
    }
}

/// Collects requests and, on the leader, tracks grant deadlines. The size of a collector is bounded
/// by the ledger's accounts and by one request for each owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RequestCollector {
    is_leader: bool,
    requests: BTreeMap<Owner, AllocationRequest>,
    deadlines: BTreeMap<Owner, OwnerDeadlines>,
}

impl RequestCollector {
    /// Starts tracking deadlines when this replica becomes the leader. All grant durations are
    /// measured from `now`, because the time at which a grant was committed is known on the former
    /// leader's clock only.
    pub fn become_leader(&mut self, now: Nanos, ledger: &Ledger) {
        self.is_leader = true;
        self.deadlines.clear();
        self.update_deadlines(now, ledger);
    }

    /// Drops all deadlines when this replica is no longer the leader.
    pub fn step_down(&mut self) {
        self.is_leader = false;
        self.deadlines.clear();
    }

    /// Returns whether this replica is the leader and tracks deadlines.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Adds a request to the next batch, where it replaces an older one of the same owner. Returns
    /// whether it was accepted: stale requests are not, nor are new owners beyond the maximum.
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

    /// Updates the deadlines after a batch was applied to the ledger.
    pub fn batch_applied(&mut self, now: Nanos, ledger: &Ledger) {
        if self.is_leader {
            self.update_deadlines(now, ledger);
        }
    }

    fn update_deadlines(&mut self, now: Nanos, ledger: &Ledger) {
        let quota = ledger.quota();
        // A unit acquired just before the grant expires may be in use for the maximum use duration.
        let duration = quota.grant_duration.saturating_add(quota.max_use_duration);
        let expires_at = now.saturating_add(quota.clock_error.expiry_duration(duration));
        self.deadlines.retain(|owner, _| ledger.account(owner).is_some());
        for (owner, account) in ledger.accounts() {
            let Some((oldest, last)) = account.oldest().zip(account.last()) else { continue };
            let grants = &mut self.deadlines.entry(owner.clone()).or_default().grants;
            // Grants older than the account's oldest are freed by a confirmation or an expiry.
            grants.retain(|deadline| deadline.grant >= oldest.number);
            if grants.last().is_none_or(|deadline| deadline.grant < last.number) {
                grants.push(GrantDeadline { grant: last.number, expires_at });
            }
        }
    }

    /// Returns the next batch to propose; `None` if the batch would be empty. Only the leader's
    /// batches contain expiries.
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
