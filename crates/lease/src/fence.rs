//! The check of fencing tokens at a protected resource: the highest token seen, over restarts.
//!
//! A holder that was stopped between its check and its operation, past its lease, is rejected
//! here and nowhere else (Kleppmann, "How to do distributed locking", 2016; Chubby's sequencers,
//! OSDI 2006).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// A lease's fencing token. A later grant of any lease has a higher one; 0 is no grant's.
pub type Token = u64;

/// Most resources that one fence keeps tokens of.
pub const RESOURCES_MAX: usize = 4_096;

/// Highest token seen, by resource. Its owner stores it in the postcard format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<String, Token>,
}

/// How an operation that is admitted may begin.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// At once: the token is the highest seen and is stored already.
    Stored,
    /// After the fence, which has changed, is stored. Begun before, a crash would forget the
    /// token and admit a lower one.
    StoreFirst,
}

/// Why an operation may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FenceError {
    /// A later holder has acted.
    #[error(
        "token {token} is lower than {highest}, which has been seen: a later holder has acted"
    )]
    Stale {
        /// Token of the operation.
        token: Token,
        /// Highest token seen.
        highest: Token,
    },
    /// Token 0, which no grant has.
    #[error("token 0 is not a grant's")]
    ZeroToken,
    /// [`RESOURCES_MAX`] resources have tokens, and this one has none.
    #[error("a fence keeps tokens of {RESOURCES_MAX} resources at most")]
    Full,
}

impl Fence {
    /// Whether an operation with this token may begin at a resource.
    ///
    /// # Errors
    /// The token is 0 or lower than one seen before, or there is no capacity for a new resource:
    /// an entry evicted for it would be a token forgotten.
    pub fn admit(&mut self, resource: &str, token: Token) -> Result<Admission, FenceError> {
        if token == 0 {
            return Err(FenceError::ZeroToken);
        }
        let is_full = self.highest.len() >= RESOURCES_MAX;
        match self.highest.get_mut(resource) {
            Some(highest) if token < *highest => {
                Err(FenceError::Stale { token, highest: *highest })
            }
            Some(highest) if token == *highest => Ok(Admission::Stored),
            Some(highest) => {
                *highest = token;
                Ok(Admission::StoreFirst)
            }
            None if is_full => Err(FenceError::Full),
            None => {
                self.highest.insert(resource.to_owned(), token);
                Ok(Admission::StoreFirst)
            }
        }
    }

    /// The highest token seen for a resource; 0 for none.
    #[must_use]
    pub fn highest(&self, resource: &str) -> Token {
        self.highest.get(resource).copied().unwrap_or(0)
    }
}
