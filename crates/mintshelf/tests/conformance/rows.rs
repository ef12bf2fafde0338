//! The rows of the tables, as the TOML files state them.

use serde::Deserialize;

/// What a row is checked on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// The decision module.
    Module,
    /// The simulator's wire.
    Wire,
    /// The real sidecar.
    Sidecar,
}

/// All targets.
pub const ALL_TARGETS: [Target; 3] = [Target::Module, Target::Wire, Target::Sidecar];

/// How an attempt that is not served ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    Error,
    Rejected,
    ConnectFailed,
    Reset,
    TimedOut,
    Malformed,
}

/// How a request ends for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestOutcome {
    Served,
    Rejected,
    Failed,
    /// Rejected or failed.
    NotServed,
}

/// A request, and the results of its first attempts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GivenRequest {
    /// `safe`, `keyed` or `unsafe`, in this order in all settings.
    pub class: String,
    pub results: Vec<AttemptResult>,
    /// Duration of each of these attempts.
    #[serde(default = "default_elapsed_ms")]
    pub elapsed_ms: u64,
}

fn default_elapsed_ms() -> u64 {
    20
}

impl GivenRequest {
    /// The number of its class.
    pub fn class(&self) -> usize {
        ["safe", "keyed", "unsafe"].iter().position(|name| *name == self.class).unwrap()
    }
}

/// What a request must end as.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExpectedOutcome {
    pub outcome: RequestOutcome,
    pub attempts: Option<usize>,
    pub max_attempts: Option<usize>,
}

/// What may follow the results of attempts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeRow {
    pub id: String,
    pub source: String,
    pub given: GivenRequest,
    pub expect: ExpectedOutcome,
    #[serde(default = "all_targets")]
    pub targets: Vec<Target>,
    /// Why it is not checked on all targets.
    pub reason: Option<String>,
}

fn all_targets() -> Vec<Target> {
    ALL_TARGETS.to_vec()
}

/// `outcomes.toml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcomes {
    pub row: Vec<OutcomeRow>,
}

/// A server order by the speeds of its servers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRow {
    pub id: String,
    pub source: String,
    pub speeds: Vec<f64>,
    /// The bound of (4.1), slightly above it where it has no short form.
    pub epsilon_below: Option<f64>,
    /// Of all requests when waits are equal, and of the dedicated ones.
    pub shares: Vec<f64>,
}

/// How a server is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    Ready,
    Draining,
    Removed,
    /// Started recently.
    WarmingUp,
}

/// Servers, and which of them get requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EligibilityRow {
    pub id: String,
    pub source: String,
    pub servers: Vec<ServerState>,
    /// Indices of servers that get requests.
    pub served: Vec<usize>,
    /// Indices of servers that get less than half of what any of those gets; all others get none.
    #[serde(default)]
    pub reduced: Vec<usize>,
}

/// `design.toml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Design {
    pub order: Vec<OrderRow>,
    pub eligibility: Vec<EligibilityRow>,
}

/// What happens to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryFault {
    None,
    Reset,
    Silent,
    Unavailable,
    Sighup,
    AgentOutage,
}

/// When a change counts as notified after a fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NotificationRow {
    pub id: String,
    pub source: String,
    pub fault: DiscoveryFault,
    pub notified_ms: u64,
}

/// `notification.toml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Notifications {
    pub row: Vec<NotificationRow>,
}

/// A request sent around SIGTERM, and its response.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShutdownRow {
    pub id: String,
    pub source: String,
    pub class: String,
    pub sent_ms: i64,
    pub served_ms: Option<u64>,
    pub status: u16,
    /// No server has received it.
    #[serde(default)]
    pub not_attempted: bool,
    pub by_ms: u64,
}

/// `shutdown.toml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shutdowns {
    pub row: Vec<ShutdownRow>,
}

/// A sentence of the design pages that has no row.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UntestedSentence {
    pub source: String,
    pub sentence: String,
    pub reason: String,
}

/// `untested.toml`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Untested {
    pub untested: Vec<UntestedSentence>,
}
