//! The decision module on the simulator's wire.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod host;
pub mod wire;
