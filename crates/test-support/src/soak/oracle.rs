//! Judges a run by its records alone.

use super::clients::LATE_MAX;
use super::records::{
    AttemptOutcome, AttemptRecord, Records, RequestEnd, RequestRecord, ServerRecord,
};
use super::scenario::Class;
use std::fmt;
use std::time::{Duration, Instant};

/// Time after the notification of a drain in which requests may still be sent, with the slack that
/// the platform gives on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// A change counts as notified so long after discovery had it and could be reached.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// What discovery has at a SIGHUP with its new address counts as notified so long after that.
const NOTIFIED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// Time after a client has disconnected in which an attempt may still begin.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// Slack of the remaining time that an attempt states to its server.
const REMAINING_SLACK: Duration = Duration::from_millis(150);
/// Two attempts that overlap by less may have been seen in the wrong order.
const OVERLAP_SLACK: Duration = Duration::from_millis(100);
const MAX_ATTEMPTS: usize = 6;

/// A rule that was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one complete final response in its time.
    Lost,
    /// No request runs more often than its class permits.
    Duplicate,
    /// Nothing new goes to draining and removed servers.
    Drain,
    /// The process runs, is ready in time and ends in time.
    Process,
}

/// A violation of a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// Which request or process, and what was observed.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:?}: {}", self.rule, self.text)
    }
}

/// All violations of rules in a run.
pub fn judge(records: &Records) -> Vec<Violation> {
    let by_request = records.attempts_by_request();
    let mut violations = Vec::new();
    for request in &records.requests {
        let attempts = by_request.get(request.transaction.as_str()).map_or(&[][..], Vec::as_slice);
        violations.extend(lost(records, request, attempts));
        violations.extend(late_attempts(request, attempts));
        violations.extend(duplicates(request, attempts));
    }
    violations.extend(records.attempts.iter().filter_map(|attempt| drain(records, attempt)));
    let process = records.process_faults.iter();
    violations.extend(process.map(|text| Violation { rule: Rule::Process, text: text.clone() }));
    violations
}

fn violation(rule: Rule, request: &RequestRecord, text: impl fmt::Display) -> Violation {
    let RequestRecord { transaction, class, timeout, .. } = request;
    Violation { rule, text: format!("{transaction} ({class:?}, waits {timeout:?}): {text}") }
}

fn lost(
    records: &Records,
    request: &RequestRecord,
    attempts: &[&AttemptRecord],
) -> Option<Violation> {
    let count = attempts.len();
    let is_on_time = request.ended_at <= request.sent_at + request.timeout + LATE_MAX;
    let text = match &request.end {
        RequestEnd::Disconnected => return None,
        // Nothing listens while the process restarts, and a request that is sent again gets no
        // connection; without free descriptors connections may be closed unread.
        RequestEnd::Closed { .. } if records.has_idle_clients && count == 0 => return None,
        RequestEnd::Response(200, body) if !has_made(attempts, &request.transaction, body) => {
            format!("a response that no server made: {body:?}")
        }
        RequestEnd::Response(..) if is_on_time => return None,
        end => format!("{end:?} with {count} attempts"),
    };
    Some(violation(Rule::Lost, request, text))
}

fn has_made(attempts: &[&AttemptRecord], transaction: &str, body: &str) -> bool {
    let is_of = |attempt: &&AttemptRecord| body == format!("{transaction} by {}", attempt.server);
    attempts.iter().any(is_of)
}

/// The time that a client had left when an attempt for it arrived at its server.
fn time_left(request: &RequestRecord, attempt: &AttemptRecord) -> Duration {
    (request.sent_at + request.timeout).saturating_duration_since(attempt.began_at)
}

