//! Request classes: their effects, deadlines and retry backoff.

use mintshelf_time::Nanos;

/// Number of times that a request may take effect at the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times: repeating the request does no harm.
    Safe,
    /// Once per idempotency key: the servers of a deduplication group discard repeats within the
    /// deduplication window.
    Idempotent,
    /// At most once: the request must never run twice.
    Unsafe,
}

/// Set of servers that form a deduplication group and discard repeats of an idempotency key that
/// any server of the group has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers of the deployment.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one failure domain.
    FailureDomain,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Number of times that a request of the class may take effect.
    pub effect: Effect,
    /// Set of servers that together discard repeats of an idempotent request.
    pub dedup_scope: DedupScope,
    /// Time, from the first attempt that may have run, during which servers discard repeats of an
    /// idempotent request.
    pub dedup_window: Nanos,
    /// Latency up to which a response counts with its full priority weight.
    pub latency_objective: Nanos,
    /// Total time that a client waits for the response to a request, retries included.
    pub deadline: Nanos,
    /// Weight of a response in the deployment's objective.
    pub priority_weight: f64,
    /// Fraction of the priority weight with which a response after the latency objective counts.
    pub late_weight: f64,
    /// Maximum number of attempts of a request; the deployment's maximum applies where it is
    /// lower.
    pub max_attempts: u32,
    /// Bounds of the delays before retries.
    pub backoff: Backoff,
}

impl Class {
    /// Returns how long after its first attempt that may have run an idempotent request may be
    /// sent again; `None` for other requests, to which no window applies.
    #[must_use]
    pub fn resend_window(&self) -> Option<Nanos> {
        (self.effect == Effect::Idempotent).then_some(self.dedup_window)
    }
}

/// Exponential backoff between the attempts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Backoff {
    /// Upper bound of the delay before the second attempt; 0 for no delay.
    pub initial: Nanos,
    /// Upper bound of all delays.
    pub max: Nanos,
}

impl Backoff {
    /// Returns the upper bound of the delay before the next attempt, after `attempts` attempts:
    /// the initial bound, doubled with each attempt and capped at the maximum.
    #[must_use]
    pub fn bound(self, attempts: usize) -> Nanos {
        let factor = 1u64 << attempts.saturating_sub(1).min(32);
        self.initial.saturating_mul(factor).min(self.max)
    }
}
