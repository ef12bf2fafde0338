//! Lease commands of the replicated log, and their responses.
//!
//! Logs, snapshots and frames between processes encode these types in the postcard format: the
//! order of variants and fields is part of that format.

use crate::fence::Token;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of leases that have a holder or waiters at one time.
pub const LEASES_MAX: usize = 1_024;
/// Maximum number of waiters in the queue of one lease.
pub const WAITERS_MAX: usize = 64;
/// Maximum length of the name of a lease or a member, in bytes.
pub const NAME_MAX: usize = 128;
/// Minimum lease duration that a command may request, in nanoseconds: 100 ms.
pub const DURATION_MIN: Nanos = 100 * MILLISECOND;
/// Maximum lease duration that a command may request, in nanoseconds: 24 hours.
pub const DURATION_MAX: Nanos = 86_400 * SECOND;

/// Returns whether `name` is a valid name of a lease or a member: 1 to [`NAME_MAX`] bytes without
/// control characters.
pub fn is_valid_name(name: &str) -> bool {
    (1..=NAME_MAX).contains(&name.len()) && !name.chars().any(char::is_control)
}

/// One incarnation of one member. A restarted process has a higher incarnation and does not own the
/// leases of the former incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the member.
    pub member: String,
    /// Number of the member's incarnation, higher after each restart.
    pub incarnation: u64,
}

/// A command of the replicated log. Every command may safely be retried, delayed or duplicated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Command {
    /// Requests a lease. The command is retried if the response was lost; a waiter also repeats the
    /// command periodically to keep its place in the queue.
    Acquire {
        /// Name of the lease.
        lease: String,
        /// Member and incarnation that request the lease.
        owner: Owner,
        /// Lease duration, which starts again with each renewal.
        duration: Nanos,
        /// Whether to join the queue while another owner holds the lease.
        wait: bool,
    },
    /// Extends the holder's grant of a lease by another lease duration.
    Renew {
        /// Name of the lease.
        lease: String,
        /// Holder of the lease.
        owner: Owner,
        /// Token of the grant to renew.
        token: Token,
    },
    /// Releases a lease when no operation under it is in progress. The token keeps a delayed
    /// duplicate from ending a later grant to the same owner.
    Release {
        /// Name of the lease.
        lease: String,
        /// Holder of the lease.
        owner: Owner,
        /// Token of the grant to end.
        token: Token,
    },
    /// Leaves the queue of a lease.
    CancelWait {
        /// Name of the lease that the owner waits for.
        lease: String,
        /// Owner to remove from the queue of the lease.
        owner: Owner,
    },
    /// The lease duration has passed since a renewal, measured on the leader's clock.
    Expire {
        /// Name of the lease.
        lease: String,
        /// Token of the grant.
        token: Token,
        /// Number of renewals of the grant when the leader set the deadline. The command is
        /// rejected if there has been another renewal since.
        renewals: u64,
    },
    /// A waiter has not repeated its request for a lease duration.
    ExpireWaiter {
        /// Name of the lease.
        lease: String,
        /// Owner to remove from the queue of the lease.
        owner: Owner,
        /// Number of the waiter's requests when the leader set the deadline. The command is
        /// rejected if there has been another request since.
        requests: u64,
    },
    /// An operator revokes a lease: it can't be renewed any more and expires. Ending the grant
    /// immediately could give the lease two holders if the first is unreachable.
    Revoke {
        /// Name of the lease.
        lease: String,
    },
}

impl Command {
    /// Returns the name of the lease that the command applies to.
    #[must_use]
    pub fn lease(&self) -> &str {
        match self {
            Command::Acquire { lease, .. }
            | Command::Renew { lease, .. }
            | Command::Release { lease, .. }
            | Command::CancelWait { lease, .. }
            | Command::Expire { lease, .. }
            | Command::ExpireWaiter { lease, .. }
            | Command::Revoke { lease } => lease,
        }
    }
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Response {
    /// The requester holds the lease until the lease duration has passed since the requester sent
    /// the request.
    Granted {
        /// Fencing token of the grant, higher than that of any earlier grant of any lease.
        token: Token,
    },
    /// The lease was not granted to the requester.
    Unavailable {
        /// Owner that holds the lease; `None` if the lease is free but reserved for the first
        /// waiter, which has not repeated its request yet.
        holder: Option<Owner>,
        /// The requester's position in the queue, from 0; `None` if the requester is not in the
        /// queue.
        queue_position: Option<u32>,
    },
    /// The lease was released, expired or revoked, or the waiter removed.
    Done,
    /// The command changed nothing.
    Rejected(Rejection),
}

/// Reason for which a command was rejected without a change of any lease.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Error,
)]
pub enum Rejection {
    /// The owner, the token or the number of renewals does not match the current grant, or no such
    /// waiter exists.
    #[error("not held by this grant")]
    NotHolder,
    /// An operator has revoked the lease.
    #[error("revoked: the lease expires and can't be renewed")]
    Revoked,
    /// The command would create a lease, but [`LEASES_MAX`] leases exist already.
    #[error("the limit of {LEASES_MAX} leases is reached")]
    TooManyLeases,
    /// [`WAITERS_MAX`] owners wait for the lease.
    #[error("the queue is full: {WAITERS_MAX} owners wait for the lease")]
    QueueFull,
    /// The name of the lease or the member is not valid; see [`is_valid_name`].
    #[error("a name must have 1 to {NAME_MAX} bytes and no control characters")]
    InvalidName,
    /// The requested lease duration is not between [`DURATION_MIN`] and [`DURATION_MAX`].
    #[error("a lease duration must be between 100ms and 24h")]
    InvalidDuration,
}
