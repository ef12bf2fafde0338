//! Random numbers for seeds, which need not be cryptographically secure.

use std::hash::{BuildHasher, Hasher, RandomState};

/// Returns a random number that is seeded by the operating system.
pub fn random_u64() -> u64 {
    RandomState::new().build_hasher().finish()
}
