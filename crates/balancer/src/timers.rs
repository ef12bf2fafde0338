//! Timers by token, with what each is for.

use crate::api::{Action, Nanos};
use std::collections::HashMap;

/// Timers that have been set and have neither fired nor been dropped.
#[derive(Debug)]
pub struct TimerTable<W> {
    by_token: HashMap<u64, W>,
    last: u64,
}

impl<W> Default for TimerTable<W> {
    fn default() -> Self {
        TimerTable { by_token: HashMap::new(), last: 0 }
    }
}

impl<W> TimerTable<W> {
    /// Asks to be woken after a span; the timer's token.
    pub fn set(&mut self, after: Nanos, what: W, out: &mut Vec<Action>) -> u64 {
        self.last += 1;
        self.by_token.insert(self.last, what);
        out.push(Action::SetTimer { after: after.max(1), token: self.last });
        self.last
    }

    /// What a timer that fired is for; none if it was dropped.
    pub fn take(&mut self, token: u64) -> Option<W> {
        self.by_token.remove(&token)
    }

    /// Drops a timer that is of no more use. Danger: left to fire, the timers of
    /// ended requests would hold memory by rate times aim.
    pub fn drop(&mut self, token: u64, out: &mut Vec<Action>) {
        if self.by_token.remove(&token).is_some() {
            out.push(Action::DropTimer { token });
        }
    }
}
