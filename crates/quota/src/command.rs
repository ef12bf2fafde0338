//! Lease and quota commands of the replicated log, and their responses.
//!
//! Log entries encode these types in the postcard format: the order of variants and fields is part
//! of that format.

use crate::allocation::{AllocationBatch, AllocationResponse};
use crate::config::{Quota, QuotaError};
use crate::ledger::IncompatibleChange;
use mintshelf_lease::command as lease;
use serde::{Deserialize, Serialize};

/// Maximum number of quotas of a fleet.
pub const QUOTAS_MAX: usize = 64;

/// An allocation batch of one quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaBatch {
    /// Name of the quota.
    pub quota: String,
    /// Members' requests for a share of the quota, and grants of the quota that have expired.
    pub batch: AllocationBatch,
}

/// An allocation response of one quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// Name of the quota.
    pub quota: String,
    /// The grant and its owner.
    pub response: AllocationResponse,
}

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Applies a command to the replicated leases.
    Lease(lease::Command),
    /// Creates a quota as configured in the operator's file, or changes an existing one.
    SetQuota {
        /// Name of the quota.
        name: String,
        /// Settings of the quota.
        quota: Quota,
    },
    /// Requests collected by one replica, and expired grants if it is the leader, for all quotas.
    Allocate(Vec<QuotaBatch>),
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Result of a lease command.
    Lease(lease::Response),
    /// Whether the quota was created or changed, and why not.
    SetQuota(Result<(), QuotaRejection>),
    /// The grants of all quotas.
    Allocations(Vec<QuotaResponse>),
}

/// Reason for which [`Command::SetQuota`] did not create or change a quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaRejection {
    /// The quota can't be enforced. Holds the text of the [`QuotaError`] instead of its variant,
    /// because other versions, which may have other variants, read the stored bytes.
    Invalid(String),
    /// The change affects settings that members already use locally. A quota with the new settings
    /// needs a new name.
    IncompatibleChange,
    /// The command would create a quota, but [`QUOTAS_MAX`] quotas exist already.
    TooMany,
    /// The name is not valid; see [`lease::is_valid_name`].
    InvalidName,
}

impl From<QuotaError> for QuotaRejection {
    fn from(error: QuotaError) -> Self {
        QuotaRejection::Invalid(error.to_string())
    }
}

impl From<IncompatibleChange> for QuotaRejection {
    fn from(_: IncompatibleChange) -> Self {
        QuotaRejection::IncompatibleChange
    }
}
