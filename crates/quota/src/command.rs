//! The commands about leases and quotas that go through the replicated log, and the responses to
//! them.
//!
//! Log entries hold these types in the postcard format: the order of variants and fields is part
//! of that format.

use crate::allocation::{AllocationBatch, AllocationResponse};
use crate::config::{Quota, QuotaError};
use crate::ledger::IncompatibleChange;
use mintshelf_lease::command as lease;
use serde::{Deserialize, Serialize};

/// Most quotas at one time.
pub const QUOTAS_MAX: usize = 64;

/// A batch for one quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaBatch {
    /// Name of the quota.
    pub quota: String,
    /// Its requests and expiries.
    pub batch: AllocationBatch,
}

/// A response to a request for one quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaResponse {
    /// Name of the quota.
    pub quota: String,
    /// The grant, and to whom.
    pub response: AllocationResponse,
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A command about leases.
    Lease(lease::Command),
    /// Creates a quota as an operator's file configures it, or changes it.
    SetQuota {
        /// Name of the quota.
        name: String,
        /// Its settings.
        quota: Quota,
    },
    /// What one replica collected, and what the leader counted, for all quotas.
    Allocate(Vec<QuotaBatch>),
}

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// Of a command about leases.
    Lease(lease::Response),
    /// The quota is in force, or why not.
    SetQuota(Result<(), QuotaRejection>),
    /// The grants of all quotas.
    Allocations(Vec<QuotaResponse>),
}

/// Why a quota is not in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaRejection {
    /// It can't be enforced. The text of the [`QuotaError`]: the stored bytes are read by other
    /// versions, which may have other errors.
    Invalid(String),
    /// Members count by its former settings already: it needs a name of its own.
    IncompatibleChange,
    /// There are [`QUOTAS_MAX`].
    TooMany,
    /// See [`lease::is_valid_name`].
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
