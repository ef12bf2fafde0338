//! The world of the proofs in virtual time.
pub mod world;
