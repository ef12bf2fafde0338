//! Parses the settings of an instance from a JSON document.

mod document;

use crate::api::{
    Backoff, Class, DedupScope, Effect, Objective, Prices, ReportField, ReportMode, Settings,
    SizeKind, Tenant,
};
use document::{
    ClassEntry, InvariantsEntry, LimitsEntry, ObjectiveEntry, PricesEntry, SettingsDocument,
    TenantEntry,
};
use mintshelf_time::{from_float, Nanos};
use thiserror::Error;

/// Credits that a request adds to the retry budget; the platform configuration has no key for it.
const RETRY_RATIO: f64 = 0.2;
/// Maximum balance of the retry budget; the platform configuration has no key for it.
const RETRY_BUDGET_MAX: f64 = 5.0;

/// Reason for which a settings document was rejected.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON, or a key is missing or has the wrong type.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// The list of request classes is empty.
    #[error("classes: is empty; expected at least one class")]
    NoClasses,
    /// The value of a key is none of its permitted values.
    #[error("{key}: unknown value '{value}': expected one of {expected}")]
    UnknownValue {
        /// Path of the key.
        key: &'static str,
        /// The value in the document that is not permitted.
        value: String,
        /// The permitted values, for messages.
        expected: &'static str,
    },
    /// A duration is negative, not finite, or exceeds 64 bits of nanoseconds.
    #[error("{key}: '{value}' is not a duration: expected nanoseconds from 0 to below 1e19")]
    InvalidDuration {
        /// Path of the key.
        key: &'static str,
        /// The value found, in nanoseconds.
        value: f64,
    },
}

/// Parses the settings of an instance from JSON text.
///
/// # Errors
///
/// [`SettingsError`] if the text is not a valid settings document.
pub fn parse_settings(text: &str) -> Result<Settings, SettingsError> {
    let document: SettingsDocument = serde_json::from_str(text)?;
    if document.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let settings = deployment_settings(&document)?;
    let settings = with_invariants(settings, &document.invariants)?;
    with_limits(settings, &document.limits)
}

/// Converts the settings other than `invariants` and `limits`, which keep their defaults.
fn deployment_settings(document: &SettingsDocument) -> Result<Settings, SettingsError> {
    let max_attempts = document.limits.max_attempts;
    let classes = document.classes.iter().map(|entry| class(entry, max_attempts));
    Ok(Settings {
        self_index: document.self_index,
        instances: document.instances.max(1),
        zone: document.zone,
        zones: count_or_one(&document.zones),
        hardware_models: count_or_one(&document.hardware_models),
        classes: classes.collect::<Result<Vec<_>, _>>()?,
        tenants: document.tenants.iter().map(tenant).collect(),
        over_quota_weight: document.over_quota_weight,
        is_weighted_by_work: document.weighted_by == "work",
        must_poll: must_poll(&document.registry_mode)?,
        poll_within: duration("invariants.ask-within", document.invariants.poll_within)?,
        size_kind: size_kind(&document.size_kind),
        report_mode: report_mode(&document.load_report.mode),
        report_fields: document.load_report.fields.iter().map(|name| report_field(name)).collect(),
        tick: duration("tick", document.tick)?,
        retry_ratio: RETRY_RATIO,
        retry_budget_max: RETRY_BUDGET_MAX,
        detects_unresponsive_servers: false,
        objective: objective(&document.objective),
        prices: prices(&document.prices),
        ..Settings::default()
    })
}

/// Sets the guarantees that the deployment requires or provides.
fn with_invariants(
    settings: Settings,
    invariants: &InvariantsEntry,
) -> Result<Settings, SettingsError> {
    Ok(Settings {
        late_response_grace: duration(
            "invariants.grace-to-answer",
            invariants.late_response_grace,
        )?,
        drain_grace: duration("invariants.stop-sending-within", invariants.drain_grace)?,
        initial_capacity: invariants.initial_capacity,
        warm_up: duration("invariants.cold", invariants.warm_up)?,
        overload_multiple: invariants.overload_multiple,
        overload_duration: duration("invariants.tip-after", invariants.overload_duration)?,
        ..settings
    })
}