/// By how much an attempt at most stated more time than its client had left.
pub(super) fn max_overstatement(records: &Records) -> Duration {
    let by_request = records.attempts_by_request();
    let overstatements = records.requests.iter().flat_map(|request| {
        let attempts = by_request.get(request.transaction.as_str()).into_iter().flatten();
        attempts.map(|attempt| {
            let stated = attempt.remaining.unwrap_or_default();
            stated.saturating_sub(time_left(request, attempt))
        })
    });
    overstatements.max().unwrap_or_default()
}

/// Attempts for a client that has disconnected, and attempts that state more time than it has.
fn late_attempts(request: &RequestRecord, attempts: &[&AttemptRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for attempt in attempts {
        let after_disconnect = attempt.began_at.saturating_duration_since(request.ended_at);
        if request.end == RequestEnd::Disconnected && after_disconnect > DISCONNECT_GRACE {
            let text = format!("an attempt {after_disconnect:?} after its client left");
            violations.push(violation(Rule::Lost, request, text));
        }
        let stated = attempt.remaining.unwrap_or_default();
        let left = time_left(request, attempt);
        if stated > left + REMAINING_SLACK {
            let text = format!("an attempt states {stated:?} where {left:?} is left");
            violations.push(violation(Rule::Lost, request, text));
        }
    }
    violations
}

fn duplicates(request: &RequestRecord, attempts: &[&AttemptRecord]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |text: String| violations.push(violation(Rule::Duplicate, request, text));
    if attempts.len() > MAX_ATTEMPTS {
        report(format!("{} attempts", attempts.len()));
    }
    for pair in attempts.windows(2) {
        let ended_at = pair[0].ended_at.map(|at| at - OVERLAP_SLACK);
        if ended_at.is_none_or(|at| at > pair[1].began_at) {
            report("two attempts in flight".to_string());
        }
    }
    let may_have_run = |attempt: &&&AttemptRecord| attempt.outcome != AttemptOutcome::Rejected;
    let Some(ran) = attempts.iter().position(|attempt| may_have_run(&attempt)) else {
        return violations;
    };
    if request.class == Class::Unsafe && ran + 1 < attempts.len() {
        report("an unsafe request was sent again after it may have run".to_string());
    }
    let was_rejected = matches!(request.end, RequestEnd::Response(429 | 503, _));
    if request.class == Class::Unsafe && was_rejected {
        report("an unsafe request that may have run was rejected".to_string());
    }
    violations
}

/// When a process counts as notified that a server is out of service: when a list that shows it was
/// written, and at the latest a fixed time after discovery could have notified it.
fn notified_at(records: &Records, server: &ServerRecord) -> Option<Instant> {
    let withdrawn_at = server.withdrawn_at?;
    let notified_by = reachable_for(records, withdrawn_at, NOTIFIED_AFTER);
    let reloads = records.reloads.iter().filter(|at| **at >= withdrawn_at);
    let notified_by_reload =
        reloads.filter_map(|at| reachable_for(records, *at, NOTIFIED_AFTER_RELOAD)).min();
    [server.withdrawal_written_at, notified_by, notified_by_reload].into_iter().flatten().min()
}

/// The end of the first `time` from `since` on in which discovery could be reached throughout.
fn reachable_for(records: &Records, since: Instant, time: Duration) -> Option<Instant> {
    let mut reachable_since = since;
    for outage in &records.outages {
        let is_before = outage.ended_at.is_some_and(|at| at <= reachable_since);
        if !is_before && outage.began_at < reachable_since + time {
            reachable_since = outage.ended_at?;
        }
    }
    Some(reachable_since + time)
}

fn drain(records: &Records, attempt: &AttemptRecord) -> Option<Violation> {
    let notified_at = notified_at(records, &records.servers[attempt.server])?;
    let after = attempt.began_at.saturating_duration_since(notified_at);
    (after > DRAIN_GRACE).then(|| Violation {
        rule: Rule::Drain,
        text: format!(
            "{} was sent to server {} {after:?} after it was notified of its drain",
            attempt.transaction, attempt.server
        ),
    })
}
