//! Pending timers and their purposes, by token.

use crate::api::{Action, AttemptNumber, RequestId};
use mintshelf_time::Nanos;
use std::collections::HashMap;

/// The purpose of a timer.
#[derive(Debug, Clone)]
pub(crate) enum Timer {
    /// An attempt that has not ended becomes overdue.
    AttemptOverdue { id: RequestId, attempt: AttemptNumber },
    /// The hold of a request ends; the request is attempted again.
    HoldExpired(RequestId),
    /// A request stops waiting for load reports.
    ReportsDue(RequestId),
    /// The next call to discovery is due.
    DiscoveryDue,
}

/// Timers that were set and have neither fired nor been dropped.
#[derive(Debug, Default)]
pub(crate) struct TimerTable {
    by_token: HashMap<u64, Timer>,
    last_token: u64,
}

impl TimerTable {
    /// Sets a timer and returns the token that identifies the timer.
    pub(crate) fn set(&mut self, after: Nanos, timer: Timer, actions: &mut Vec<Action>) -> u64 {
        self.last_token += 1;
        self.by_token.insert(self.last_token, timer);
        actions.push(Action::SetTimer { after: after.max(1), token: self.last_token });
        self.last_token
    }

    /// Removes a timer that fired; returns its purpose, or `None` if the timer was dropped.
    pub(crate) fn take(&mut self, token: u64) -> Option<Timer> {
        self.by_token.remove(&token)
    }

    /// Drops a timer that is no longer needed. If the timers of ended requests were left to fire,
    /// their memory would grow with the request rate times the latency objective.
    pub(crate) fn drop(&mut self, token: u64, actions: &mut Vec<Action>) {
        if self.by_token.remove(&token).is_some() {
            actions.push(Action::DropTimer { token });
        }
    }
}