/// Sets what the deployment permits.
fn with_limits(settings: Settings, limits: &LimitsEntry) -> Result<Settings, SettingsError> {
    Ok(Settings {
        can_cancel: limits.can_cancel,
        can_probe: limits.can_probe,
        has_peers: limits.has_peers,
        clients_honor_retry_after: limits.retry_after,
        max_retry_after: duration("limits.max-retry-after", limits.max_retry_after)?,
        allows_parallel_attempts: limits.allows_parallel_attempts,
        max_attempts: limits.max_attempts,
        connect_timeout: duration("limits.connect-timeout", limits.connect_timeout)?,
        idle_timeout: duration("limits.conn-idle", limits.idle_timeout)?,
        ..settings
    })
}

/// Returns the number of names, and 1 for an empty list.
fn count_or_one(names: &[String]) -> u32 {
    u32::try_from(names.len()).unwrap_or(u32::MAX).max(1)
}

/// Converts a duration in nanoseconds. JSON numbers are read as `f64`, whose rounding does not
/// matter for durations of up to a few centuries.
fn duration(key: &'static str, value: f64) -> Result<Nanos, SettingsError> {
    if (0.0..1e19).contains(&value) {
        Ok(from_float(value))
    } else {
        Err(SettingsError::InvalidDuration { key, value })
    }
}

fn unknown_value<T>(
    key: &'static str,
    value: &str,
    expected: &'static str,
) -> Result<T, SettingsError> {
    Err(SettingsError::UnknownValue { key, value: value.to_string(), expected })
}

fn class(entry: &ClassEntry, max_attempts: u32) -> Result<Class, SettingsError> {
    Ok(Class {
        effect: effect(&entry.semantics)?,
        dedup_scope: dedup_scope(&entry.dedup_scope)?,
        dedup_window: duration("classes.memory-span", entry.dedup_window)?,
        latency_objective: duration("classes.goal-time", entry.latency_objective)?,
        deadline: duration("classes.deadline", entry.deadline)?,
        priority_weight: entry.priority_weight,
        late_weight: entry.late_weight,
        max_attempts,
        backoff: Backoff::default(),
    })
}

fn effect(name: &str) -> Result<Effect, SettingsError> {
    match name {
        "pure" => Ok(Effect::Safe),
        "token" => Ok(Effect::Idempotent),
        "side_effect" => Ok(Effect::Unsafe),
        other => unknown_value("classes.semantics", other, "'pure', 'token', 'side_effect'"),
    }
}

fn dedup_scope(name: &str) -> Result<DedupScope, SettingsError> {
    match name {
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::FailureDomain),
        "all" | "" => Ok(DedupScope::All),
        other => unknown_value("classes.group", other, "'zone', 'cell', 'all', ''"),
    }
}

fn tenant(entry: &TenantEntry) -> Tenant {
    Tenant { quota_per_second: entry.quota_per_second, share: entry.share }
}

fn must_poll(registry_mode: &str) -> Result<bool, SettingsError> {
    match registry_mode {
        "subscribe" => Ok(true),
        "automatic" => Ok(false),
        other => unknown_value("registry-mode", other, "'subscribe', 'automatic'"),
    }
}

fn size_kind(name: &str) -> SizeKind {
    match name {
        "nominal" => SizeKind::Nominal,
        "rough" => SizeKind::Approximate,
        "live" => SizeKind::LoadAdjusted,
        _ => SizeKind::Uniform,
    }
}

fn report_mode(name: &str) -> ReportMode {
    match name {
        "piggyback" => ReportMode::WithResponses,
        "pull" => ReportMode::WithProbes,
        _ => ReportMode::Never,
    }
}

fn report_field(name: &str) -> ReportField {
    match name {
        "inflight" => ReportField::InFlight,
        "queue" => ReportField::Queue,
        "util" => ReportField::Utilization,
        "latency_ms" => ReportField::LatencyMs,
        "qps" => ReportField::ServedPerSecond,
        "eps" => ReportField::ErrorsPerSecond,
        _ => ReportField::Other,
    }
}

fn objective(entry: &ObjectiveEntry) -> Objective {
    Objective {
        overall: entry.overall,
        worst_window: entry.worst_window,
        worst_class: entry.worst_class,
        worst_tenant: entry.worst_tenant,
    }
}

fn prices(entry: &PricesEntry) -> Prices {
    Prices {
        cross_zone: entry.cross_zone,
        waste: entry.waste,
        handshake: entry.handshake,
        connection: entry.connection,
        probe: entry.probe,
        peer: entry.peer,
        late_failure: entry.late_failure,
    }
}
