//! The planned end of a process: how long what is still open may wait, and what it is told
//! when that is over.
//!
//! Between the signal that announces the end and the one that cannot be caught lies a time
//! that the platform guarantees (PROTOCOL, "Figures"). Whatever is not answered in it is
//! lost, however patient its client is.

use mintshelf_balancer::api::{Effect, Nanos};

/// The longest deadline counts for so much at most.
const LONGEST_COUNTED: Nanos = 3_000_000_000;
/// The process has so long on top of the longest deadline.
const GRACE: Nanos = 700_000_000;
/// Answers are on their way so long before that time is over: for their writing, and for a
/// machine that is busy because much ends at once.
const MARGIN: Nanos = 250_000_000;

/// An end that has been announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    cut_at: Nanos,
}

/// What a request that is given up on is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Trying again is harmless.
    Refuse,
    /// Nothing is promised: it may have run, and a repeat could be a second effect.
    Fail,
}

impl ShutdownDeadlines {
    /// Announced at `begun`; `longest` is the longest deadline of any class.
    pub fn new(begun: Nanos, longest: Nanos) -> Self {
        let given = longest.min(LONGEST_COUNTED) + GRACE - MARGIN;
        ShutdownDeadlines { cut_at: begun.saturating_add(given) }
    }

    /// When everything that is still open gets its final answer.
    pub fn cut_at(&self) -> Nanos {
        self.cut_at
    }

    /// How long a request that is taken now may wait, if its client waits for `asked`; none
    /// once there is no time left to serve any.
    pub fn patience(&self, now: Nanos, asked: Nanos) -> Option<Nanos> {
        let left = self.cut_at.checked_sub(now).filter(|left| *left > 0)?;
        Some(asked.min(left))
    }

    /// What a request of a class is told that is given up on. A safe one may always be
    /// repeated. Danger: a keyed one only within its window, and how long its client will
    /// take is not known here.
    pub fn verdict(effect: Effect, may_have_run: bool) -> Verdict {
        match (effect, may_have_run) {
            (Effect::Safe, _) | (_, false) => Verdict::Refuse,
            (Effect::Idempotent | Effect::Unsafe, true) => Verdict::Fail,
        }
    }
}
