//! Faults that are put into the ledger on purpose.

use mintshelf_quota::allocation::{AllocationBatch, AllocationResponse, GrantExpired};
use mintshelf_quota::ledger::Ledger;

/// What the former incarnations of those who request hold is free at once.
pub fn expire_former_incarnations(ledger: &mut Ledger, batch: &AllocationBatch) {
    let mut expired = Vec::new();
    for request in &batch.requests {
        for (owner, account) in ledger.accounts() {
            let is_former = owner.member == request.owner.member && *owner < request.owner;
            if let (true, Some(last)) = (is_former, account.last()) {
                expired.push(GrantExpired { owner: owner.clone(), grant: last.number });
            }
        }
    }
    ledger.apply(&AllocationBatch { requests: Vec::new(), expired });
}

/// Whatever was granted before these responses is free at once.
pub fn expire_earlier_grants(ledger: &mut Ledger, responses: &[AllocationResponse]) {
    let earlier = |response: &AllocationResponse| GrantExpired {
        owner: response.owner.clone(),
        grant: response.grant.number - 1,
    };
    let expired = responses.iter().map(earlier).collect();
    ledger.apply(&AllocationBatch { requests: Vec::new(), expired });
}
