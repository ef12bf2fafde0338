//! The requests of members for a part of a quota, and the responses to them.
//!
//! Log entries and snapshots hold these types in the postcard format: the order of fields is part
//! of that format.

use mintshelf_lease::command::Owner;
use serde::{Deserialize, Serialize};

/// The number of no grant.
pub const NO_GRANT: u64 = 0;

/// A part of the quota that a member may use, over its floor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the grant, counted from 1 over all members; later ones are higher.
    pub number: u64,
    /// Units that may be used.
    pub units: u64,
}

/// A member's request. It is safe to send it again, late or twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AllocationRequest {
    /// Who requests.
    pub owner: Owner,
    /// Number of the request, counted from 1 by its owner.
    pub sequence: u64,
    /// Units that it would use, over its floor.
    pub demand: u64,
    /// Its weight among the members; 0 counts as 1.
    pub weight: u32,
    /// Number of a grant: the member uses no more than that, and will not go back to an earlier
    /// one. [`NO_GRANT`] for none.
    pub confirmed_grant: u64,
    /// Whether it releases all its grants: it uses nothing over its floor, and will not again.
    pub is_release: bool,
}

/// A grant, and all earlier ones to its owner, have expired by the leader's count.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantExpired {
    /// Who holds the grant.
    pub owner: Owner,
    /// Number of the grant.
    pub grant: u64,
}

/// One entry of the log: all requests since the last one, and the grants that have expired.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AllocationBatch {
    /// At most one of each owner.
    pub requests: Vec<AllocationRequest>,
    /// At most one of each owner.
    pub expired: Vec<GrantExpired>,
}

impl AllocationBatch {
    /// Whether there is nothing to apply.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.expired.is_empty()
    }
}

/// The response to a request: a grant whose duration counts from before the request was sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AllocationResponse {
    /// Who requested.
    pub owner: Owner,
    /// Number of the request.
    pub sequence: u64,
    /// What the owner may use over its floor.
    pub grant: Grant,
}
