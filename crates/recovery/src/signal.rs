//! What the end of an attempt indicates about an outage.

use mintshelf_balancer::api::Outcome;

/// How an attempt ended, as far as it indicates an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageSignal {
    /// Answered within the latency objective of its class.
    InTime,
    /// Answered later.
    Late,
    /// No connection, a broken one, or no response in time. An error that the server itself
    /// reports is an answer.
    Failure,
}

impl OutageSignal {
    /// Classifies an attempt's outcome; `None` if the proxy ended it. `in_time` tells whether it
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
