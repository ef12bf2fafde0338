//! Safety rules that an attempt schedule can violate, the setting at fault and the remedy.

use crate::duration::format_nanos;
use crate::schedule::AttemptSchedule;
use mintshelf_balancer::api::Effect;
use mintshelf_time::Nanos;

/// A violation of a safety rule by a schedule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SafetyViolation {
    /// An unsafe request would be retried although an attempt may have run.
    UnsafeRetry,
    /// A request with this effect, unsafe or idempotent, would have two attempts in flight.
    HedgeNotSafe(Effect),
    /// The hedge of an idempotent request could go to a server outside the deduplication group of
    /// the first attempt.
    HedgeCrossesDedupGroup,
    /// The class does not retry attempts that may have run, but a hedge runs while the first
    /// attempt may be running.
    HedgeForbiddenByRetryOn,
    /// The cluster does not allow two attempts of one request at a time.
    HedgeNotAllowed,
    /// A retry of an idempotent request could reach a server after its deduplication window.
    RetryPastDedupWindow {
        /// The number of the attempt, from 1.
        attempt: u32,
        /// Latest time at which the attempt could reach a server, from the start of the first
        /// attempt.
        at: Nanos,
        /// The terms that add up to `at`, for messages.
        breakdown: String,
    },
    /// A client's own retry of an idempotent request could reach a server after the deduplication
    /// window.
    ClientRetryPastDedupWindow {
        /// Latest time at which the client's last retry could reach a server, from the start of the
        /// first attempt.
        at: Nanos,
        /// The terms that add up to `at`, for messages.
        breakdown: String,
    },
    /// The timeout of one attempt is longer than the deadline of the request.
    AttemptTimeoutOverDeadline,
    /// An attempt could never start before the deadline.
    AttemptCannotStart {
        /// The number of the attempt, from 1.
        attempt: u32,
        /// Time at which the attempt would start, from the start of the first attempt.
        start: Nanos,
    },
    /// Attempts have their own timeout, but are not retried when it expires.
    AttemptTimeoutWithoutRetry,
}

impl SafetyViolation {
    /// Returns whether the effect of a request could be duplicated.
    #[must_use]
    pub fn duplicates_effect(&self) -> bool {
        !matches!(
            self,
            SafetyViolation::AttemptTimeoutOverDeadline
                | SafetyViolation::AttemptCannotStart { .. }
                | SafetyViolation::AttemptTimeoutWithoutRetry
                | SafetyViolation::HedgeForbiddenByRetryOn
                | SafetyViolation::HedgeNotAllowed
        )
    }

