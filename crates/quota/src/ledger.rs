//! Replicated state of one quota: the grants of each owner. The state has no clock.

use crate::allocation::{
    AllocationBatch, AllocationRequest, AllocationResponse, Grant, GrantExpired,
};
use crate::config::Quota;
use crate::max_min::{weighted_max_min, with_hysteresis, Demand};
use mintshelf_lease::command::Owner;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum number of grants tracked for one owner. Members send three requests per grant duration,
/// so there are more than a few grants only while neither confirmations nor expiries are committed.
pub const GRANTS_MAX: usize = 8;
/// Maximum number of accounts per member on average: the member's current and one former
/// incarnation.
const ACCOUNTS_PER_MEMBER_MAX: u64 = 2;

/// State of one owner, which is one incarnation of one member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Account {
    /// Number of the last accepted request.
    sequence: u64,
    demand: u64,
    weight: u32,
    /// Whether the account's owner has released its grants.
    is_released: bool,
    /// Grants that may still be in use, oldest first.
    grants: Vec<Grant>,
}

impl Account {
    /// Returns the maximum number of units that the owner may be using in addition to its floor.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.grants.iter().map(|grant| grant.units).max().unwrap_or(0)
    }

    /// Returns the owner's last grant; `None` if no grant may still be in use.
    #[must_use]
    pub fn last(&self) -> Option<Grant> {
        self.grants.last().copied()
    }

    /// Returns the oldest grant that may still be in use.
    pub(crate) fn oldest(&self) -> Option<Grant> {
        self.grants.first().copied()
    }

    fn push(&mut self, grant: Grant) {
        if self.grants.len() == GRANTS_MAX {
            // Merges the two oldest grants into one with the larger units and the later expiry.
            let oldest = self.grants.remove(0);
            self.grants[0].units = self.grants[0].units.max(oldest.units);
        }
        self.grants.push(grant);
    }

    /// Accepts a request unless it is stale, that is a duplicate or older than the last accepted
    /// one.
    fn accept(&mut self, request: &AllocationRequest) -> bool {
        if request.sequence <= self.sequence {
            return false;
        }
        self.sequence = request.sequence;
        self.demand = request.demand;
        self.weight = request.weight;
        self.confirm(request.confirmed_grant);
        if request.is_release {
            self.grants.clear();
        }
        self.is_released = request.is_release;
        true
    }

    /// Removes the grants before a confirmed one. Unknown grants are ignored: a number that was
    /// never granted would free all grants, and the expiry of a grant has already freed the earlier
    /// ones.
    fn confirm(&mut self, number: u64) {
        if self.grants.iter().any(|grant| grant.number == number) {
            self.grants.retain(|grant| grant.number >= number);
        }
    }
}

/// An accepted request that gets a grant.
struct PendingRequest {
    owner: Owner,
    sequence: u64,
}

/// Units that a member should have by its demand (`target`), and units that the member may be using
/// under its grants (`used`).
struct Allocation {
    target: u64,
    used: u64,
}

impl Allocation {
    fn shortfall(&self) -> Demand {
        Demand { units: self.target.saturating_sub(self.used), weight: 1 }
    }

    /// Returns the units of the next grant, if the member gets `extra` of the free units.
    fn next_units(&self, extra: u64) -> u64 {
        if self.target > self.used {
            self.used + extra
        } else {
            self.target
        }
    }
}

/// A change of settings that members already use locally.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("only total and headroom of a quota can be changed")]
pub struct IncompatibleChange;

/// The accounts of one quota, one for each owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ledger {
    quota: Quota,
    accounts: BTreeMap<Owner, Account>,
    last_grant: u64,
}

impl Ledger {
    /// Creates a ledger without grants.
    #[must_use]
    pub fn new(quota: Quota) -> Self {
        Ledger { quota, accounts: BTreeMap::new(), last_grant: 0 }
    }

    /// Returns the settings of the quota that the ledger enforces.
    #[must_use]
    pub fn quota(&self) -> &Quota {
        &self.quota
    }

    /// Changes total or headroom. If the total is reduced, earlier grants count as used until their
    /// owners confirm smaller grants or the earlier grants expire.
    ///
    /// # Errors
    /// Another setting differs, which members read from their own files and already use.
    pub fn change(&mut self, quota: Quota) -> Result<(), IncompatibleChange> {
        let Quota { total, headroom_per_mille, .. } = quota;
        if quota != (Quota { total, headroom_per_mille, ..self.quota }) {
            return Err(IncompatibleChange);
        }
        self.quota = quota;
        Ok(())
    }

    /// Returns all accounts, in order of their owners.
    pub fn accounts(&self) -> impl Iterator<Item = (&Owner, &Account)> {
        self.accounts.iter()
    }

