//! Request classes: their effect and times, and the settings of their attempts and of their
//! WebSocket connections.

use mintshelf_balancer::api::Effect;
use mintshelf_retry::policy::HedgePolicy;
use mintshelf_retry::schedule::{AttemptTimeout, Backoff, DedupGroup, RetryOn};
use mintshelf_websocket::timers::TimerConfig;
use std::time::Duration;

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The least severe effect that requests of the class may have.
    pub effect: Effect,
    /// The time for which servers deduplicate an idempotent request.
    pub dedup_window: Duration,
    /// A response within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// The maximum time that a request waits for the head of its response.
    pub deadline: Duration,
    /// The priority weight of a response, relative to the responses of other classes.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a late response earns.
    pub late_weight: f64,
    /// The settings of the attempts of a request.
    pub attempts: AttemptSettings,
    /// The limits of the WebSocket connections of the class.
    pub sockets: SocketSettings,
}

/// The settings of attempts of a class's requests; a setting is absent if neither the class nor the
/// file's defaults set it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AttemptSettings {
    /// The maximum time of one attempt after it is connected.
    pub attempt_timeout: Option<AttemptTimeout>,
    /// Upper bound of the attempts, the first included; if absent, that of the cluster applies.
    pub max_attempts: Option<u32>,
    /// The backoff between attempts.
    pub backoff: Option<Backoff>,
    /// The condition that an attempt must meet to be followed by a retry.
    pub retry_on: Option<RetryOn>,
    /// The hedging of requests: off, or a policy; off if absent.
    pub hedge: Option<HedgeSetting>,
    /// The assumed number of times that a client itself retries a request.
    pub client_retries: Option<u32>,
    /// The group of endpoints that deduplicate each other's requests.
    pub dedup_group: Option<DedupGroup>,
    /// Longest wait for a connection, if it is less than the cluster's.
    pub connect_timeout: Option<Duration>,
    /// Longest time for which a connection may have been idle and still be reused, if it is less
    /// than the cluster's.
    pub idle_timeout: Option<Duration>,
}

impl AttemptSettings {
    /// Returns the settings of hedges; `None` if requests of the class are not hedged.
    #[must_use]
    pub fn hedge_policy(&self) -> Option<HedgePolicy> {
        match self.hedge {
            Some(HedgeSetting::On(policy)) => Some(policy),
            Some(HedgeSetting::Off) | None => None,
        }
    }
}

/// The hedging setting of a file.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HedgeSetting {
    /// Requests are not hedged, even if the inherited setting enables it.
    Off,
    /// Requests are hedged by this policy.
    On(HedgePolicy),
}

/// The limits of the WebSocket connections of a class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketSettings {
    /// The timers of a WebSocket connection.
    pub timers: TimerConfig,
    /// Longest message, in bytes as sent.
    pub max_message_bytes: u64,
    /// Bytes that may be queued for one peer.
    pub buffer_bytes: usize,
}
