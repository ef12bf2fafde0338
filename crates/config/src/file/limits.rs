//! Parses the limits of tenants, routes and clusters.

use super::error::FieldError;
use super::table::Table;
use crate::model::{ConcurrencyLimit, ConnectionLimits};
use crate::problem::SafetyRule;
use mintshelf_admission::limit::LimitConfig;
use mintshelf_admission::rate::RateConfig;
use std::num::NonZeroU32;
use std::time::Duration;

/// Upper bound of any limit.
const MAX_LIMIT: u32 = 1_000_000;
/// Upper bound of the requests that may be queued for a cluster.
const MAX_QUEUED: u32 = 100_000;
/// If connections are limited, one in this many is reserved for requests.
const REQUEST_RESERVE_DIVISOR: u32 = 4;

const RATE_REMEDY: &str = "write a rate as in \"100/s\", \"30/m\" or \"5/h\"";

/// A rate without a burst.
#[derive(Debug, Clone, Copy)]
struct ParsedRate {
    count: NonZeroU32,
    period: Duration,
}

fn parse_rate(text: &str) -> Result<ParsedRate, FieldError> {
    const ERROR: FieldError = FieldError::NotA("a rate");
    let (count, unit) = text.split_once('/').ok_or(ERROR)?;
    let seconds = match unit {
        "s" => 1,
        "m" => 60,
        "h" => 3600,
        _ => return Err(ERROR),
    };
    let count: u32 = count.trim().parse().map_err(|_| ERROR)?;
    let count = NonZeroU32::new(count).ok_or(FieldError::ZeroRate)?;
    Ok(ParsedRate { count, period: Duration::from_secs(seconds) })
}

/// Parses the limits of a tenant or a route.
pub fn limit(table: &Table) -> LimitConfig {
    let max = |key, min| Some(table.optional_integer(key, 1, min..=MAX_LIMIT)?.value);
    LimitConfig {
        rate: rate(table),
        max_concurrency: max("concurrency", 1),
        max_body_bytes: None,
        max_sockets: max("sockets", 0),
    }
}

fn rate(table: &Table) -> Option<RateConfig> {
    let rate = table.parsed("rate", RATE_REMEDY, parse_rate);
    let default_burst = rate.as_ref().map_or(1, |rate| rate.value.count.get().min(MAX_LIMIT));
    let burst = table.integer("burst", default_burst, 1..=MAX_LIMIT);
    if table.has("burst") && !table.has("rate") {
        let message = "has no effect without a rate";
        table.reader.report(&burst.location, message, "set a rate as well");
    }
    let rate = rate?;
    let ParsedRate { count, period } = rate.value;
    let config = RateConfig { count, period, burst: NonZeroU32::new(burst.value)? };
    if !config.is_enforceable() {
        table.reader.report(&rate.location, "is too high to be enforced", RATE_REMEDY);
    }
    Some(config)
}

/// Parses the concurrency limit of a cluster; `None` if the cluster has none.
pub fn concurrency(table: &Table) -> Option<ConcurrencyLimit> {
    let max_concurrency = table.integer("concurrency", 1, 1..=MAX_LIMIT);
    let default_queue = max_concurrency.value.min(MAX_LIMIT);
    let max_queued = table.integer("queue", default_queue, 0..=MAX_QUEUED);
    if table.has("concurrency") {
        return Some(ConcurrencyLimit {
            max_concurrency: max_concurrency.value,
            max_queued: max_queued.value,
        });
    }
    if table.has("queue") {
        let message = "has no effect without a concurrency limit";
        let remedy = "set one, as in concurrency = 100";
        table.reader.report(&max_queued.location, message, remedy);
    }
    None
}

/// Parses the upper bounds of a cluster's connections.
pub fn connections(table: &Table) -> ConnectionLimits {
    let max = |key| Some(table.optional_integer(key, 1, 1..=MAX_LIMIT)?.value);
    ConnectionLimits { total: max("connections"), per_endpoint: max("endpoint-connections") }
}

/// Parses the upper bounds of a cluster's WebSocket connections.
pub fn sockets(table: &Table) -> ConnectionLimits {
    ConnectionLimits {
        total: max_sockets(table, "sockets", "connections"),
        per_endpoint: max_sockets(table, "endpoint-sockets", "endpoint-connections"),
    }
}

/// Returns the upper bound of WebSocket connections under a key. If connections are limited, a
/// quarter of them is reserved for requests.
fn max_sockets(table: &Table, key: &'static str, connections_key: &'static str) -> Option<u32> {
    let connections = table.optional_integer(connections_key, 1, 1..=MAX_LIMIT);
    let available = connections.map(|max| max.value - max.value.div_ceil(REQUEST_RESERVE_DIVISOR));
    let stated = table.optional_integer(key, 1, 0..=MAX_LIMIT);
    if let (Some(stated), Some(available)) = (&stated, available) {
        if stated.value > available {
            let message = format!(
                "would leave too few {connections_key} for requests: up to {available} may be \
                 sockets"
            );
            let rule = SafetyRule::NoLostRequest;
            table.reader.report_violation(&stated.location, message, "lower it", rule);
        }
    }
    stated.map(|stated| stated.value).or(available)
}
