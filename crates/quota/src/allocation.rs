//! Members' requests for a share of a quota, and the responses to them.
//!
//! Log entries and snapshots encode these types in the postcard format: the order of fields is part
//! of that format.

use mintshelf_lease::command::Owner;
use serde::{Deserialize, Serialize};

/// Placeholder for no grant; grants are numbered from 1.
pub const NO_GRANT: u64 = 0;

/// A share of the quota that a member may use in addition to its floor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Number of the grant, increasing from 1 across all members.
    pub number: u64,
    /// Units that may be used.
    pub units: u64,
}

/// A member's request. It may safely be retried, delayed or duplicated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AllocationRequest {
    /// Member and incarnation that send the request.
    pub owner: Owner,
    /// Number of the request, increasing from 1 for each owner.
    pub sequence: u64,
    /// Units that the member would use in addition to its floor if they were granted.
    pub demand: u64,
    /// Member's share relative to other members' weights if the quota can't satisfy all demands; 0
    /// is treated as 1.
    pub weight: u32,
    /// Number of the last grant that covers all units that the member uses beyond its floor. The
    /// member will not return to an earlier grant, so that earlier grants are freed. [`NO_GRANT`]
    /// if the member has confirmed no grant.
    pub confirmed_grant: u64,
    /// Whether the member releases all its grants: the member uses no more than its floor, and will
    /// not use more again.
    pub is_release: bool,
}

/// A grant and all earlier grants of its owner have expired by the leader's clock.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantExpired {
    /// Member and incarnation that hold the grant.
    pub owner: Owner,
    /// Number of the last grant that has expired.
    pub grant: u64,
}

/// One log entry: the requests collected since the last one, and the grants that have expired.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AllocationBatch {
    /// Requests of members, at most one for each owner.
    pub requests: Vec<AllocationRequest>,
    /// Expired grants, at most one for each owner.
    pub expired: Vec<GrantExpired>,
}

impl AllocationBatch {
    /// Returns whether the batch has neither requests nor expiries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.expired.is_empty()
    }
}

/// The response to a request: a grant whose duration the owner measures from before it sent the
/// request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AllocationResponse {
    /// Member and incarnation that the grant is for.
    pub owner: Owner,
    /// Number of the request that is answered.
    pub sequence: u64,
    /// Units that the owner may use in addition to its floor, and the number of that grant.
    pub grant: Grant,
}
