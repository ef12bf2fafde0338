//! The commands about leases that go through the replicated log, and the responses to them.
//!
//! Logs, snapshots and frames between processes hold these types in the postcard format: the
//! order of variants and fields is part of that format.

use crate::fence::Token;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most leases that have a holder or waiters at one time.
pub const LEASES_MAX: usize = 1_024;
/// Most waiters in the queue of one lease.
pub const WAITERS_MAX: usize = 64;
/// Longest name of a lease or a member, in bytes.
pub const NAME_MAX: usize = 128;
/// Shortest lease duration.
pub const DURATION_MIN: Nanos = 100 * MILLISECOND;
/// Longest lease duration.
pub const DURATION_MAX: Nanos = 86_400 * SECOND;

/// Whether a lease or a member may have this name: 1 to [`NAME_MAX`] bytes, no control
/// characters.
pub fn is_valid_name(name: &str) -> bool {
    (1..=NAME_MAX).contains(&name.len()) && !name.chars().any(char::is_control)
}

/// One incarnation of one member. A process that restarts has a higher incarnation, and does not
/// own the leases of its former one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the member.
    pub member: String,
    /// Number of its incarnation.
    pub incarnation: u64,
}

/// A command of the replicated log. Each is safe to send again, late or twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Command {
    /// Requests a lease. Sent again where the response was lost and, by a waiter, periodically to
    /// keep its place in the queue.
    Acquire {
        /// Name of the lease.
        lease: String,
        /// Who requests it.
        owner: Owner,
        /// Lease duration, which starts again with each renewal.
        duration: Nanos,
        /// Whether to join the queue while another owner holds the lease.
        wait: bool,
    },
    /// Renews a lease.
    Renew {
        /// Name of the lease.
        lease: String,
        /// Its holder.
        owner: Owner,
        /// Token of the grant to renew.
        token: Token,
    },
    /// Releases a lease when no operation under it is in progress. The token keeps a late copy
    /// from ending a later grant to the same owner.
    Release {
        /// Name of the lease.
        lease: String,
        /// Its holder.
        owner: Owner,
        /// Token of the grant to end.
        token: Token,
    },
    /// Leaves the queue of a lease.
    CancelWait {
        /// Name of the lease.
        lease: String,
        /// The waiter.
        owner: Owner,
    },
    /// The lease duration since one renewal has passed by the leader's clock.
    Expire {
        /// Name of the lease.
        lease: String,
        /// Token of the grant.
        token: Token,
        /// Number of renewals at the time of the count; void if there has been another.
        renewals: u64,
    },
    /// A waiter has not repeated its request for a lease duration.
    ExpireWaiter {
        /// Name of the lease.
        lease: String,
        /// The waiter.
        owner: Owner,
        /// Number of its requests at the time of the count; void if there has been another.
        requests: u64,
    },
    /// An operator revokes a lease: it is not renewed any more and expires. Ending it at once
    /// would give the lease two holders if the first can't be reached.
    Revoke {
        /// Name of the lease.
        lease: String,
    },
}

impl Command {
    /// Name of the lease that the command is about.
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
    /// The requester holds the lease until the lease duration has passed since its request.
    Granted {
        /// Token of the grant.
        token: Token,
    },
    /// The lease is not the requester's.
    Unavailable {
        /// Who holds it; `None` while the first in the queue has yet to collect it.
        holder: Option<Owner>,
        /// The requester's position in the queue, from 0; `None` if it is not in the queue.
        queue_position: Option<u32>,
    },
    /// The lease was released, expired or revoked, or the waiter removed.
    Done,
    /// Nothing changed.
    Rejected(Rejection),
}

/// Why a command changed nothing.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Error,
)]
pub enum Rejection {
    /// The owner, the token or the renewal is not that of the current grant.
    #[error("not held by this grant")]
    NotHolder,
    /// An operator has revoked the lease.
    #[error("revoked: it expires and is not renewed")]
    Revoked,
    /// [`LEASES_MAX`] leases exist.
    #[error("{LEASES_MAX} leases are held or waited for")]
    TooManyLeases,
    /// [`WAITERS_MAX`] owners wait for the lease.
    #[error("{WAITERS_MAX} wait for it")]
    QueueFull,
    /// See [`is_valid_name`].
    #[error("a name has 1 to {NAME_MAX} bytes and no control characters")]
    InvalidName,
    /// Not within [`DURATION_MIN`] and [`DURATION_MAX`].
    #[error("a lease duration is 100ms to 24h")]
    InvalidDuration,
}
