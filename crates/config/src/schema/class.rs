//! Request classes, and the attempt settings that they share with defaults and routes.

use super::text::{AttemptTimeout, FormattedDuration, HedgeDelay, Size};
use schemars::JsonSchema;

/// A class of requests.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Class {
    /// The mildest effect that its requests may have. Default: safe.
    pub effect: Option<Effect>,
    /// How long servers deduplicate a request; required if the effect is keyed.
    pub window: Option<FormattedDuration>,
    /// Latency objective: a response within this time earns the full worth. Default: 1s.
    #[schemars(rename = "aim")]
    pub latency_objective: Option<FormattedDuration>,
    /// How long a request may wait for the head of its response. Default: 15s.
    pub deadline: Option<FormattedDuration>,
    /// Priority weight of a response relative to other classes. Default: 1.
    #[schemars(range(min = 0.0, max = 1e6))]
    #[schemars(rename = "worth")]
    pub priority_weight: Option<f64>,
    /// The fraction of the worth that a late response earns. Default: 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    #[schemars(rename = "late-worth")]
    pub late_weight: Option<f64>,
    /// The settings of its attempts.
    #[schemars(flatten)]
    pub attempts: AttemptSettings,
    /// The limits of its WebSocket connections.
    pub sockets: Option<SocketSettings>,
}

/// The settings of attempts.
#[derive(Debug, JsonSchema)]
#[schemars(rename = "Tries", rename_all = "kebab-case", deny_unknown_fields)]
pub struct AttemptSettings {
    /// How long one attempt may take once connected.
    /// Default: adaptive for safe classes, otherwise none.
    pub per_try_timeout: Option<AttemptTimeout>,
    /// Maximum number of attempts. Default: that of the cluster.
    #[schemars(range(min = 1, max = 6))]
    pub max_attempts: Option<u32>,
    /// Backoff between attempts. Default: none.
    pub backoff: Option<Backoff>,
    /// Which attempts a retry may follow.
    pub retry_on: Option<RetryOn>,
    /// Hedging of safe requests.
    pub hedge: Option<Hedge>,
    /// How often clients retry a request themselves. Default: 0.
    #[schemars(range(min = 0, max = 100))]
    pub client_retries: Option<u32>,
    /// Which endpoints deduplicate each other's requests. Default: all of the cluster.
    pub dedup_group: Option<DedupGroup>,
    /// Longest wait for a connection. Default: that of the cluster.
    pub connect_timeout: Option<FormattedDuration>,
    /// How long a connection may have been idle and still be reused. Default: that of the cluster.
    pub idle_timeout: Option<FormattedDuration>,
}

/// Random backoff between attempts, up to a bound that doubles with each attempt.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Backoff {
    /// The first bound.
    pub first: Option<FormattedDuration>,
    /// The maximum bound. Default: eight times the first.
    #[schemars(rename = "most")]
    pub max: Option<FormattedDuration>,
}

/// Which attempts a retry may follow.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case")]
pub enum RetryOn {
    /// Only attempts that are known not to have run.
    NeverRan,
    /// Also attempts that may have run.
    MayHaveRun,
}

/// Which endpoints deduplicate each other's requests.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case")]
pub enum DedupGroup {
    /// All endpoints of the cluster.
    Cluster,
    /// The endpoints of one zone.
    Zone,
}

/// Hedging.
#[derive(Debug, JsonSchema)]
#[schemars(untagged)]
pub enum Hedge {
    /// False to disable hedging.
    No(bool),
    /// When hedges are sent, and how many.
    Yes(HedgePolicy),
}

/// When hedges are sent, and how many.
#[derive(Debug, JsonSchema)]
#[schemars(rename = "HedgeSet", rename_all = "kebab-case", deny_unknown_fields)]
pub struct HedgePolicy {
    /// How long after the first attempt a hedge is sent.
    pub after: HedgeDelay,
    /// Maximum number of hedges as a fraction of the requests. Default: 0.05.
    #[schemars(range(min = 0.0, max = 0.5))]
    pub share: Option<f64>,
}

/// The effect of a request at the server.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case")]
pub enum Effect {
    /// The request can be repeated without harm.
    Safe,
    /// The request is idempotent: servers deduplicate by Idempotency-Key within the window.
    Keyed,
    /// The request must not run twice.
    Unsafe,
}

/// The limits of the WebSocket connections of a class.
#[derive(Debug, JsonSchema)]
#[schemars(rename = "Sockets", rename_all = "kebab-case", deny_unknown_fields)]
pub struct SocketSettings {
    /// How long no message may pass before the connection is closed. Default: 1h.
    pub idle_timeout: Option<FormattedDuration>,
    /// Maximum age of a connection. Default: 1day.
    pub lifetime: Option<FormattedDuration>,
    /// How long a peer may be silent before it is sent a ping. Default: 30s.
    pub ping_interval: Option<FormattedDuration>,
    /// How long a peer may take to answer a ping before it counts as gone. Default: 10s.
    pub ping_timeout: Option<FormattedDuration>,
    /// How long a peer may accept no data before it is disconnected. Default: 10s.
    pub stall_timeout: Option<FormattedDuration>,
    /// How long a message may take to be complete. Default: 60s.
    pub message_timeout: Option<FormattedDuration>,
    /// How long to wait for the answer to a close frame. Default: 5s.
    pub close_timeout: Option<FormattedDuration>,
    /// Maximum size of a message. Default: 1MiB.
    pub longest_message: Option<Size>,
    /// Maximum number of bytes queued for one peer. Default: 64KiB.
    pub buffer: Option<Size>,
}

/// Class settings that a route overrides.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Overrides {
    /// Latency objective.
    #[schemars(rename = "aim")]
    pub latency_objective: Option<FormattedDuration>,
    /// Deadline.
    pub deadline: Option<FormattedDuration>,
    /// The settings of attempts.
    #[schemars(flatten)]
    pub attempts: AttemptSettings,
}
