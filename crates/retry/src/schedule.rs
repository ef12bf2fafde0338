//! The worst-case schedule of a request's attempts.
//!
//! In the worst case every attempt and every backoff takes its maximum time, and the first attempt
//! may have run. [`AttemptSchedule::violations`] checks this against the deadline, the
//! deduplication window and the deduplication group.

pub use mintshelf_balancer::api::Backoff;
use mintshelf_balancer::api::Effect;
use mintshelf_balancer::decide::hold::{HOLD_RETRY_INTERVAL, MAX_HOLD_OBJECTIVE_FRACTION};
use mintshelf_time::{as_float, from_float, Nanos};

/// Minimum adaptive timeout, as a fraction of the latency objective. With one half, a second
/// attempt can still be answered within the objective.
const MIN_TIMEOUT_OBJECTIVE_FRACTION: f64 = 0.5;

/// Timeout of one attempt, counted from its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptTimeout {
    /// The attempt has no timeout of its own; only the request's deadline bounds it.
    Deadline,
    /// The timeout is the same for every attempt.
    Fixed(Nanos),
    /// The timeout is derived from observed latencies, within [`AttemptSchedule::adaptive_bounds`].
    Adaptive,
}

/// Attempts that may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryOn {
    /// Only attempts that are known not to have run.
    NeverRan,
    /// Also attempts that may have run.
    MayHaveRun,
}

/// Set of endpoints that deduplicate each other's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupGroup {
    /// All endpoints of the cluster.
    Cluster,
    /// The endpoints of one zone.
    Zone,
}

/// Lower and upper bound of an adaptive timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// Minimum timeout of an attempt.
    pub min: Nanos,
    /// Maximum timeout of an attempt.
    pub max: Nanos,
}

/// The retry settings of one class, or of one route of a class, at one cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptSchedule {
    /// The most severe effect that a request of the class may have.
    pub effect: Effect,
    /// Time during which servers deduplicate an idempotent request; 0 for other effects.
    pub dedup_window: Nanos,
    /// Set of servers that deduplicate each other's requests.
    pub dedup_group: DedupGroup,
    /// Whether all endpoints of the cluster are in one deduplication group.
    pub has_single_dedup_group: bool,
    /// Latency up to which a response earns the full priority weight.
    pub latency_objective: Nanos,
    /// Timeout of the request, including all its attempts.
    pub deadline: Nanos,
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Timeout for establishing a connection.
    pub connect_timeout: Nanos,
    /// Timeout of one attempt, counted from its connection.
    pub attempt_timeout: AttemptTimeout,
    /// Bounds of the backoff between two attempts of a request.
    pub backoff: Backoff,
    /// Attempts that may be retried.
    pub retry_on: RetryOn,
    /// Whether requests are hedged.
    pub is_hedged: bool,
    /// Whether the cluster allows two attempts of one request at a time.
    pub allows_parallel_attempts: bool,
    /// Timer resolution of the balancer: its timers fire late by up to this time.
    pub tick: Nanos,
    /// Longest `Retry-After` that is sent to a client.
    pub max_retry_after: Nanos,
    /// Number of times that clients themselves retry a request with the same idempotency key, after
    /// the request's deadline or the `Retry-After` that they received.
    pub client_retries: u32,
}

/// One attempt in the worst case; times are counted from the start of the first attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledAttempt {
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Latest start, if every earlier attempt takes its maximum time.
    pub latest_start: Nanos,
    /// Latest end, if the attempt starts at its latest start and takes its maximum time.
    pub latest_end: Nanos,
}

impl AttemptSchedule {
    /// Maximum number of attempts of one request that could run at a server: all if attempts that
    /// may have run are retried, otherwise one.
    pub(crate) fn max_effective_attempts(&self) -> u32 {
        match self.retry_on {
            RetryOn::MayHaveRun if self.effect != Effect::Unsafe => self.max_attempts,
            RetryOn::MayHaveRun | RetryOn::NeverRan => 1,
        }
    }

