//! Deadlines of a graceful shutdown: how long requests that are still open may wait, and which
//! response they get when that time is over.
//!
//! The platform guarantees a time between the signal that announces the shutdown and the one that
//! kills the process (PROTOCOL, "Figures"). A request without a response by then is lost, however
//! long its client would wait.

use mintshelf_balancer::api::Effect;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Longest deadline of a class for which the platform waits.
const MAX_COUNTED_DEADLINE: Nanos = 3 * SECOND;
/// Time that the platform grants the process on top of that deadline.
const GRACE_PERIOD: Nanos = 700 * MILLISECOND;
/// Final responses are written this long before the process is killed: for the writing itself,
/// and for a machine that is busy because many processes end at once.
const WRITE_MARGIN: Nanos = 250 * MILLISECOND;

/// The deadlines of a shutdown that has been announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    final_response_at: Nanos,
}

/// The final response to a request that is still open when the time is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalResponse {
    /// Rejected: a retry by the client is harmless.
    Reject,
    /// Failed: it may have run, and a retry could repeat its effect.
    Fail,
}

impl ShutdownDeadlines {
    /// For a shutdown announced at `announced_at`, where `longest_deadline` is the longest of any
    /// class.
    #[must_use]
    pub fn new(announced_at: Nanos, longest_deadline: Nanos) -> Self {
        let remaining = longest_deadline.min(MAX_COUNTED_DEADLINE) + GRACE_PERIOD - WRITE_MARGIN;
        ShutdownDeadlines { final_response_at: announced_at.saturating_add(remaining) }
    }

    /// When everything that is still open gets its final response.
    #[must_use]
    pub fn final_response_at(&self) -> Nanos {
        self.final_response_at
    }

    /// How long a request that arrives now may wait, where its client waits for
    /// `client_timeout`; `None` once no time is left.
    #[must_use]
    pub fn limit_timeout(&self, now: Nanos, client_timeout: Nanos) -> Option<Nanos> {
        let remaining = self.final_response_at.checked_sub(now).filter(|left| *left > 0)?;
        Some(client_timeout.min(remaining))
    }

    /// The final response to a request with this effect. A safe one may always be repeated. An
    /// idempotent one may be repeated only within its deduplication window, and how long its
    /// client will take is not known here.
    #[must_use]
    pub fn final_response(effect: Effect, may_have_run: bool) -> FinalResponse {
        match (effect, may_have_run) {
            (Effect::Safe, _) | (_, false) => FinalResponse::Reject,
            (Effect::Idempotent | Effect::Unsafe, true) => FinalResponse::Fail,
        }
    }
}
