//! The schedule of a class's attempts at a cluster.

use super::settings::TICK;
use crate::model::{Class, Cluster};
use mintshelf_balancer::api::Effect;
use mintshelf_retry::schedule::{AttemptSchedule, AttemptTimeout, DedupGroup, RetryOn};
use mintshelf_time::{from_duration, Nanos};
use std::collections::BTreeSet;
use std::time::Duration;

/// The longest `Retry-After` of an idempotent request is the request's deduplication window divided
/// by this number.
const RETRY_AFTER_DIVISOR: u64 = 4;

/// Returns the timeout of a class, capped at that of its cluster.
#[must_use]
pub fn effective_timeout(class: Option<Duration>, cluster: Duration) -> Duration {
    class.map_or(cluster, |class| class.min(cluster))
}

/// Returns the schedule of attempts at a cluster for requests of a class with the given effect.
pub fn attempt_schedule(class: &Class, effect: Effect, cluster: &Cluster) -> AttemptSchedule {
    let attempts = &class.attempts;
    let dedup_group = attempts.dedup_group.unwrap_or(DedupGroup::Cluster);
    let connect_timeout = effective_timeout(attempts.connect_timeout, cluster.connect_timeout);
    let mut schedule = AttemptSchedule {
        effect,
        dedup_window: from_duration(class.dedup_window),
        dedup_group,
        has_single_dedup_group: has_single_dedup_group(dedup_group, cluster),
        latency_objective: from_duration(class.latency_objective),
        deadline: from_duration(class.deadline),
        max_attempts: attempts.max_attempts.unwrap_or(cluster.max_attempts),
        connect_timeout: from_duration(connect_timeout),
        attempt_timeout: attempts.attempt_timeout.unwrap_or(default_timeout(effect)),
        backoff: attempts.backoff.unwrap_or_default(),
        retry_on: attempts.retry_on.unwrap_or(default_retry_on(effect)),
        is_hedged: attempts.hedge_policy().is_some(),
        allows_parallel_attempts: cluster.allows_parallel_attempts,
        tick: TICK,
        max_retry_after: max_retry_after(class, effect, cluster),
        client_retries: attempts.client_retries.unwrap_or(0),
    };
    if attempts.max_attempts.is_none() {
        schedule.max_attempts = schedule.fitting_attempts();
    }
    schedule
}

/// Returns the timeout of one attempt if neither the class nor the file's defaults set it.
fn default_timeout(effect: Effect) -> AttemptTimeout {
    match effect {
        Effect::Safe => AttemptTimeout::Adaptive,
        Effect::Idempotent | Effect::Unsafe => AttemptTimeout::Deadline,
    }
}

/// Returns the condition for retries if neither the class nor the file's defaults set it.
fn default_retry_on(effect: Effect) -> RetryOn {
    match effect {
        Effect::Safe | Effect::Idempotent => RetryOn::MayHaveRun,
        Effect::Unsafe => RetryOn::NeverRan,
    }
}

fn has_single_dedup_group(dedup_group: DedupGroup, cluster: &Cluster) -> bool {
    let zones: BTreeSet<&str> =
        cluster.endpoints.iter().map(|endpoint| endpoint.zone.as_str()).collect();
    dedup_group == DedupGroup::Cluster || zones.len() < 2
}

/// Returns the longest `Retry-After`. For an idempotent request it is also bounded by a part of the
/// deduplication window.
fn max_retry_after(class: &Class, effect: Effect, cluster: &Cluster) -> Nanos {
    let max_retry_after = from_duration(cluster.max_retry_after);
    match effect {
        Effect::Idempotent => {
            max_retry_after.min(from_duration(class.dedup_window) / RETRY_AFTER_DIVISOR)
        }
        Effect::Safe | Effect::Unsafe => max_retry_after,
    }
}

/// Returns the effect by which the decision module decides on retries: a request that must not be
/// retried once it may have run counts as unsafe.
pub(super) fn module_effect(schedule: &AttemptSchedule) -> Effect {
    match schedule.retry_on {
        RetryOn::NeverRan => Effect::Unsafe,
        RetryOn::MayHaveRun => schedule.effect,
    }
}
