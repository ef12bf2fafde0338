//! Clusters and their endpoints.

use super::limits;
use super::reader::{At, Table};
use super::{header_name, ms, parse_address, ADDRESS, EVER, HEADER};
use crate::model::{Cluster, Endpoint};
use crate::problem::BrokenRule;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use toml::de::DeValue;

/// Statuses that count against an endpoint, unless the file states others: what a server
/// says of itself, and not of a request.
const FAILURES: [u16; 4] = [500, 502, 503, 504];
/// Most attempts of one request, by rule 2.
pub const ATTEMPTS_MAX: u32 = 6;
/// Longest wait for a connection that a file may state.
pub const CONNECT_MAX: Duration = Duration::from_secs(60);

/// What an open socket counts for beside a request: one that is told something once in a while
/// keeps a server busy for a small part of the time that a request does.
const SOCKET_WEIGHT: f64 = 0.05;
/// Retries allowed for each request, and the most saved up: as many as one endpoint that stops
/// may hold at that moment.
const RETRY_RATIO: f64 = 0.2;
const RETRY_BURST: u32 = 100;

pub fn read(top: &Table) -> BTreeMap<String, At<Cluster>> {
    let mut clusters = BTreeMap::new();
    let Some(all) = top.table("clusters") else { return clusters };
    for (name, value) in all.members() {
        let Some(table) = all.as_table(value, "[clusters.NAME]") else { continue };
        let cluster = cluster(&table);
        let at = At { value: cluster, span: name.span.clone(), field: name.field };
        clusters.insert(name.value.to_string(), at);
        table.finish();
    }
    clusters
}

fn cluster(table: &Table) -> Cluster {
    let zone = table.text("zone").map_or(String::new(), |at| at.value.to_string());
    let endpoints = endpoints(table, &zone);
    let statuses = table.list("failure-statuses", false);
    let failures = statuses.into_iter().filter_map(|at| {
        let status = match at.value {
            DeValue::Integer(n) => n.as_str().parse().ok().filter(|n| (400..=599).contains(n)),
            _ => None,
        };
        if status.is_none() {
            let mend = "write statuses from 400 to 599, as in [500, 503]";
            table.reader.wrong(&at.span, &at.field, "is not a status of a failure", mend);
        }
        status
    });
    let failures: Vec<u16> = failures.collect();
    let stated = table.has("failure-statuses");
    let never_ran = table.parsed("never-ran-header", HEADER, header_name);
    let connect = table.duration("connect-timeout", ms(200), ms(1)..=CONNECT_MAX);
    let retry = table.duration("max-retry-after", ms(10_000), ms(1_000)..=EVER);
    let ramp = table.duration("return-ramp", ms(2_000), ms(0)..=Duration::from_secs(600));
    let idle = table.duration("idle-timeout", ms(15_000), ms(100)..=EVER);
    let warm_up = table.duration("warm-up", Duration::ZERO, ms(0)..=EVER);
    let warm_from = table.number("warm-from", 0.3, 0.01..=1.0);
    if table.has("warm-from") && warm_up.value.is_zero() {
        let what = "has no effect without warm-up";
        let mend = "state how long a new server warms up, as in warm-up = \"8s\"";
        table.reader.breaks(&warm_from.span, &warm_from.field, what, mend, BrokenRule::Cold);
    }
    let retry_budget = table.table("retry-budget").map(|inner| {
        let ratio = inner.number("ratio", RETRY_RATIO, 0.0..=1.0).value;
        let burst = inner.whole("burst", RETRY_BURST, 1..=100_000).value;
        inner.finish();
        (ratio, burst)
    });
    Cluster {
        endpoints,
        zone,
        connect_timeout: connect.value,
        idle_timeout: idle.value,
        max_attempts: table.whole("max-attempts", 3, 1..=ATTEMPTS_MAX).value,
        retry_budget: retry_budget.unwrap_or((RETRY_RATIO, RETRY_BURST)),
        second_copies: table.flag("second-copies", false),
        failure_statuses: if stated { failures } else { FAILURES.to_vec() },
        never_ran_header: never_ran.map(|at| at.value),
        warm_up: warm_up.value,
        warm_from: warm_from.value,
        concurrency: limits::concurrency(table),
        connections: limits::connections(table),
        sockets: limits::sockets(table),
        socket_weight: table.number("socket-weight", SOCKET_WEIGHT, 0.0..=1.0).value,
        socket_spread: table
            .duration("socket-spread", ms(5_000), ms(0)..=Duration::from_secs(600))
            .value,
        max_retry_after: retry.value,
        return_ramp: ramp.value,
    }
}

fn endpoints(table: &Table, zone: &str) -> Vec<Endpoint> {
    let reader = table.reader;
    let mut endpoints: Vec<Endpoint> = Vec::new();
    let mut seen: HashMap<String, usize> = HashMap::new();
    let all = table.list("endpoints", true);
    let count = all.len();
    for at in all {
        let (span, field) = (at.span.clone(), at.field.clone());
        let endpoint = match at.value {
            DeValue::String(text) => {
                let at = At { value: text.as_ref(), span: at.span, field: at.field };
                table.parse(at, ADDRESS, parse_address).map(|at| Endpoint {
                    name: at.value.to_string(),
                    address: at.value,
                    weight: 1,
                    zone: zone.to_string(),
                })
            }
            DeValue::Table(_) => table.as_table(at, "{ address = \"...\" }").and_then(|inner| {
                let address = super::address(&inner, "address");
                let text = |key| inner.text(key).map(|at| at.value.to_string());
                let (name, of) = (text("name"), text("zone"));
                let weight = inner.whole("weight", 1, 0..=1_000_000).value;
                inner.finish();
                let address = address?.value;
                Some(Endpoint {
                    name: name.unwrap_or_else(|| address.to_string()),
                    address,
                    weight,
                    zone: of.unwrap_or_else(|| zone.to_string()),
                })
            }),
            _ => {
                let mend = "write an address, or { address = \"...\", weight = 2, zone = \"a\" }";
                reader.wrong(&span, &field, "is not an endpoint", mend);
                None
            }
        };
        let Some(endpoint) = endpoint else { continue };
        let line = reader.line(&span);
        for key in [format!("name '{}'", endpoint.name), format!("address {}", endpoint.address)] {
            if let Some(first) = seen.insert(key.clone(), line) {
                let what = format!("the {key} stands in line {first} already");
                reader.wrong(&span, &field, what, "remove one of the two, or give it a weight");
                break;
            }
        }
        endpoints.push(endpoint);
    }
    let (what, mend) = if count == 0 {
        ("there are no endpoints", "list them, as in endpoints = [\"127.0.0.1:9001\"]")
    } else if !endpoints.is_empty() && endpoints.iter().all(|e| e.weight == 0) {
        ("every endpoint has weight 0", "give one at least a weight of 1")
    } else {
        return endpoints;
    };
    let field = table.path("endpoints");
    reader.breaks(&table.span, &field, what, mend, BrokenRule::Lost);
    endpoints
}
