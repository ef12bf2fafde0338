//! Consensus: replicas that agree on a log of commands, and the state machine on top of it.
//!
//! The `raft` crate is driven from outside. No I/O and no clock: time is an argument, messages
//! and writes are handed out, and whoever drives a [`replica::Replica`] sends and stores them.
//!
//! `docs/fleet-design.md` has the reasons and the alternatives.

#![forbid(unsafe_code)]

mod log;
pub mod replica;
pub mod state_machine;
