//! Timers by token, with the purpose of each.

use crate::api::{Action, AttemptNumber, RequestId};
use mintshelf_time::Nanos;
use std::collections::HashMap;

/// The purpose of a timer.
#[derive(Debug, Clone)]
pub(crate) enum Timer {
    /// An attempt counts as overdue if it has not ended.
    AttemptOverdue { id: RequestId, attempt: AttemptNumber },
    /// A held request is attempted again.
    HoldExpired(RequestId),
    /// A request no longer waits for load reports.
    ReportsDue(RequestId),
    /// Discovery is called.
    DiscoveryDue,
}

/// Timers that have been set and have neither fired nor been dropped.
#[derive(Debug, Default)]
pub(crate) struct TimerTable {
    by_token: HashMap<u64, Timer>,
    last_token: u64,
}

impl TimerTable {
    /// Sets a timer and returns its token.
    pub(crate) fn set(&mut self, after: Nanos, timer: Timer, actions: &mut Vec<Action>) -> u64 {
        self.last_token += 1;
        self.by_token.insert(self.last_token, timer);
        actions.push(Action::SetTimer { after: after.max(1), token: self.last_token });
        self.last_token
    }

    /// Removes a timer that fired and returns its purpose; `None` if it was dropped.
    pub(crate) fn take(&mut self, token: u64) -> Option<Timer> {
        self.by_token.remove(&token)
    }

    /// Drops a timer that is no longer needed. Timers of ended requests that were left to fire
    /// would occupy memory in proportion to the request rate times the latency objective.
    pub(crate) fn drop(&mut self, token: u64, actions: &mut Vec<Action>) {
        if self.by_token.remove(&token).is_some() {
            actions.push(Action::DropTimer { token });
        }
    }
}
