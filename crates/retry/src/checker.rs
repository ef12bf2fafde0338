//! Checks an attempt schedule against the safety rules.

use crate::duration::format_nanos;
use crate::schedule::{AttemptSchedule, AttemptTimeout, RetryOn, ScheduledAttempt};
use crate::violation::SafetyViolation;
use mintshelf_balancer::api::Effect;
use mintshelf_time::Nanos;

/// Latest time at which an attempt reaches a server, counted from the start of the first attempt.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// The attempt's number, from 1.
    attempt: u32,
    at: Nanos,
}

impl AttemptSchedule {
    /// Returns all safety violations, in the order of the rules; empty if the schedule is valid.
    #[must_use]
    pub fn violations(&self) -> Vec<SafetyViolation> {
        let mut violations = Vec::new();
        if self.effect == Effect::Unsafe && self.retry_on == RetryOn::MayHaveRun {
            violations.push(SafetyViolation::UnsafeRetry);
        }
        if self.is_hedged {
            violations.extend(self.hedge_violation());
            if !self.allows_parallel_attempts {
                violations.push(SafetyViolation::HedgeNotAllowed);
            }
        }
        if let AttemptTimeout::Fixed(timeout) = self.attempt_timeout {
            violations.extend(self.timeout_violation(timeout));
            if self.max_effective_attempts() < 2 {
                violations.push(SafetyViolation::AttemptTimeoutWithoutRetry);
            }
        }
        if self.effect == Effect::Idempotent {
            violations.extend(self.dedup_window_violations());
        }
        violations
    }

    fn hedge_violation(&self) -> Option<SafetyViolation> {
        match self.effect {
            Effect::Idempotent if !self.has_single_dedup_group => {
                Some(SafetyViolation::HedgeCrossesDedupGroup)
            }
            Effect::Safe if self.retry_on == RetryOn::NeverRan => {
                Some(SafetyViolation::HedgeForbiddenByRetryOn)
            }
            Effect::Safe => None,
            effect => Some(SafetyViolation::HedgeNotSafe(effect)),
        }
    }

    fn timeout_violation(&self, timeout: Nanos) -> Option<SafetyViolation> {
        if timeout > self.deadline {
            return Some(SafetyViolation::AttemptTimeoutOverDeadline);
        }
        (2..=self.max_attempts)
            .map(|attempt| (attempt, timeout.saturating_mul(u64::from(attempt - 1))))
            .find(|(_, start)| *start >= self.deadline)
            .map(|(attempt, start)| SafetyViolation::AttemptCannotStart { attempt, start })
    }

    /// Retries that could reach a server after the deduplication window: the sidecar's own, and
    /// those of the client.
    fn dedup_window_violations(&self) -> Vec<SafetyViolation> {
        // Without a window the class is not idempotent; the configuration parser reports that.
        let Some(window_end) = self.window_end() else { return Vec::new() };
        let own = self.retry_arrivals().into_iter().find(|arrival| arrival.at >= window_end);
        let own = own.map(|Arrival { attempt, at }| SafetyViolation::RetryPastDedupWindow {
            attempt,
            at,
            breakdown: self.arrival_breakdown(attempt),
        });
        own.into_iter().chain(self.client_retry_violation(window_end)).collect()
    }

    /// Time by which the last retry has to reach a server, counted from the start of the first
    /// attempt; `None` without a deduplication window.
    fn window_end(&self) -> Option<Nanos> {
        let window_end = self.dedup_window.saturating_sub(self.tick);
        (window_end > 0).then_some(window_end)
    }

    /// In the worst case each request of a client lasts until its deadline and the client then
    /// waits for the longest `Retry-After`. The attempts of its last request take as long as those
    /// of its first.
    fn client_retry_violation(&self, window_end: Nanos) -> Option<SafetyViolation> {
        if self.client_retries == 0 {
            return None;
        }
        let retries = u64::from(self.client_retries);
        let waits = self.deadline.saturating_add(self.max_retry_after).saturating_mul(retries);
        let last_arrival = self.last_arrival();
        let at = waits.saturating_add(last_arrival);
        (at >= window_end).then(|| SafetyViolation::ClientRetryPastDedupWindow {
            at,
            breakdown: format!(
                "{retries} x ({} deadline + {} Retry-After) + {} for the attempts of the last \
                 retry",
                format_nanos(self.deadline),
                format_nanos(self.max_retry_after),
                format_nanos(last_arrival)
            ),
        })
    }

    /// Returns the latest arrival of each retry that can follow an attempt that may have run.
    fn retry_arrivals(&self) -> Vec<Arrival> {
        if self.max_effective_attempts() < 2 {
            return Vec::new();
        }
        let retries = self.worst_case().into_iter().filter(|attempt| attempt.number > 1);
        let arrival = |attempt: ScheduledAttempt| Arrival {
            attempt: attempt.number,
            // The request reaches its server once the connection is established.
            at: attempt.latest_start.saturating_add(self.connect_timeout).min(self.deadline),
        };
        retries.map(arrival).collect()
    }

    /// Returns the latest arrival of the last retry, or of the first attempt if there is no retry.
    pub(crate) fn last_arrival(&self) -> Nanos {
        match self.retry_arrivals().last() {
            Some(arrival) => arrival.at,
            None => self.connect_timeout.min(self.deadline),
        }
    }

    /// Returns the terms that add up to the latest arrival of an attempt, for error messages.
    fn arrival_breakdown(&self, number: u32) -> String {
        let previous = number.saturating_sub(1);
        if previous == 0 {
            return String::new();
        }
        let timeouts = match self.attempt_timeout {
            AttemptTimeout::Deadline => {
                return format!(
                    "attempt {previous} has no per-try-timeout and may fail at any time before \
                     the deadline, {}",
                    format_nanos(self.deadline)
                )
            }
            AttemptTimeout::Fixed(timeout) => {
                format!("{} per-try-timeout", format_product(previous, timeout))
            }
            AttemptTimeout::Adaptive => {
                format!(
                    "{} maximum per-try-timeout",
                    format_product(previous, self.adaptive_bounds().max)
                )
            }
        };
        let mut terms = vec![timeouts];
        terms.push(format!("{} connect-timeout", format_product(previous, self.connect_timeout)));
        let backoff = self.total_backoff(number);
        if backoff > 0 {
            terms.push(format!("{} backoff", format_nanos(backoff)));
        }
        terms.push(format!("{} connect-timeout of the retry", format_nanos(self.connect_timeout)));
        terms.join(" + ")
    }
}

/// Formats a product, as in `2 x 5 s`; a factor of 1 is omitted.
fn format_product(count: u32, duration: Nanos) -> String {
    match count {
        1 => format_nanos(duration),
        count => format!("{count} x {}", format_nanos(duration)),
    }
}
