//! A budget as an operator states it, and whether it can be kept.

use mintshelf_lease::timing::{ClockError, Nanos, MS, SECOND};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Most members that a budget can be divided among.
pub const MEMBERS_MAX: u64 = 2_048;
/// Most units of a whole, so that sums of products fit their integers.
pub const WHOLE_MAX: u64 = 1 << 40;

/// A limit that holds for the whole fleet, in units: requests at once, connections, or requests
/// a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Budget {
    /// What all members together may use.
    pub whole: u64,
    /// What each may use without asking anybody.
    pub floor: u64,
    /// Most processes that run at one time.
    pub members: u64,
    /// Of what is over the floors, the part in a thousand that is kept for members that join.
    pub reserve: u64,
    /// How long a promise holds.
    pub span: Nanos,
    /// How long a unit may stay in use after it was taken: a request's longest time. Nothing for
    /// rates.
    pub hold: Nanos,
    /// By how much clocks may be off.
    pub error: ClockError,
}

/// Why a budget can't be kept, with the sum.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BudgetProblem {
    /// Without voters, members would use more than the whole.
    #[error(
        "floor {floor} x members {members} is {}, over the whole of {whole}: members that can't \
         hear the voters would pass it; lower floor to {} or raise the whole",
        u128::from(*floor) * u128::from(*members), whole / members
    )]
    Floors {
        /// As stated.
        whole: u64,
        /// As stated.
        floor: u64,
        /// As stated.
        members: u64,
    },
    /// Nobody could use it.
    #[error("whole is {0}: 1 to {WHOLE_MAX}")]
    Whole(u64),
    /// Nobody to divide it among, or too many.
    #[error("members is {0}: 1 to {MEMBERS_MAX}")]
    Members(u64),
    /// More than there is.
    #[error("reserve is {0} in a thousand: at most 900")]
    Reserve(u64),
    /// A promise would be over before it could be asked for again.
    #[error("span is {}ms: 300ms to 1h", .0 / MS)]
    Span(Nanos),
    /// What was taken would block what is freed for longer than anyone waits.
    #[error("a unit may be in use for {}s after it was taken: at most 1h", .0 / SECOND)]
    Hold(Nanos),
}

impl Budget {
    /// Whether it can be kept; the first reason why not.
    pub fn check(&self) -> Result<(), BudgetProblem> {
        let Budget { whole, floor, members, reserve, span, hold, .. } = *self;
        if !(1..=WHOLE_MAX).contains(&whole) {
            return Err(BudgetProblem::Whole(whole));
        }
        if !(1..=MEMBERS_MAX).contains(&members) {
            return Err(BudgetProblem::Members(members));
        }
        if u128::from(floor) * u128::from(members) > u128::from(whole) {
            return Err(BudgetProblem::Floors { whole, floor, members });
        }
        if reserve > 900 {
            return Err(BudgetProblem::Reserve(reserve));
        }
        if !(300 * MS..=3_600 * SECOND).contains(&span) {
            return Err(BudgetProblem::Span(span));
        }
        if hold > 3_600 * SECOND {
            return Err(BudgetProblem::Hold(hold));
        }
        Ok(())
    }

    /// What is divided: the whole less all floors, whether their members run or not. Nothing if
    /// the budget does not hold its check.
    pub fn divisible(&self) -> u64 {
        self.whole.saturating_sub(self.floor.saturating_mul(self.members))
    }

    /// What of that is divided by need; the rest waits for members that join.
    pub fn divided(&self) -> u64 {
        let divisible = u128::from(self.divisible());
        (divisible * u128::from(1_000 - self.reserve.min(1_000)) / 1_000) as u64
    }
}
