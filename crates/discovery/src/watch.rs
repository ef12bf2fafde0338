//! How long the calls of a watch may wait, and what follows when one ends.
//!
//! A change counts as told 6 s after discovery had it and could be reached, whatever call
//! failed, was refused or was given up. A watch that has fallen silent looks like one without
//! news, so no call may wait for longer than leaves time to notice, connect and ask once more.

use std::time::Duration;

/// How long a call of a watch that goes well waits for news: half of that time. Calls cost the
/// service work for every sidecar; shorter ones would cost more and tell nothing sooner.
const WAIT: Duration = Duration::from_secs(3);
/// The first call of a watch shows whether it can go well.
const FIRST_WAIT: Duration = Duration::from_secs(1);
/// An answer is overdue so long after its wait is over: it comes out of turn then.
const GRACE: Duration = Duration::from_millis(400);
/// The same for a first call: the service may still be working through a crowd's calls in turn.
const FIRST_GRACE: Duration = Duration::from_millis(1_500);

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// With a whole answer.
    Answered,
    /// With nothing in its time.
    Silent,
    /// With a refusal, a break, or an answer that can't be read.
    Failed,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The next call of the watch.
    GoOn,
    /// A new watch, at once, on a new connection.
    Anew,
    /// The watch has failed: a new one after a wait.
    Fail,
}

/// A watch as its calls have shown it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watch {
    answered: bool,
}

impl Watch {
    /// How long the next call waits for news.
    pub fn wait(&self) -> Duration {
        if self.answered {
            WAIT
        } else {
            FIRST_WAIT
        }
    }

    /// How much longer its answer may take.
    pub fn grace(&self) -> Duration {
        if self.answered {
            GRACE
        } else {
            FIRST_GRACE
        }
    }

    /// Notes how a call ended. Where a watch that went well fell silent a new one begins at once:
    /// the time it has missed is gone, and as many fall silent together, their calls do not end
    /// together. Calls that fail are those that come together, and may have been too many.
    pub fn ended(&mut self, end: CallEnd) -> Next {
        let answered = std::mem::replace(&mut self.answered, end == CallEnd::Answered);
        match end {
            CallEnd::Answered => Next::GoOn,
            CallEnd::Silent if answered => Next::Anew,
            CallEnd::Silent | CallEnd::Failed => Next::Fail,
        }
    }
}
