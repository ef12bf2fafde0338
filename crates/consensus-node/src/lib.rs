//! What stands between the fleet's decisions and the machine: a voter's store, the links between
//! processes, the clock, and a member that holds a lease.

#![forbid(unsafe_code)]

pub mod client;
pub mod clock;
pub mod frame;
pub mod node;
pub mod store;
