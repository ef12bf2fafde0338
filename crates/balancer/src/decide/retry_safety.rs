//! Retry safety: whether a request may be sent to a server, and whether it may be rejected.
//!
//! | effect of the class | no attempt may have run | an attempt may have run |
//! | --- | --- | --- |
//! | safe | send to any server, reject | send to any server, reject |
//! | idempotent | send to any server, reject | within the deduplication window: send to that attempt's group; reject if all servers are one group |
//! | unsafe | send to any server, reject | nothing |
//!
//! A send is permitted only before the deadline, while attempts remain, and, beside an attempt in
//! flight, only if the deployment allows parallel attempts. Nothing is permitted for a request
//! that has ended or whose response stream has begun. Every send, rejection and failure is decided
//! by [`permitted_actions`].

use crate::api::{Class, DedupScope, Effect, ServerId, Settings};
use mintshelf_time::Nanos;

/// Limits of the deployment on the attempts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Maximum number of attempts of a request of any class.
    pub max_attempts: u32,
    /// Whether a request may have more than one attempt in flight.
    pub allows_parallel_attempts: bool,
    /// Maximum time between the decision to send an attempt and its arrival at the server.
    pub max_send_delay: Nanos,
}

impl AttemptLimits {
    /// Creates the limits of an instance from its settings.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        AttemptLimits {
            max_attempts: settings.max_attempts,
            allows_parallel_attempts: settings.allows_parallel_attempts,
            max_send_delay: settings.tick,
        }
    }
}

/// An attempt that may have run, that is, may have had its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PossibleRun {
    /// Server that the attempt was sent to.
    pub server: ServerId,
    /// Time at which the attempt was sent.
    pub sent_at: Nanos,
}

/// The state of a request, as far as the safety rules depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestProgress {
    /// Number of attempts so far.
    pub attempts: usize,
    /// Whether an attempt has not ended.
    pub has_attempt_in_flight: bool,
    /// The first attempt that may have run.
    pub first_possible_run: Option<PossibleRun>,
    /// Time at which the client stops waiting.
    pub deadline: Nanos,
    /// Whether the request has ended or its response stream has begun.
    pub is_settled: bool,
}

/// The servers to which an attempt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermission {
    /// No server may receive the attempt.
    Forbidden,
    /// Any server may receive the attempt.
    AnyServer,
    /// Only the servers in the deduplication group of the named server may receive the attempt.
    GroupOf(ServerId),
}

/// Actions that the safety rules permit for a request at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermittedActions {
    /// The servers to which another attempt may be sent.
    pub send: SendPermission,
    /// Whether the request may be rejected. If not, the request can only fail.
    pub may_reject: bool,
}

impl PermittedActions {
    const NONE: Self = PermittedActions { send: SendPermission::Forbidden, may_reject: false };
}

/// Returns what is permitted for a request of a class at the time `at`.
#[must_use]
pub fn permitted_actions(
    class: &Class,
    limits: AttemptLimits,
    request: &RequestProgress,
    at: Nanos,
) -> PermittedActions {
    if request.is_settled {
        return PermittedActions::NONE;
    }
    let may_send = may_attempt(class, limits, request, at);
    match (class.effect, request.first_possible_run) {
        (Effect::Safe, _) | (_, None) => PermittedActions {
            send: if may_send { SendPermission::AnyServer } else { SendPermission::Forbidden },
            may_reject: true,
        },
        (Effect::Unsafe, Some(_)) => PermittedActions::NONE,
        (Effect::Idempotent, Some(first)) => {
            let is_in_window = is_in_dedup_window(class, limits, first, at);
            let may_send = may_send && is_in_window;
            PermittedActions {
                send: if may_send {
                    SendPermission::GroupOf(first.server)
                } else {
                    SendPermission::Forbidden
                },
                may_reject: is_in_window && class.dedup_scope == DedupScope::All,
            }
        }
    }
}

/// Returns whether the deadline and the limits permit another attempt.
fn may_attempt(class: &Class, limits: AttemptLimits, request: &RequestProgress, at: Nanos) -> bool {
    let max_attempts = class.max_attempts.min(limits.max_attempts) as usize;
    let may_be_parallel = limits.allows_parallel_attempts || !request.has_attempt_in_flight;
    request.attempts < max_attempts && at < request.deadline && may_be_parallel
}

/// Returns whether a retry that is decided at `at` reaches its server within the deduplication
/// window of the first attempt that may have run. After the window it would run a second time.
fn is_in_dedup_window(class: &Class, limits: AttemptLimits, first: PossibleRun, at: Nanos) -> bool {
    let window_end = first.sent_at + class.dedup_window;
    at < window_end.saturating_sub(limits.max_send_delay)
}
