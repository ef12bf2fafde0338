//! Who is acted upon: the highest fencing token seen for each resource, over restarts.
//!
//! A holder that was stopped between its check and its act, past its span, is refused here and
//! nowhere else (Kleppmann, "How to do distributed locking", 2016; Chubby's sequencers, OSDI 2006).

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// A lease's fencing token. A later grant of any lease has a higher one.
pub type Token = u64;

/// How many resources one fence keeps tokens of.
pub const RESOURCES_MAX: usize = 4_096;

/// Highest tokens by resource.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<String, Token>,
}

/// An act that may begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admitted {
    /// The token is the highest seen and has been stored.
    Known,
    /// The fence has changed: store it, then begin the act. Begun before, a crash would forget
    /// the token and let a lower one pass.
    StoreFirst,
}

/// Why an act may not begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FenceError {
    /// A later holder has acted.
    #[error(
        "token {token} is lower than {highest}, which has been seen: a later holder has acted"
    )]
    Stale {
        /// The act's.
        token: Token,
        /// The highest seen.
        highest: Token,
    },
    /// No token is ever 0.
    #[error("token 0 is nobody's")]
    Nobody,
    /// Too many resources.
    #[error("a fence keeps tokens of {RESOURCES_MAX} resources at most")]
    Full,
}

impl Fence {
    /// Whether an act with a token may begin at a resource.
    ///
    /// # Errors
    /// The token is lower than one seen before, or there is no room for a new resource: refused,
    /// since an entry given up to make room would be a token forgotten.
    pub fn admit(&mut self, resource: &str, token: Token) -> Result<Admitted, FenceError> {
        if token == 0 {
            return Err(FenceError::Nobody);
        }
        let full = self.highest.len() >= RESOURCES_MAX;
        match self.highest.get_mut(resource) {
            Some(highest) if token < *highest => {
                Err(FenceError::Stale { token, highest: *highest })
            }
            Some(highest) if token == *highest => Ok(Admitted::Known),
            Some(highest) => {
                *highest = token;
                Ok(Admitted::StoreFirst)
            }
            None if full => Err(FenceError::Full),
            None => {
                self.highest.insert(resource.to_owned(), token);
                Ok(Admitted::StoreFirst)
            }
        }
    }

    /// The highest token seen for a resource; 0 for none.
    pub fn highest(&self, resource: &str) -> Token {
        self.highest.get(resource).copied().unwrap_or(0)
    }
}
