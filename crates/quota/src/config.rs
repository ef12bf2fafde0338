//! Configuration of a quota, and validation that it can be enforced.

use mintshelf_lease::timing::ClockError;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum number of members that share a quota.
pub const MEMBERS_MAX: u64 = 2_048;
/// Maximum total of a quota, in units. Bounded so that products and their sums do not overflow.
pub const TOTAL_MAX: u64 = 1 << 40;
/// Divisor that converts [`Quota::headroom_per_mille`] to a fraction.
const PER_MILLE: u64 = 1_000;
/// Maximum headroom, in thousandths.
const HEADROOM_PER_MILLE_MAX: u64 = 900;
/// Minimum duration of a grant.
const GRANT_DURATION_MIN: Nanos = 300 * MILLISECOND;
/// Maximum duration of a grant, and of the use of a unit.
const DURATION_MAX: Nanos = 3_600 * SECOND;

/// A limit for the whole fleet, in units: concurrent requests, connections, or requests per
/// second.
///
/// Log entries and snapshots encode it in the postcard format: the order of the fields is part of
/// that format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Quota {
    /// Units that all members together may use.
    pub total: u64,
    /// Units that each member may use without a grant.
    pub floor: u64,
    /// Maximum number of member processes that run at one time.
    pub max_members: u64,
    /// Fraction of [`Quota::grantable`] reserved for members that join, in thousandths.
    pub headroom_per_mille: u64,
    /// Duration of a grant, in nanoseconds. Each new grant starts a new duration.
    pub grant_duration: Nanos,
    /// Maximum time that a unit may stay in use after it was acquired, such as the maximum duration
    /// of a request. 0 for rates.
    pub max_use_duration: Nanos,
    /// Maximum rate error of the clocks of members and replicas.
    pub clock_error: ClockError,
}

/// Reason for which a quota can't be enforced, with the offending values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum QuotaError {
    /// Members without a leader, which use their floors, would together exceed the total.
    #[error(
        "floor {floor} x members {max_members} is {}, over the total of {total}: members without \
         a leader would exceed it; lower floor to {} or raise the total",
        u128::from(*floor) * u128::from(*max_members), total / max_members
    )]
    FloorsExceedTotal {
        /// Total of the quota, in units.
        total: u64,
        /// Floor of each member, in units.
        floor: u64,
        /// Maximum number of members that run at one time.
        max_members: u64,
    },
    /// The total is 0 or over [`TOTAL_MAX`].
    #[error("total is {0}: 1 to {TOTAL_MAX}")]
    InvalidTotal(u64),
    /// The number of members is 0 or over [`MEMBERS_MAX`].
    #[error("members is {0}: 1 to {MEMBERS_MAX}")]
    InvalidMemberCount(u64),
    /// The headroom leaves too little to allocate by demand.
    #[error("headroom is {0} in a thousand: at most {HEADROOM_PER_MILLE_MAX}")]
    InvalidHeadroom(u64),
    /// The grant duration is too short to be renewed in time, or too long.
    #[error("grant duration is {}ms: 300ms to 1h", .0 / MILLISECOND)]
    InvalidGrantDuration(Nanos),
    /// The maximum use duration is too long: expired grants would stay unavailable to other members
    /// for that time.
    #[error("a unit may be in use for {}s after it was acquired: at most 1h", .0 / SECOND)]
    InvalidUseDuration(Nanos),
}

impl Quota {
    /// Checks that the quota can be enforced.
    ///
    /// # Errors
    /// The first rule that is violated.
    pub fn check(&self) -> Result<(), QuotaError> {
        let Quota { total, floor, max_members, .. } = *self;
        if !(1..=TOTAL_MAX).contains(&total) {
            return Err(QuotaError::InvalidTotal(total));
        }
        if !(1..=MEMBERS_MAX).contains(&max_members) {
            return Err(QuotaError::InvalidMemberCount(max_members));
        }
        if u128::from(floor) * u128::from(max_members) > u128::from(total) {
            return Err(QuotaError::FloorsExceedTotal { total, floor, max_members });
        }
        if self.headroom_per_mille > HEADROOM_PER_MILLE_MAX {
            return Err(QuotaError::InvalidHeadroom(self.headroom_per_mille));
        }
        if !(GRANT_DURATION_MIN..=DURATION_MAX).contains(&self.grant_duration) {
            return Err(QuotaError::InvalidGrantDuration(self.grant_duration));
        }
        if self.max_use_duration > DURATION_MAX {
            return Err(QuotaError::InvalidUseDuration(self.max_use_duration));
        }
        Ok(())
    }

    /// Returns the units that can be granted: the total minus the floors of the maximum number of
    /// members, whether they run or not. 0 if the floors exceed the total.
    #[must_use]
    pub fn grantable(&self) -> u64 {
        self.total.saturating_sub(self.floor.saturating_mul(self.max_members))
    }

    /// Returns the units of [`Quota::grantable`] that are allocated by demand; the rest is the
    /// headroom for members that join.
    #[must_use]
    pub fn divided(&self) -> u64 {
        let grantable = u128::from(self.grantable());
        let divided_per_mille = PER_MILLE.saturating_sub(self.headroom_per_mille);
        let divided = grantable * u128::from(divided_per_mille) / u128::from(PER_MILLE);
        // Does not saturate: never more than `grantable`.
        u64::try_from(divided).unwrap_or(u64::MAX)
    }
}
