//! Explains the attempts that are allowed for a request at a cluster, with their schedule as a
//! timeline.

use super::forwarded_request::ForwardedRequest;
use super::report::Report;
use mintshelf_balancer::api::Effect;
use mintshelf_config::balancer::attempt_schedule;
use mintshelf_config::model::{Class, Cluster};
use mintshelf_retry::duration::format_nanos;
use mintshelf_retry::policy::HedgeDelay;
use mintshelf_retry::schedule::{AttemptSchedule, AttemptTimeout, RetryOn};

/// Appends the attempt settings of a request at a cluster, and the schedule of its attempts.
pub(super) fn explain_attempts(
    report: &mut Report,
    request: &ForwardedRequest,
    cluster_name: &str,
    cluster: &Cluster,
) {
    let schedule = attempt_schedule(request.class, request.effect, cluster);
    let mut max_attempts = request.all_fields("max-attempts");
    max_attempts.push(format!("clusters.{cluster_name}.max-attempts"));
    report.append_setting_from(&max_attempts, schedule.max_attempts);
    let timeout = attempt_timeout_text(&schedule, request.effect);
    report.append_setting_from(&request.all_fields("per-try-timeout"), timeout);
    report.append_setting_from(&request.all_fields("backoff"), backoff_text(&schedule));
    report.append_setting_from(&request.all_fields("retry-on"), retry_on_text(schedule.retry_on));
    let hedge = hedge_text(request.class, request.effect);
    report.append_setting_from(&request.all_fields("hedge"), hedge);
    let budget = &cluster.retry_budget;
    let budget = format!("{} per request, {} saved at most", budget.ratio, budget.burst);
    report.append_setting(&format!("clusters.{cluster_name}.retry-budget"), budget);
    report.append(&schedule.to_string());
}

fn attempt_timeout_text(schedule: &AttemptSchedule, effect: Effect) -> String {
    if effect == Effect::Unsafe || schedule.max_attempts < 2 {
        return "none".to_string();
    }
    match schedule.attempt_timeout {
        AttemptTimeout::Deadline => "none".to_string(),
        AttemptTimeout::Fixed(timeout) => format_nanos(timeout),
        AttemptTimeout::Adaptive => {
            let bounds = schedule.adaptive_bounds();
            let min = format_nanos(bounds.min);
            let max = format_nanos(bounds.max);
            format!("adaptive, {min} to {max} depending on response times")
        }
    }
}

fn backoff_text(schedule: &AttemptSchedule) -> String {
    let initial = format_nanos(schedule.backoff.initial);
    let max = format_nanos(schedule.backoff.max);
    format!("up to {initial}, doubling to {max}")
}

fn retry_on_text(retry_on: RetryOn) -> &'static str {
    match retry_on {
        RetryOn::NeverRan => "never-ran",
        RetryOn::MayHaveRun => "may-have-run",
    }
}

/// Only safe requests are hedged.
fn hedge_text(class: &Class, effect: Effect) -> String {
    let hedge = class.attempts.hedge_policy().filter(|_| effect == Effect::Safe);
    let Some(hedge) = hedge else { return "none".to_string() };
    let delay = match hedge.delay {
        HedgeDelay::Fixed(delay) => format_nanos(delay),
        HedgeDelay::P95 => "the time in which 95 % of the responses arrive".to_string(),
    };
    format!("after {delay}, for a share of {} of the requests at most", hedge.max_share)
}
