//! Parses the endpoints of a cluster.

use super::fields::{address, parse_address, ADDRESS_REMEDY};
use super::reader::{Located, Location};
use super::table::Table;
use crate::model::Endpoint;
use crate::problem::SafetyRule;
use std::collections::HashMap;
use toml::de::DeValue;

const MAX_WEIGHT: u32 = 1_000_000;

/// Parses the endpoints of a cluster. Endpoints that set no zone are in `cluster_zone`.
pub fn endpoints(cluster: &Table, cluster_zone: &str) -> Vec<Endpoint> {
    let mut endpoints: Vec<Endpoint> = Vec::new();
    let mut first_lines: HashMap<String, usize> = HashMap::new();
    let values = cluster.one_or_many("endpoints");
    let is_empty = values.is_empty();
    for located in values {
        let location = located.location.clone();
        if let Some(endpoint) = endpoint(cluster, located, cluster_zone) {
            check_unique(cluster, &endpoint, &location, &mut first_lines);
            endpoints.push(endpoint);
        }
    }
    check_has_weight(cluster, &endpoints, is_empty);
    endpoints
}

fn endpoint<'reader, 'text>(
    cluster: &Table<'reader, 'text>,
    located: Located<&'reader DeValue<'text>>,
    zone: &str,
) -> Option<Endpoint> {
    match located.value {
        DeValue::String(text) => {
            let text = Located { value: text.as_ref(), location: located.location };
            let address = cluster.parse(text, ADDRESS_REMEDY, parse_address)?.value;
            let name = address.to_string();
            Some(Endpoint { name, address, weight: 1, zone: zone.to_string() })
        }
        DeValue::Table(_) => {
            let table = cluster.as_table(located, "{ address = \"...\" }")?;
            let endpoint = endpoint_from_table(&table, zone);
            table.finish();
            endpoint
        }
        _ => {
            let remedy = "write an address, or { address = \"...\", weight = 2, zone = \"a\" }";
            cluster.reader.report(&located.location, "is not an endpoint", remedy);
            None
        }
    }
}

fn endpoint_from_table(table: &Table, cluster_zone: &str) -> Option<Endpoint> {
    // All fields are parsed before returning for a missing address, so that all problems are found.
    let address = address(table, "address");
    let name = table.text("name");
    let zone = table.text("zone");
    let weight = table.integer("weight", 1, 0..=MAX_WEIGHT).value;
    let address = address?.value;
    Some(Endpoint {
        name: name.map_or_else(|| address.to_string(), |name| name.value.to_string()),
        address,
        weight,
        zone: zone.map_or(cluster_zone, |zone| zone.value).to_string(),
    })
}

/// Checks that the name and address of an endpoint are unique. `first_lines` maps the names and
/// addresses of earlier endpoints to their lines.
fn check_unique(
    cluster: &Table,
    endpoint: &Endpoint,
    location: &Location,
    first_lines: &mut HashMap<String, usize>,
) {
    let line = cluster.reader.line(location);
    for key in [format!("name '{}'", endpoint.name), format!("address {}", endpoint.address)] {
        if let Some(first_line) = first_lines.insert(key.clone(), line) {
            let message = format!("the {key} is already used in line {first_line}");
            let remedy = "remove one of the two, or give it a weight";
            cluster.reader.report(location, message, remedy);
            break;
        }
    }
}

/// Checks that a cluster has an endpoint with a nonzero weight. Not reported if all endpoints have
/// errors, since their weights are unknown.
fn check_has_weight(cluster: &Table, endpoints: &[Endpoint], is_empty: bool) {
    let (message, remedy) = if is_empty {
        ("there are no endpoints", "list them, as in endpoints = [\"127.0.0.1:9001\"]")
    } else if !endpoints.is_empty() && endpoints.iter().all(|endpoint| endpoint.weight == 0) {
        ("every endpoint has weight 0", "give at least one a weight of 1")
    } else {
        return;
    };
    let location = cluster.location_of("endpoints");
    cluster.reader.report_violation(&location, message, remedy, SafetyRule::NoLostRequest);
}
