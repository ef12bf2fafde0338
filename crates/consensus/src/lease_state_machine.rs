//! Implements [`StateMachine`] for leases. The leader's expiry timers are the local state.

use crate::state_machine::StateMachine;
use mintshelf_lease::command::{Command, Response};
use mintshelf_lease::expiry::LeaseExpiry;
use mintshelf_lease::lease::Leases;
use mintshelf_lease::timing::ClockError;
use mintshelf_time::Nanos;

impl StateMachine for Leases {
    type Command = Command;
    type Response = Response;
    type LocalState = LeaseExpiry;

    fn new_local_state(clock_error: ClockError) -> LeaseExpiry {
        LeaseExpiry::new(clock_error)
    }

    fn apply(&mut self, command: &Command) -> Response {
        Leases::apply(self, command)
    }

    fn command_applied(&self, now: Nanos, command: &Command, local: &mut LeaseExpiry) {
        local.command_applied(now, self, command.lease());
    }

    fn become_leader(&self, now: Nanos, local: &mut LeaseExpiry) {
        local.become_leader(now, self);
    }

    fn step_down(local: &mut LeaseExpiry) {
        local.step_down();
    }

    fn is_leader(local: &LeaseExpiry) -> bool {
        local.is_leader()
    }

    fn due_commands(now: Nanos, local: &mut LeaseExpiry) -> Vec<Command> {
        local.due_commands(now)
    }
}
