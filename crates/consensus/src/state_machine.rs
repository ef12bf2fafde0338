//! The interface of a replicated state machine, and of the state that each replica keeps beside it
//! without replicating it.

use mintshelf_lease::timing::ClockError;
use mintshelf_time::Nanos;
use serde::{de::DeserializeOwned, Serialize};

/// A replicated state machine. All replicas apply the same commands in the same order. The state
/// machine has no clock: the leader measures time and proposes commands when something is due.
///
/// Snapshots contain the state and log entries the commands, both in the postcard format.
pub trait StateMachine: Default + Serialize + DeserializeOwned {
    /// A command in the log. Applying it late or more than once must be safe, since senders repeat
    /// commands.
    type Command: Serialize + DeserializeOwned;
    /// The result of applying a command.
    type Response;
    /// State that is not replicated, such as the leader's timers.
    type LocalState;

    /// Creates the local state of a replica that is not the leader.
    fn new_local_state(clock_error: ClockError) -> Self::LocalState;

    /// Applies a committed command.
    fn apply(&mut self, command: &Self::Command) -> Self::Response;

    /// Updates the local state after `command` has been applied.
    fn command_applied(&self, now: Nanos, command: &Self::Command, local: &mut Self::LocalState);

    /// Updates the local state when this replica becomes the leader: all durations are counted from
    /// `now`.
    fn become_leader(&self, now: Nanos, local: &mut Self::LocalState);

    /// Updates the local state when this replica is no longer the leader.
    fn step_down(local: &mut Self::LocalState);

    /// Returns whether the local state is that of a leader.
    fn is_leader(local: &Self::LocalState) -> bool;

    /// Returns the commands that the leader must propose at `now`.
    fn due_commands(now: Nanos, local: &mut Self::LocalState) -> Vec<Self::Command>;
}

/// Decodes the state machine in a snapshot's data. Empty data, as in a new fleet's first snapshot,
/// gives the initial state.
pub(crate) fn decode_snapshot<M: StateMachine>(data: &[u8]) -> Result<M, postcard::Error> {
    if data.is_empty() {
        return Ok(M::default());
    }
    postcard::from_bytes(data)
}