    /// Bounds of an adaptive timeout. The upper bound is an equal share of the deadline for every
    /// attempt, after subtracting the time for connections and backoff.
    #[must_use]
    pub fn adaptive_bounds(&self) -> TimeoutBounds {
        let attempts = u64::from(self.max_attempts.max(1));
        let connecting = self.connect_timeout.saturating_mul(attempts);
        let overhead = self.total_backoff(self.max_attempts).saturating_add(connecting);
        let equal_share = self.deadline.saturating_sub(overhead) / attempts;
        // If two attempts fit before the deadline, a response within the objective is not timed
        // out.
        let max = equal_share.max(self.latency_objective.min(self.deadline / 2)).max(1);
        let min = from_float(as_float(self.latency_objective) * MIN_TIMEOUT_OBJECTIVE_FRACTION);
        TimeoutBounds { min: min.min(max), max }
    }

    /// Returns the maximum backoff after `attempts_made` attempts.
    fn max_backoff(&self, attempts_made: u32) -> Nanos {
        self.backoff.bound(attempts_made as usize)
    }

    /// Returns the sum of the maximum backoffs before attempt `number`, counted from 1.
    pub(crate) fn total_backoff(&self, number: u32) -> Nanos {
        (1..number).map(|attempts_made| self.max_backoff(attempts_made)).sum()
    }

    /// Returns the maximum duration of an attempt before the last one, including the time to
    /// connect.
    fn max_attempt_duration(&self) -> Nanos {
        let timeout = match self.attempt_timeout {
            AttemptTimeout::Deadline => return self.deadline,
            AttemptTimeout::Fixed(timeout) => timeout,
            AttemptTimeout::Adaptive => self.adaptive_bounds().max,
        };
        self.connect_timeout.saturating_add(timeout).min(self.deadline)
    }

    /// Returns all attempts in the worst case; the first attempt starts at 0.
    #[must_use]
    pub fn worst_case(&self) -> Vec<ScheduledAttempt> {
        let mut latest_start: Nanos = 0;
        let mut attempts = Vec::new();
        for number in 1..=self.max_attempts {
            if number > 1 {
                latest_start = self.next_latest_start(latest_start, number);
            }
            let latest_end = self.latest_end(number, latest_start);
            attempts.push(ScheduledAttempt { number, latest_start, latest_end });
        }
        attempts
    }

    /// Returns the latest end of attempt `number` if the attempt starts at `latest_start`.
    fn latest_end(&self, number: u32, latest_start: Nanos) -> Nanos {
        if number == self.max_attempts {
            return self.deadline;
        }
        latest_start.saturating_add(self.max_attempt_duration()).min(self.deadline)
    }

    /// Returns the latest start of attempt `number` if the previous attempt started at
    /// `previous_start`.
    fn next_latest_start(&self, previous_start: Nanos, number: u32) -> Nanos {
        let hold = from_float(as_float(self.latency_objective) * MAX_HOLD_OBJECTIVE_FRACTION);
        let mut latest_start = previous_start
            .saturating_add(self.max_attempt_duration())
            .saturating_add(self.max_backoff(number - 1));
        if latest_start < hold {
            // While no server is available, the request may be held until `hold`.
            latest_start = hold + HOLD_RETRY_INTERVAL;
        }
        latest_start.min(self.deadline.saturating_sub(1))
    }

    /// Returns the number of attempts, each with its fixed timeout, that can start before the
    /// deadline. If the operator does not configure a number of attempts, the default is lowered to
    /// the result.
    #[must_use]
    pub fn fitting_attempts(&self) -> u32 {
        match self.attempt_timeout {
            AttemptTimeout::Fixed(timeout) if timeout > 0 => {
                let fitting = self.deadline.saturating_sub(1) / timeout + 1;
                self.max_attempts.min(u32::try_from(fitting).unwrap_or(u32::MAX)).max(1)
            }
            _ => self.max_attempts,
        }
    }
}
