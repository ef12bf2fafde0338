//! Deadlines of a graceful shutdown: how long open requests may still take, and which response they
//! get at the deadline.
//!
//! The platform guarantees a minimum time between the signal that announces the shutdown and the
//! one that kills the process (PROTOCOL, "Figures"). A request without a response by then is lost,
//! regardless of how long its client would wait.

use mintshelf_balancer::api::Effect;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Maximum class deadline that the platform takes into account.
const MAX_COUNTED_DEADLINE: Nanos = 3 * SECOND;
/// Time that the platform adds to the class deadline before it kills the process.
const GRACE_PERIOD: Nanos = 700 * MILLISECOND;
/// Final responses are written this long before the process is killed. This leaves time for the
/// writes, also on a machine that is busy because many processes shut down at once.
const WRITE_MARGIN: Nanos = 250 * MILLISECOND;

/// Deadlines of an announced shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    final_response_at: Nanos,
}

/// The final response to a request that is still open at the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalResponse {
    /// Rejected: the client can retry safely.
    Reject,
    /// Failed: the request may have run, and a retry could repeat its effect.
    Fail,
}

impl ShutdownDeadlines {
    /// Deadlines of a shutdown announced at `announced_at`; `longest_deadline` is the longest
    /// deadline of any class.
    #[must_use]
    pub fn new(announced_at: Nanos, longest_deadline: Nanos) -> Self {
        let remaining = longest_deadline.min(MAX_COUNTED_DEADLINE) + GRACE_PERIOD - WRITE_MARGIN;
        ShutdownDeadlines { final_response_at: announced_at.saturating_add(remaining) }
    }

    /// Returns the time at which all requests that are still open get their final response.
    #[must_use]
    pub fn final_response_at(&self) -> Nanos {
        self.final_response_at
    }

    /// Limits the client timeout of a request that arrives now to the remaining time; `None` if no
    /// time is left.
    #[must_use]
    pub fn limit_timeout(&self, now: Nanos, client_timeout: Nanos) -> Option<Nanos> {
        let remaining = self.final_response_at.checked_sub(now).filter(|left| *left > 0)?;
        Some(client_timeout.min(remaining))
    }

    /// The final response to a request with this effect. A safe request can always be retried. An
    /// idempotent one can be retried only within its deduplication window, and when its client
    /// would do so is not known here.
    #[must_use]
    pub fn final_response(effect: Effect, may_have_run: bool) -> FinalResponse {
        match (effect, may_have_run) {
            (Effect::Safe, _) | (_, false) => FinalResponse::Reject,
            (Effect::Idempotent | Effect::Unsafe, true) => FinalResponse::Fail,
        }
    }
}
