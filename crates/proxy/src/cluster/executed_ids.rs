//! Ids of requests that a server may have run and that must not run again.
//!
//! A client that left before its response may send the request again, on another connection and
//! with the same id. By then the request is no longer pending.

use std::collections::{HashSet, VecDeque};
use std::hash::{BuildHasher, Hash, RandomState};

/// Number of ids that are remembered, the latest ones. At 130 such requests a second, an id is
/// remembered for two minutes.
pub const CAPACITY: usize = 16_384;

/// The ids of the latest requests that may have run and must not run again. Each takes 17 to 34
/// bytes; the oldest is forgotten for the next one.
#[derive(Debug, Default)]
pub struct ExecutedIds {
    /// Hashes of the ids, with a random seed of the process: clients cannot provoke collisions.
    hasher: RandomState,
    hashes: HashSet<u64>,
    oldest_first: VecDeque<u64>,
}

impl ExecutedIds {
    /// Remembers an id.
    pub fn insert(&mut self, id: &impl Hash) {
        let hash = self.hasher.hash_one(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.oldest_first.push_back(hash);
        if self.oldest_first.len() > CAPACITY {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.hashes.remove(&oldest);
            }
        }
    }

    /// Returns whether an id is remembered.
    #[must_use]
    pub fn contains(&self, id: &impl Hash) -> bool {
        self.hashes.contains(&self.hasher.hash_one(id))
    }
}
