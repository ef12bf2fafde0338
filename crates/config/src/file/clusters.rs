//! Parses `[clusters]`: the endpoints of each cluster, with its timeouts, attempts and limits.

use super::endpoints::endpoints;
use super::error::FieldError;
use super::fields::{parse_header_name, HEADER_REMEDY};
use super::limits;
use super::parsed::ParsedClusters;
use super::reader::Located;
use super::table::{Member, Table};
use super::value::{ms, MAX_DURATION};
use crate::model::{Cluster, RetryBudgetConfig};
use crate::problem::SafetyRule;
use std::time::Duration;
use toml::de::DeValue;

/// Default statuses that count as a failure of the endpoint: those caused by the server and not by
/// the request.
const DEFAULT_FAILURE_STATUSES: [u16; 4] = [500, 502, 503, 504];
/// Upper bound of the attempts of one request, by safety rule 2.
pub const MAX_ATTEMPTS: u32 = 6;
const DEFAULT_ATTEMPTS: u32 = 3;
/// Upper bound of the connect timeout.
pub const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(60);
/// Upper bound of the recovery ramp and of the time over which WebSocket connections migrate.
const MAX_RAMP: Duration = Duration::from_secs(600);
/// Default load of an open WebSocket connection relative to a request, which takes more work.
const DEFAULT_SOCKET_WEIGHT: f64 = 0.05;
/// Default fraction of a server's capacity at which the warm-up starts.
const DEFAULT_WARM_UP_START: f64 = 0.3;
/// Default retry budget. Its burst covers the attempts in flight at one endpoint when that endpoint
/// fails.
const DEFAULT_RETRY_BUDGET: RetryBudgetConfig = RetryBudgetConfig { ratio: 0.2, burst: 100 };

/// Parses the clusters of the file by name; empty if the file has no `[clusters]`.
pub fn parse(root: &Table) -> ParsedClusters {
    let mut clusters = ParsedClusters::new();
    let Some(tables) = root.table("clusters") else { return clusters };
    for Member { name, value } in tables.members() {
        let Some(table) = tables.as_table(value, "[clusters.NAME]") else { continue };
        let cluster = Located { value: cluster(&table), location: name.location };
        clusters.insert(name.value.to_string(), cluster);
        table.finish();
    }
    clusters
}

fn cluster(table: &Table) -> Cluster {
    let zone = table.text("zone").map_or(String::new(), |zone| zone.value.to_string());
    let never_ran_header = table.parsed("never-ran-header", HEADER_REMEDY, parse_header_name);
    let duration = |key, default, bounds| table.duration(key, default, bounds).value;
    let warm_up = duration("warm-up", Duration::ZERO, ms(0)..=MAX_DURATION);
    Cluster {
        endpoints: endpoints(table, &zone),
        zone,
        connect_timeout: duration("connect-timeout", ms(200), ms(1)..=MAX_CONNECT_TIMEOUT),
        idle_timeout: duration("idle-timeout", ms(15_000), ms(100)..=MAX_DURATION),
        max_attempts: table.integer("max-attempts", DEFAULT_ATTEMPTS, 1..=MAX_ATTEMPTS).value,
        retry_budget: retry_budget(table),
        allows_parallel_attempts: table.flag("second-copies", false),
        failure_statuses: failure_statuses(table),
        never_ran_header: never_ran_header.map(|header| header.value),
        warm_up,
        warm_up_start: warm_up_start(table, warm_up),
        concurrency: limits::concurrency(table),
        connections: limits::connections(table),
        sockets: limits::sockets(table),
        socket_weight: table.number("socket-weight", DEFAULT_SOCKET_WEIGHT, 0.0..=1.0).value,
        socket_spread: duration("socket-spread", ms(5_000), ms(0)..=MAX_RAMP),
        max_retry_after: duration("max-retry-after", ms(10_000), ms(1_000)..=MAX_DURATION),
        recovery_ramp: duration("return-ramp", ms(2_000), ms(0)..=MAX_RAMP),
    }
}

/// Parses the fraction of a server's capacity at which the warm-up starts.
fn warm_up_start(table: &Table, warm_up: Duration) -> f64 {
    let start = table.number("warm-from", DEFAULT_WARM_UP_START, 0.01..=1.0);
    if table.has("warm-from") && warm_up.is_zero() {
        let message = "has no effect without warm-up";
        let remedy = "set how long a new server warms up, as in warm-up = \"8s\"";
        let rule = SafetyRule::NoOverloadedWarmUp;
        table.reader.report_violation(&start.location, message, remedy, rule);
    }
    start.value
}

fn retry_budget(table: &Table) -> RetryBudgetConfig {
    let Some(table) = table.table("retry-budget") else { return DEFAULT_RETRY_BUDGET };
    let RetryBudgetConfig { ratio, burst } = DEFAULT_RETRY_BUDGET;
    let budget = RetryBudgetConfig {
        ratio: table.number("ratio", ratio, 0.0..=1.0).value,
        burst: table.integer("burst", burst, 1..=100_000).value,
    };
    table.finish();
    budget
}

fn failure_statuses(table: &Table) -> Vec<u16> {
    let statuses = table.list("failure-statuses").into_iter();
    let statuses = statuses.filter_map(|located| {
        let status = failure_status(located.value);
        if status.is_none() {
            let message = FieldError::NotA("a failure status");
            let remedy = "write statuses from 400 to 599, as in [500, 503]";
            table.reader.report(&located.location, message, remedy);
        }
        status
    });
    let statuses: Vec<u16> = statuses.collect();
    if table.has("failure-statuses") {
        statuses
    } else {
        DEFAULT_FAILURE_STATUSES.to_vec()
    }
}

fn failure_status(value: &DeValue) -> Option<u16> {
    match value {
        DeValue::Integer(number) => {
            number.as_str().parse().ok().filter(|status| (400..=599).contains(status))
        }
        _ => None,
    }
}