    /// Returns the account of one owner; `None` if the owner has no account.
    #[must_use]
    pub fn account(&self, owner: &Owner) -> Option<&Account> {
        self.accounts.get(owner)
    }

    /// Returns the maximum number of units that all members together may be using in addition to
    /// their floors.
    pub fn used(&self) -> u64 {
        self.accounts.values().map(Account::used).sum()
    }

    /// Applies a committed batch; returns the responses to its requests. A new owner gets no
    /// response while the maximum number of accounts exists. Its floor is not set aside either: the
    /// configured number of members is too low.
    pub fn apply(&mut self, batch: &AllocationBatch) -> Vec<AllocationResponse> {
        for expired in &batch.expired {
            self.expire(expired);
        }
        let mut pending = Vec::new();
        for request in &batch.requests {
            if self.accept(request) {
                pending.push(PendingRequest {
                    owner: request.owner.clone(),
                    sequence: request.sequence,
                });
            }
        }
        self.accounts.retain(|_, account| !(account.is_released && account.grants.is_empty()));
        self.grant(pending)
    }

    fn expire(&mut self, expired: &GrantExpired) {
        let Some(account) = self.accounts.get_mut(&expired.owner) else { return };
        account.grants.retain(|grant| grant.number > expired.grant);
        // The owner has sent no request for the duration of a grant.
        if account.grants.is_empty() {
            self.accounts.remove(&expired.owner);
        }
    }

    /// Returns the maximum number of accounts, including former incarnations, whose accounts are
    /// kept until their grants expire.
    fn max_accounts(&self) -> usize {
        let max_accounts = self.quota.max_members.saturating_mul(ACCOUNTS_PER_MEMBER_MAX);
        usize::try_from(max_accounts).unwrap_or(usize::MAX)
    }

    /// Updates the account of a request's owner; returns whether the request gets a grant.
    fn accept(&mut self, request: &AllocationRequest) -> bool {
        let is_full = self.accounts.len() >= self.max_accounts();
        if is_full && !self.accounts.contains_key(&request.owner) {
            return false;
        }
        let account = self.accounts.entry(request.owner.clone()).or_default();
        account.accept(request) && !request.is_release
    }

    fn grant(&mut self, pending: Vec<PendingRequest>) -> Vec<AllocationResponse> {
        let mut free = self.quota.grantable().saturating_sub(self.used());
        let units = self.units_to_grant(&pending, free);
        let mut responses = Vec::with_capacity(pending.len());
        for (PendingRequest { owner, sequence }, units) in pending.into_iter().zip(units) {
            let Some(account) = self.accounts.get_mut(&owner) else { continue };
            let used = account.used();
            // Units that this grant adds are no longer free for the next requests.
            let units = units.min(used.saturating_add(free));
            free -= units.saturating_sub(used);
            self.last_grant += 1;
            let grant = Grant { number: self.last_grant, units };
            account.push(grant);
            responses.push(AllocationResponse { owner, sequence, grant });
        }
        responses
    }

    /// Returns the target units of the latest incarnation of each member, from the demands of all
    /// members.
    fn targets(&self) -> BTreeMap<&Owner, u64> {
        // Only the demand of the latest incarnation of each member counts. Owners are ordered by
        // member and incarnation, so later entries replace earlier ones.
        let owners = self.accounts.keys();
        let latest: BTreeMap<&str, &Owner> =
            owners.map(|owner| (owner.member.as_str(), owner)).collect();
        let demand = |owner: &&Owner| {
            let account = &self.accounts[*owner];
            Demand { units: account.demand, weight: account.weight }
        };
        let demands: Vec<Demand> = latest.values().map(demand).collect();
        let shares = weighted_max_min(self.quota.divided(), &demands);
        latest.into_values().zip(shares).collect()
    }

    /// Returns the units to grant to each pending request, limited by the free units.
    fn units_to_grant(&self, pending: &[PendingRequest], free: u64) -> Vec<u64> {
        let targets = self.targets();
        let allocation = |request: &PendingRequest| {
            let account = self.accounts.get(&request.owner);
            let last = account.and_then(Account::last).map_or(0, |grant| grant.units);
            let target = targets.get(&request.owner).copied().unwrap_or(0);
            Allocation {
                target: with_hysteresis(last, target),
                used: account.map_or(0, Account::used),
            }
        };
        let allocations: Vec<Allocation> = pending.iter().map(allocation).collect();
        // Free units are divided, again by max-min, among the members below their target.
        let shortfalls: Vec<Demand> = allocations.iter().map(Allocation::shortfall).collect();
        let extras = weighted_max_min(free, &shortfalls);
        let pairs = allocations.iter().zip(extras);
        pairs.map(|(allocation, extra)| allocation.next_units(extra)).collect()
    }
}
