//! Random number generator that returns the same numbers for the same seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The random number generator of one instance.
#[derive(Debug)]
pub struct Rng(Pcg64Mcg);

impl Rng {
    /// Creates a generator; equal seeds give equal sequences.
    pub fn new(seed: u64) -> Self {
        Rng(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Returns a uniform number in [0, 1).
    pub fn draw(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a uniform index into a list of `length` items; 0 for an empty list.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is at least 0 and below the length"
    )]
    pub fn draw_index(&mut self, length: usize) -> usize {
        (self.draw() * length as f64) as usize
    }

    /// Returns a uniform integer below `bound`; 0 if `bound` is 0.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is at least 0 and below the bound"
    )]
    pub fn draw_below(&mut self, bound: u32) -> u32 {
        (self.draw() * f64::from(bound)) as u32
    }
}

/// Hashes a number identically on every instance (the finalizer of `SplitMix64`).
pub fn hash(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
