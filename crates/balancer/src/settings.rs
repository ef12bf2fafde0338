//! The settings of an instance, from their JSON text.

use crate::api::*;
use serde::Deserialize;

/// Retries allowed per request, and the most saved up, on the platform.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SAVED: f64 = 5.0;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawSettings {
    self_index: u32,
    balancers: u32,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    flavors: Vec<String>,
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    over_share_worth: f64,
    #[serde(default)]
    worth_by: String,
    registry_mode: String,
    #[serde(default)]
    weight_kind: String,
    #[serde(default)]
    report: RawReport,
    tick: f64,
    invariants: RawRules,
    limits: RawLimits,
    #[serde(default)]
    goal: RawGoal,
    #[serde(default)]
    prices: RawPrices,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawClass {
    semantics: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    memory_span: f64,
    goal_time: f64,
    deadline: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
    #[serde(rename = "late-worth", default)]
    late_weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawTenant {
    #[serde(default)]
    quota_rps: f64,
    #[serde(default)]
    share: f64,
}

#[derive(Deserialize, Default)]
struct RawReport {
    #[serde(default)]
    how: String,
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawRules {
    grace_to_answer: f64,
    #[serde(rename = "ask-within", default)]
    poll_within: f64,
    stop_sending_within: f64,
    cold_from: f64,
    cold: f64,
    fall_multiple: f64,
    tip_after: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawLimits {
    cancel: bool,
    probes: bool,
    peers: bool,
    retry_after: bool,
    #[serde(default)]
    max_retry_after: f64,
    parallel_tries: bool,
    max_attempts: u32,
    connect_timeout: f64,
    conn_idle: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawGoal {
    whole: f64,
    worst_window: f64,
    worst_class: f64,
    worst_tenant: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct RawPrices {
    cross_zone: f64,
    waste: f64,
    handshake: f64,
    connection: f64,
    probe: f64,
    peer: f64,
    late_fail: f64,
}

fn span(key: &str, value: f64) -> Result<Nanos, String> {
    // Nanosecond spans up to a few centuries: a float holds them well enough.
    if (0.0..1e19).contains(&value) {
        Ok(value as Nanos)
    } else {
        Err(format!("{key}: {value} is not a span of time"))
    }
}

/// Reads the settings of an instance from their JSON text.
pub fn parse_settings(text: &str) -> Result<Settings, String> {
    let raw: RawSettings = serde_json::from_str(text).map_err(|e| e.to_string())?;
    if raw.classes.is_empty() {
        return Err("classes: there are none".into());
    }
    let mut classes = Vec::new();
    for c in &raw.classes {
        classes.push(Class {
            effect: match c.semantics.as_str() {
                "pure" => Effect::Safe,
                "token" => Effect::Idempotent,
                "side_effect" => Effect::Unsafe,
                other => return Err(format!("classes.semantics: '{other}' is not known")),
            },
            group: match c.group.as_str() {
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                "all" | "" => Group::All,
                other => return Err(format!("classes.group: '{other}' is not known")),
            },
            dedup_window: span("classes.memory-span", c.memory_span)?,
            latency_objective: span("classes.goal-time", c.goal_time)?,
            deadline: span("classes.deadline", c.deadline)?,
            priority_weight: c.priority_weight,
            late_weight: c.late_weight,
            max_attempts: raw.limits.max_attempts,
            backoff: [0; 2],
        });
    }
    let (r, l) = (&raw.invariants, &raw.limits);
    Ok(Settings {
        self_index: raw.self_index,
        instances: raw.balancers.max(1),
        zone: raw.zone,
        zones: (raw.zones.len() as u32).max(1),
        kinds: (raw.flavors.len() as u32).max(1),
        classes,
        tenants: raw
            .tenants
            .iter()
            .map(|t| Tenant { quota_per_s: t.quota_rps, share: t.share })
            .collect(),
        over_share_worth: raw.over_share_worth,
        worth_by_work: raw.worth_by == "work",
        must_poll: match raw.registry_mode.as_str() {
            "subscribe" => true,
            "automatic" => false,
            other => return Err(format!("registry-mode: '{other}' is not known")),
        },
        poll_within: span("invariants.ask-within", r.poll_within)?,
        size_kind: match raw.weight_kind.as_str() {
            "nominal" => SizeKind::Nominal,
            "rough" => SizeKind::Rough,
            "live" => SizeKind::Live,
            _ => SizeKind::Absent,
        },
        report_mode: match raw.report.how.as_str() {
            "piggyback" => ReportMode::Answers,
            "pull" => ReportMode::Probes,
            _ => ReportMode::Absent,
        },
        report_fields: raw
            .report
            .fields
            .iter()
            .map(|name| match name.as_str() {
                "inflight" => ReportField::InFlight,
                "queue" => ReportField::Queue,
                "util" => ReportField::Utilization,
                "latency_ms" => ReportField::LatencyMs,
                "qps" => ReportField::ServedPerS,
                "eps" => ReportField::ErrorsPerS,
                _ => ReportField::Other,
            })
            .collect(),
        tick: span("tick", raw.tick)?,
        answer_slack: span("invariants.grace-to-answer", r.grace_to_answer)?,
        drain_grace: span("invariants.stop-sending-within", r.stop_sending_within)?,
        cold_from: r.cold_from,
        cold: span("invariants.cold", r.cold)?,
        fall_multiple: r.fall_multiple,
        tip_after: span("invariants.tip-after", r.tip_after)?,
        cancel: l.cancel,
        probes: l.probes,
        peers: l.peers,
        retry_after: l.retry_after,
        max_retry_after: span("limits.max-retry-after", l.max_retry_after)?,
        parallel_attempts: l.parallel_tries,
        max_attempts: l.max_attempts,
        retry_ratio: RETRY_RATIO,
        retry_budget_max: RETRY_SAVED,
        silence_is_local: false,
        connect_timeout: span("limits.connect-timeout", l.connect_timeout)?,
        idle_timeout: span("limits.conn-idle", l.conn_idle)?,
        goal: Objective {
            whole: raw.goal.whole,
            worst_window: raw.goal.worst_window,
            worst_class: raw.goal.worst_class,
            worst_tenant: raw.goal.worst_tenant,
        },
        prices: Prices {
            cross_zone: raw.prices.cross_zone,
            waste: raw.prices.waste,
            handshake: raw.prices.handshake,
            connection: raw.prices.connection,
            probe: raw.prices.probe,
            peer: raw.prices.peer,
            late_fail: raw.prices.late_fail,
        },
    })
}
