//! What stands between a voter and the machine: its store. Links between processes come next.

#![forbid(unsafe_code)]

pub mod store;
