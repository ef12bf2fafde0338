//! What the voters agree on, as one of them sees it: a state without a clock, and the counts that
//! go with it while this voter leads.

use mintshelf_lease::command::{Command, Response};
use mintshelf_lease::expiry::LeaseExpiry;
use mintshelf_lease::lease::Leases;
use mintshelf_lease::timing::{ClockError, Nanos};
use serde::{de::DeserializeOwned, Serialize};

/// A replicated state machine. Each voter applies the same commands in the same order; time
/// enters by commands only, which the leader proposes when its own clock says so.
pub trait Machine: Default + Serialize + DeserializeOwned {
    /// What can be agreed on. Sent again, late or twice none may do harm.
    type Command: Serialize + DeserializeOwned;
    /// What came of one.
    type Answer;
    /// What the leader counts.
    type Counts;

    /// The counts of one that does not lead.
    fn counts(error: ClockError) -> Self::Counts;

    /// Applies what is agreed.
    fn apply(&mut self, command: &Self::Command) -> Self::Answer;

    /// A command has been applied, by which the state is what it is.
    fn applied(&self, now: Nanos, command: &Self::Command, counts: &mut Self::Counts);

    /// This voter leads from now on: all spans run anew.
    fn lead(&self, now: Nanos, counts: &mut Self::Counts);

    /// This voter does not lead any more.
    fn follow(counts: &mut Self::Counts);

    /// Whether it counts as one that leads.
    fn leads(counts: &Self::Counts) -> bool;

    /// What is to be proposed now.
    fn due(now: Nanos, counts: &mut Self::Counts) -> Vec<Self::Command>;
}

impl Machine for Leases {
    type Command = Command;
    type Answer = Response;
    type Counts = LeaseExpiry;

    fn counts(error: ClockError) -> LeaseExpiry {
        LeaseExpiry::new(error)
    }

    fn apply(&mut self, command: &Command) -> Response {
        Leases::apply(self, command)
    }

    fn applied(&self, now: Nanos, command: &Command, counts: &mut LeaseExpiry) {
        counts.command_applied(now, self, command.lease());
    }

    fn lead(&self, now: Nanos, counts: &mut LeaseExpiry) {
        counts.become_leader(now, self);
    }

    fn follow(counts: &mut LeaseExpiry) {
        counts.step_down();
    }

    fn leads(counts: &LeaseExpiry) -> bool {
        counts.is_leader()
    }

    fn due(now: Nanos, counts: &mut LeaseExpiry) -> Vec<Command> {
        counts.due_commands(now)
    }
}
