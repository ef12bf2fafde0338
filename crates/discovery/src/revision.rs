//! Accepts endpoint lists in the order of their revisions, and detects a reset of the service's
//! revision counter.
//!
//! Applying an older list would undo later drains and removals. Older lists come from replicas
//! that lag behind and from delayed responses; only a service whose counter was reset keeps
//! returning lower revisions.

use std::time::Duration;

/// Time during which complete lists must have had lower revisions before one of the lists is
/// accepted. A lagging replica has caught up by then. A longer time would not fit into the 4 s
/// within which the platform requires changes to be applied after discovery has changed its
/// address.
pub const RESET_CONFIRMATION: Duration = Duration::from_millis(1_000);
/// Interval between calls to discovery while a reset of the revision counter is unconfirmed.
pub const RESET_POLL_INTERVAL: Duration = Duration::from_millis(350);

/// Whether the response of a call to discovery is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evaluation {
    /// Apply the response.
    Accept,
    /// Ignore the response, and make the [`ResetCheck`] after [`RESET_POLL_INTERVAL`].
    Suspect,
}

/// Request to make while a reset is unconfirmed. Complete lists of a large fleet are long, and all
/// sidecars request them at the same time, so only the changes are requested where they suffice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResetCheck {
    /// Request the complete list.
    CompleteList,
    /// Request the changes after this revision, without waiting for new ones.
    ChangesAfter(u64),
}

/// A sequence of complete lists whose revisions were all below the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Regression {
    /// Time at which the first list of the sequence arrived.
    since: Duration,
    /// Revision of the last list of the sequence.
    last_revision: u64,
}

/// Tracks the revision of the applied list and a regression to lower revisions.
///
/// ```
/// use mintshelf_discovery::revision::{Evaluation, RevisionTracker, RESET_CONFIRMATION};
/// use std::time::Duration;
///
/// let mut tracker = RevisionTracker::default();
/// tracker.accept(41);
/// assert_eq!(tracker.evaluate(Duration::ZERO, 3, true), Evaluation::Suspect);
/// assert_eq!(tracker.evaluate(RESET_CONFIRMATION, 3, true), Evaluation::Accept);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RevisionTracker {
    current: u64,
    regression: Option<Regression>,
}

impl RevisionTracker {
    /// Returns the last accepted revision; 0 before the first.
    #[must_use]
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Evaluates a response with `revision` that arrived at `now`. `is_complete` states that it
    /// contains the complete list and was received to its end. After applying the response, the
    /// caller calls [`Self::accept`].
    #[must_use]
    pub fn evaluate(&mut self, now: Duration, revision: u64, is_complete: bool) -> Evaluation {
        if revision >= self.current {
            self.regression = None;
            return Evaluation::Accept;
        }
        if !is_complete {
            return Evaluation::Suspect;
        }
        let since = match self.regression {
            Some(regression) if revision >= regression.last_revision => regression.since,
            // Lower still: a different replica from the one observed so far.
            _ => now,
        };
        if now.saturating_sub(since) >= RESET_CONFIRMATION {
            self.regression = None;
            return Evaluation::Accept;
        }
        self.regression = Some(Regression { since, last_revision: revision });
        Evaluation::Suspect
    }

    /// Returns the request to make next at `now` after a suspect response.
    #[must_use]
    pub fn reset_check(&self, now: Duration) -> ResetCheck {
        let is_open =
            |regression: &Regression| now.saturating_sub(regression.since) < RESET_CONFIRMATION;
        match self.regression.filter(is_open) {
            Some(regression) => ResetCheck::ChangesAfter(regression.last_revision),
            None => ResetCheck::CompleteList,
        }
    }

    /// Sets the revision of the list that is now applied.
    pub fn accept(&mut self, revision: u64) {
        self.current = revision;
    }
}
