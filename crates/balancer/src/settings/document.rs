//! The JSON document with an instance's settings, for deserialization.
//!
//! Fields have the names of this package's terms; `rename` has the keys of the document where they
//! differ. All durations are in nanoseconds.

use serde::Deserialize;

/// The complete settings document.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct SettingsDocument {
    pub(super) self_index: u32,
    #[serde(rename = "balancers")]
    pub(super) instances: u32,
    #[serde(default)]
    pub(super) zone: u32,
    #[serde(default)]
    pub(super) zones: Vec<String>,
    #[serde(rename = "flavors", default)]
    pub(super) hardware_models: Vec<String>,
    pub(super) classes: Vec<ClassEntry>,
    #[serde(default)]
    pub(super) tenants: Vec<TenantEntry>,
    #[serde(rename = "over-share-worth", default)]
    pub(super) over_quota_weight: f64,
    #[serde(rename = "worth-by", default)]
    pub(super) weighted_by: String,
    pub(super) registry_mode: String,
    #[serde(rename = "weight-kind", default)]
    pub(super) size_kind: String,
    #[serde(rename = "report", default)]
    pub(super) load_report: LoadReportEntry,
    pub(super) tick: f64,
    pub(super) invariants: InvariantsEntry,
    pub(super) limits: LimitsEntry,
    #[serde(rename = "goal", default)]
    pub(super) objective: ObjectiveEntry,
    #[serde(default)]
    pub(super) prices: PricesEntry,
}

/// An entry of the list of request classes.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct ClassEntry {
    pub(super) semantics: String,
    #[serde(rename = "group", default)]
    pub(super) dedup_scope: String,
    #[serde(rename = "memory-span", default)]
    pub(super) dedup_window: f64,
    #[serde(rename = "goal-time")]
    pub(super) latency_objective: f64,
    pub(super) deadline: f64,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
    #[serde(rename = "late-worth", default)]
    pub(super) late_weight: f64,
}

/// An entry of the list of tenants.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct TenantEntry {
    #[serde(rename = "quota-rps", default)]
    pub(super) quota_per_second: f64,
    #[serde(default)]
    pub(super) share: f64,
}

/// Which messages carry load reports, and their fields.
#[derive(Deserialize, Default)]
pub(super) struct LoadReportEntry {
    #[serde(rename = "how", default)]
    pub(super) mode: String,
    #[serde(default)]
    pub(super) fields: Vec<String>,
}

/// Guarantees that the deployment requires or provides.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct InvariantsEntry {
    #[serde(rename = "grace-to-answer")]
    pub(super) late_response_grace: f64,
    #[serde(rename = "ask-within", default)]
    pub(super) poll_within: f64,
    #[serde(rename = "stop-sending-within")]
    pub(super) drain_grace: f64,
    #[serde(rename = "cold-from")]
    pub(super) initial_capacity: f64,
    #[serde(rename = "cold")]
    pub(super) warm_up: f64,
    #[serde(rename = "fall-multiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "tip-after")]
    pub(super) overload_duration: f64,
}

/// Permissions and limits of the deployment.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct LimitsEntry {
    #[serde(rename = "cancel")]
    pub(super) can_cancel: bool,
    #[serde(rename = "probes")]
    pub(super) can_probe: bool,
    #[serde(rename = "peers")]
    pub(super) has_peers: bool,
    pub(super) retry_after: bool,
    #[serde(default)]
    pub(super) max_retry_after: f64,
    #[serde(rename = "parallel-tries")]
    pub(super) allows_parallel_attempts: bool,
    pub(super) max_attempts: u32,
    pub(super) connect_timeout: f64,
    #[serde(rename = "conn-idle")]
    pub(super) idle_timeout: f64,
}

/// Weights of the components of the objective.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct ObjectiveEntry {
    #[serde(rename = "whole")]
    pub(super) overall: f64,
    pub(super) worst_window: f64,
    pub(super) worst_class: f64,
    pub(super) worst_tenant: f64,
}

/// Prices of the side effects of traffic.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(super) struct PricesEntry {
    pub(super) cross_zone: f64,
    pub(super) waste: f64,
    pub(super) handshake: f64,
    pub(super) connection: f64,
    pub(super) probe: f64,
    pub(super) peer: f64,
    #[serde(rename = "late-fail")]
    pub(super) late_failure: f64,
}
