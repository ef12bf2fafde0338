//! Parses the action of a route: forward requests, redirect them, or respond to them.

use super::error::FieldError;
use super::fields::{parse_header_name, NOT_FORWARDED};
use super::header_edits::header_edits;
use super::reader::Located;
use super::redirect::{prefix_replacement, redirect};
use super::respond::respond;
use super::table::{Member, Table};
use crate::model::{Forward, RouteAction, Sticky};
use crate::problem::SafetyRule;
use mintshelf_routing::{ClusterSplit, RouteRule};
use toml::de::DeValue;

const ACTIONS: [&str; 4] = ["cluster", "clusters", "redirect", "respond"];
/// Keys of a route that apply only to forwarded requests.
const FORWARD_ONLY: [&str; 5] =
    ["sticky", "rewrite-prefix", "request-headers", "response-headers", "limits"];
const MAX_WEIGHT: u32 = 1_000_000;

/// The action of a route, and the clusters that the action names.
pub struct ParsedAction {
    pub action: RouteAction,
    pub clusters: Vec<Located<String>>,
}

/// Parses the action of a route.
pub fn parse(table: &Table, rule: &RouteRule) -> ParsedAction {
    check_single_action(table);
    let ParsedSplit { split, clusters } = split(table);
    let forward = forward(table, rule, split);
    let redirect = table.table("redirect").map(|inner| redirect(inner, rule));
    let respond = table.table("respond").map(respond);
    let action = match (redirect, respond) {
        (Some(redirect), _) => RouteAction::Redirect(redirect),
        (None, Some(respond)) => RouteAction::Respond(respond),
        (None, None) => RouteAction::Forward(forward),
    };
    if !matches!(action, RouteAction::Forward(_)) {
        for key in FORWARD_ONLY.into_iter().filter(|key| table.has(key)) {
            table.reader.report(&table.location_of(key), NOT_FORWARDED, "remove it");
        }
    }
    ParsedAction { action, clusters }
}

/// Checks that a route has exactly one action.
fn check_single_action(table: &Table) {
    let keys: Vec<&str> = ACTIONS.into_iter().filter(|key| table.has(key)).collect();
    let remedy = "write one of cluster, clusters, redirect and respond";
    match keys[..] {
        [_] => {}
        [] => {
            let message = "has no action";
            let rule = SafetyRule::NoLostRequest;
            table.reader.report_violation(&table.location, message, remedy, rule);
        }
        _ => {
            let message = format!("has {} at once", keys.join(" and "));
            table.reader.report(&table.location, message, remedy);
        }
    }
}

struct ParsedSplit {
    split: ClusterSplit,
    clusters: Vec<Located<String>>,
}

fn split(table: &Table) -> ParsedSplit {
    let cluster = table.text("cluster").map(|name| name.map(str::to_string));
    let mut clusters: Vec<Located<String>> = cluster.into_iter().collect();
    let mut weights: Vec<(String, u32)> =
        clusters.iter().map(|cluster| (cluster.value.clone(), 1)).collect();
    if let Some(members) = table.table("clusters") {
        for Member { name, value } in members.members() {
            weights.push((name.value.to_string(), weight(table, &value)));
            clusters.push(name.map(str::to_string));
        }
        if weights.iter().all(|(_, weight)| *weight == 0) {
            let message = "no cluster has a nonzero weight";
            let remedy = "give at least one a weight of 1";
            let rule = SafetyRule::NoLostRequest;
            table.reader.report_violation(&members.location, message, remedy, rule);
        }
    }
    // A split without a weighted cluster has been reported, so the placeholder is never used.
    let split = ClusterSplit::new(weights).unwrap_or_else(|| ClusterSplit::only(""));
    ParsedSplit { split, clusters }
}

fn weight(table: &Table, located: &Located<&DeValue>) -> u32 {
    let weight = match located.value {
        DeValue::Integer(number) => {
            number.as_str().parse::<u32>().ok().filter(|weight| *weight <= MAX_WEIGHT)
        }
        _ => None,
    };
    weight.unwrap_or_else(|| {
        let remedy = "write integers up to 1000000, as in { a = 9, b = 1 }";
        table.reader.report(&located.location, "is not a valid weight", remedy);
        1
    })
}

fn forward(table: &Table, rule: &RouteRule, split: ClusterSplit) -> Forward {
    let remedy = "write \"header:NAME\", \"cookie:NAME\", \"query:NAME\" or \"client\"";
    Forward {
        split,
        sticky: table.parsed("sticky", remedy, parse_sticky).map(|sticky| sticky.value),
        rewrite_prefix: prefix_replacement(table, "rewrite-prefix", rule),
        websocket: None,
        request: header_edits(table, "request-headers"),
        response: header_edits(table, "response-headers"),
    }
}

fn parse_sticky(text: &str) -> Result<Sticky, FieldError> {
    match text.split_once(':') {
        None if text == "client" => Ok(Sticky::Client),
        Some(("header", name)) => parse_header_name(name).map(Sticky::Header),
        Some(("cookie", name)) if !name.is_empty() => Ok(Sticky::Cookie(name.to_string())),
        Some(("query", name)) if !name.is_empty() => Ok(Sticky::Query(name.to_string())),
        _ => Err(FieldError::NotA("a source of sticky keys")),
    }
}
