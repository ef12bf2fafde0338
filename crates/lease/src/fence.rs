//! Fencing token check at a protected resource: rejects tokens lower than the highest one seen,
//! which is persisted over restarts.
//!
//! This is the only check that rejects a holder whose process was paused between its own lease
//! check and its operation until the lease had expired (Kleppmann, "How to do distributed locking",
//! 2016; Chubby's sequencers, OSDI 2006).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// Fencing token of a grant. A later grant of any lease has a higher token; 0 is never granted.
pub type Token = u64;

/// Maximum number of resources whose tokens one fence stores.
pub const RESOURCES_MAX: usize = 4_096;

/// Highest token seen, by resource. The process that owns the fence persists it in the postcard
/// format.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<String, Token>,
}

/// Condition under which an admitted operation may begin.
#[must_use]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Immediately: the token is the highest seen and already persisted.
    Stored,
    /// After the changed fence is persisted. Otherwise a crash would lose the token, and a lower
    /// one would be admitted afterwards.
    StoreFirst,
}

/// Reason for which a [`Fence`] rejects an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FenceError {
    /// The token is lower than the token of a later holder that has used the resource.
    #[error("token {token} is lower than {highest}, the highest seen: a later holder has acted")]
    Stale {
        /// Token of the operation.
        token: Token,
        /// Highest token that the fence has admitted for the resource.
        highest: Token,
    },
    /// Token 0, which is never granted.
    #[error("token 0 is never granted")]
    ZeroToken,
    /// The resource is new, and [`RESOURCES_MAX`] resources have tokens already.
    #[error("the fence already stores tokens of {RESOURCES_MAX} resources")]
    Full,
}

impl Fence {
    /// Admits an operation on a resource unless its token is stale.
    ///
    /// # Errors
    /// The token is 0 or lower than one seen before, or there is no capacity for a new resource.
    /// Entries are never evicted, since a lower token would then be admitted.
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

    /// Returns the highest token admitted for a resource; 0 if no token was admitted.
    #[must_use]
    pub fn highest(&self, resource: &str) -> Token {
        self.highest.get(resource).copied().unwrap_or(0)
    }
}
