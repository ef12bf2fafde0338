//! Classification of attempt outcomes for outage detection.

use mintshelf_balancer::api::Outcome;

/// The end of an attempt, as far as it is relevant to outage detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageSignal {
    /// The attempt was answered within the latency objective of the request's class.
    InTime,
    /// The attempt was answered after the latency objective of the request's class.
    Late,
    /// The attempt got no connection, its connection broke, or it got no response before the
    /// timeout. An error response by the server counts as an answer.
    Failure,
}

impl OutageSignal {
    /// Classifies the outcome of an attempt; `None` if the proxy ended it. `in_time` is whether it
    /// took no longer than the latency objective of its class.
    #[must_use]
    pub fn from_outcome(outcome: Outcome, in_time: bool) -> Option<OutageSignal> {
        match outcome {
            Outcome::Ok | Outcome::Rejected | Outcome::Full | Outcome::Error if in_time => {
                Some(OutageSignal::InTime)
            }
            Outcome::Ok | Outcome::Rejected | Outcome::Full | Outcome::Error => {
                Some(OutageSignal::Late)
            }
            Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => {
                Some(OutageSignal::Failure)
            }
            Outcome::Cancelled | Outcome::Unused => None,
        }
    }
}
