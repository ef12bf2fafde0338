//! The result of a run.

use super::oracle::{judge, max_overstatement, Rule, Violation};
use super::records::{Records, RequestEnd};
use std::fmt;
use std::time::Duration;

/// The result of a run.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Violations of rules that the oracle found.
    pub violations: Vec<Violation>,
    /// Number of requests that clients sent.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Attempts that servers received.
    pub attempts: usize,
    /// Bytes of lists that discovery has written.
    pub list_bytes: usize,
    /// Calls that discovery has answered.
    pub list_calls: usize,
    /// CPU time of all processes.
    pub cpu: Duration,
    /// Largest resident memory in bytes.
    pub peak_memory: usize,
    /// Highest number of open descriptors that was observed.
    pub descriptors: usize,
    /// Connections made to servers.
    pub connections: usize,
    /// The most time that an attempt stated beyond what its client had left.
    pub max_overstatement: Duration,
    /// The longest delay with which a server read a request: all servers share one thread.
    pub max_read_delay: Duration,
}

impl SoakReport {
    pub(super) fn new(records: &Records) -> Self {
        let is_served = |end: &RequestEnd| matches!(end, RequestEnd::Response(200, _));
        let served = records.requests.iter().filter(|request| is_served(&request.end));
        SoakReport {
            violations: judge(records),
            requests: records.requests.len(),
            served: served.count(),
            attempts: records.attempts.len(),
            list_bytes: records.list_bytes,
            list_calls: records.list_calls,
            cpu: records.cpu,
            peak_memory: records.peak_memory,
            descriptors: records.descriptors,
            connections: records.connections,
            max_overstatement: max_overstatement(records),
            max_read_delay: max_read_delay(records),
        }
    }

    /// Number of violations of a rule.
    #[must_use]
    pub fn count(&self, rule: Rule) -> usize {
        self.violations.iter().filter(|violation| violation.rule == rule).count()
    }
}

fn max_read_delay(records: &Records) -> Duration {
    let delays = records.attempts.iter().map(|attempt| attempt.read_at - attempt.began_at);
    delays.max().unwrap_or_default()
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(
            formatter,
            "lost {} duplicate {} drain {} process {}; served {} of {}, {} attempts, \
             {} calls with {} KB of lists, CPU {:.2} s, memory {} MB, \
             up to {} ms too much stated, requests read up to {} ms late",
            self.count(Rule::Lost),
            self.count(Rule::Duplicate),
            self.count(Rule::Drain),
            self.count(Rule::Process),
            self.served,
            self.requests,
            self.attempts,
            self.list_calls,
            self.list_bytes >> 10,
            self.cpu.as_secs_f64(),
            self.peak_memory >> 20,
            self.max_overstatement.as_millis(),
            self.max_read_delay.as_millis()
        )
    }
}
