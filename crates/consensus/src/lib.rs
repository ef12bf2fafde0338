//! Raft consensus: replicas that agree on a log of commands and apply it to a state machine.
//!
//! Built on the `raft` crate. There is no I/O and no clock: time is an argument, and messages and
//! writes are returned for the driver of a [`replica::Replica`] to send and store.
//!
//! `docs/design/fleet.md` describes the design and the alternatives.
//!
//! The only replica of a fleet elects itself leader:
//!
//! ```
//! use mintshelf_consensus::persistent_state::PersistentState;
//! use mintshelf_consensus::replica::Replica;
//! use mintshelf_lease::timing::Timing;
//!
//! # fn main() -> Result<(), mintshelf_consensus::error::ReplicaError> {
//! let mut state = PersistentState::new_fleet(&[1]);
//! let mut replica: Replica = Replica::new(1, &state, &Timing::default(), 1)?;
//! let mut now = 0;
//! while !replica.status().is_leader {
//!     now += replica.tick_interval();
//!     replica.tick(now);
//!     while let Some(batch) = replica.next_batch(now)? {
//!         state.write(&batch);
//!         let messages = replica.batch_synced(now);
//!         assert!(messages.is_empty(), "there is no other replica to send to");
//!     }
//! }
//! # Ok(())
//! # }
//! ```

#![forbid(unsafe_code)]

mod election_timeout;
pub mod error;
mod lease_state_machine;
mod log;
pub mod message;
mod message_check;
pub mod persistent_state;
mod proposer;
mod raft_config;
pub mod replica;
pub mod replica_status;
pub mod state_machine;
pub mod write_batch;