    /// Returns the key of the setting at fault, as in the operator's file.
    #[must_use]
    pub fn setting(&self) -> &'static str {
        match self {
            SafetyViolation::UnsafeRetry => "retry-on",
            SafetyViolation::HedgeNotSafe(_)
            | SafetyViolation::HedgeCrossesDedupGroup
            | SafetyViolation::HedgeForbiddenByRetryOn
            | SafetyViolation::HedgeNotAllowed => "hedge",
            SafetyViolation::RetryPastDedupWindow { .. } => "window",
            SafetyViolation::ClientRetryPastDedupWindow { .. } => "client-retries",
            SafetyViolation::AttemptTimeoutOverDeadline
            | SafetyViolation::AttemptTimeoutWithoutRetry => "per-try-timeout",
            SafetyViolation::AttemptCannotStart { .. } => "max-attempts",
        }
    }

    /// Returns the change with which the operator can fix the violation.
    #[must_use]
    pub fn remedy(&self) -> &'static str {
        match self {
            SafetyViolation::UnsafeRetry => "write retry-on = \"never-ran\", or leave it out",
            SafetyViolation::HedgeNotSafe(_) => {
                "remove hedge from this class and from what it inherits"
            }
            SafetyViolation::HedgeCrossesDedupGroup => "remove hedge: hedging is for safe classes",
            SafetyViolation::HedgeForbiddenByRetryOn => {
                "remove hedge, or write retry-on = \"may-have-run\""
            }
            SafetyViolation::HedgeNotAllowed => {
                "write second-copies = true in the cluster, or remove hedge"
            }
            SafetyViolation::RetryPastDedupWindow { .. } => {
                "shorten per-try-timeout, backoff or the cluster's connect-timeout, or lower \
                 max-attempts or the deadline"
            }
            SafetyViolation::ClientRetryPastDedupWindow { .. } => {
                "shorten the deadline or max-retry-after, or lower client-retries"
            }
            SafetyViolation::AttemptTimeoutOverDeadline => "make it shorter than the deadline",
            SafetyViolation::AttemptCannotStart { .. } => {
                "lower max-attempts, or shorten per-try-timeout"
            }
            SafetyViolation::AttemptTimeoutWithoutRetry => {
                "remove it: the deadline already bounds the only attempt"
            }
        }
    }

    /// Describes the violation in one sentence without a full stop. `schedule` is the schedule in
    /// which it was found.
    #[must_use]
    pub fn describe(&self, schedule: &AttemptSchedule) -> String {
        let description = match self {
            SafetyViolation::UnsafeRetry => {
                "an unsafe request would be sent again after an attempt that may have run"
            }
            SafetyViolation::HedgeNotSafe(Effect::Idempotent) => {
                "a keyed request would have two attempts in flight at once"
            }
            SafetyViolation::HedgeNotSafe(Effect::Safe | Effect::Unsafe) => {
                "an unsafe request would be hedged beside an attempt that may have run"
            }
            SafetyViolation::HedgeCrossesDedupGroup => {
                "a hedge could go to an endpoint outside the first attempt's deduplication group"
            }
            SafetyViolation::HedgeForbiddenByRetryOn => {
                "a hedge runs beside an attempt that may have run, which retry-on forbids"
            }
            SafetyViolation::HedgeNotAllowed => {
                "the cluster does not allow two attempts of one request at a time"
            }
            SafetyViolation::RetryPastDedupWindow { attempt, at, breakdown } => {
                return describe_late_arrival(
                    &format!("attempt {attempt}"),
                    *at,
                    breakdown,
                    schedule,
                );
            }
            SafetyViolation::ClientRetryPastDedupWindow { at, breakdown } => {
                return describe_late_arrival("a client's own retry", *at, breakdown, schedule);
            }
            SafetyViolation::AttemptTimeoutOverDeadline => {
                return describe_long_timeout(schedule);
            }
            SafetyViolation::AttemptCannotStart { attempt, start } => {
                return describe_attempt_that_cannot_start(*attempt, *start, schedule);
            }
            SafetyViolation::AttemptTimeoutWithoutRetry => {
                "no attempt may follow one that exceeded its own timeout"
            }
        };
        description.to_owned()
    }
}

fn describe_late_arrival(
    request: &str,
    at: Nanos,
    breakdown: &str,
    schedule: &AttemptSchedule,
) -> String {
    let arrival = format_nanos(at);
    let window = format_nanos(schedule.dedup_window);
    format!("{request} could reach a server at {arrival} ({breakdown}); the window is {window}")
}

fn describe_long_timeout(schedule: &AttemptSchedule) -> String {
    let deadline = format_nanos(schedule.deadline);
    format!("the timeout of an attempt exceeds the deadline, {deadline}")
}

fn describe_attempt_that_cannot_start(
    attempt: u32,
    start: Nanos,
    schedule: &AttemptSchedule,
) -> String {
    let earlier_attempts = attempt - 1;
    let start = format_nanos(start);
    let deadline = format_nanos(schedule.deadline);
    format!(
        "attempt {attempt} cannot start before the deadline, {deadline}: {earlier_attempts} x \
         per-try-timeout is {start}"
    )
}
