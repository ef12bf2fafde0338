//! The state machine that replicas agree on, and the local state that goes with it at one replica.

use mintshelf_lease::timing::ClockError;
use mintshelf_time::Nanos;
use serde::{de::DeserializeOwned, Serialize};

/// A replicated state machine. Each replica applies the same commands in the same order; time
/// enters by commands only, which the leader proposes by its own clock.
///
/// Snapshots hold it in the postcard format, and log entries its commands.
pub trait StateMachine: Default + Serialize + DeserializeOwned {
    /// An entry of the log. Each must be safe to send again, late or twice.
    type Command: Serialize + DeserializeOwned;
    /// The result of a command.
    type Response;
    /// State of one replica that is not replicated, such as the leader's timers.
    type LocalState;

    /// The local state of a replica that is not the leader.
    fn new_local_state(clock_error: ClockError) -> Self::LocalState;

    /// Applies a committed command.
    fn apply(&mut self, command: &Self::Command) -> Self::Response;

    /// Updates the local state after a command has been applied.
    fn command_applied(&self, now: Nanos, command: &Self::Command, local: &mut Self::LocalState);

    /// This replica has become the leader: the count of each duration starts again.
    fn become_leader(&self, now: Nanos, local: &mut Self::LocalState);

    /// This replica is not the leader any more.
    fn step_down(local: &mut Self::LocalState);

    /// Whether the local state is that of a leader.
    fn is_leader(local: &Self::LocalState) -> bool;

    /// The commands that are to be proposed now.
    fn due_commands(now: Nanos, local: &mut Self::LocalState) -> Vec<Self::Command>;
}

/// Decodes a snapshot; empty data is the state before the first command.
pub(crate) fn decode_snapshot<M: StateMachine>(data: &[u8]) -> Result<M, postcard::Error> {
    if data.is_empty() {
        return Ok(M::default());
    }
    postcard::from_bytes(data)
}
