//! What a route does with requests: forward, redirect or respond.

use super::error::FieldError;
use super::fields::{parse_header_name, parse_path, HEADER_REMEDY, NOT_FORWARDED, PATH_REMEDY};
use super::reader::{Located, Place};
use super::table::{Member, Table};
use crate::model::{Forward, HeaderEdits, Redirect, Respond, RouteAction, Sticky};
use crate::problem::SafetyRule;
use http::uri::Authority;
use http::{HeaderName, HeaderValue, StatusCode};
use mintshelf_routing::{ClusterSplit, PathMatch, RouteRule};
use toml::de::DeValue;

const ACTIONS: [&str; 4] = ["cluster", "clusters", "redirect", "respond"];
/// Keys of a route that concern only requests that are forwarded.
const FORWARD_ONLY: [&str; 5] =
    ["sticky", "rewrite-prefix", "request-headers", "response-headers", "limits"];
const MAX_WEIGHT: u32 = 1_000_000;

/// An action, and the clusters that it names.
pub struct ParsedAction {
    pub action: RouteAction,
    pub clusters: Vec<Located<String>>,
}

/// Parses the action of a route.
pub fn parse(table: &Table, rule: &RouteRule) -> ParsedAction {
    check_single(table);
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
            table.reader.report(&table.place_of(key), NOT_FORWARDED, "remove it");
        }
    }
    ParsedAction { action, clusters }
}

/// Checks that a route has exactly one action.
fn check_single(table: &Table) {
    let stated: Vec<&str> = ACTIONS.into_iter().filter(|key| table.has(key)).collect();
    let remedy = "write one of cluster, clusters, redirect and respond";
    match stated[..] {
        [_] => {}
        [] => {
            let message = "says nothing of where requests go";
            let rule = SafetyRule::NoLostRequest;
            table.reader.report_violation(&table.place, message, remedy, rule);
        }
        _ => {
            let message = format!("has {} at once", stated.join(" and "));
            table.reader.report(&table.place, message, remedy);
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
            let message = "no cluster has a weight";
            let remedy = "give one at least a weight of 1";
            let rule = SafetyRule::NoLostRequest;
            table.reader.report_violation(&members.place, message, remedy, rule);
        }
    }
    // A route without a cluster has been reported; the substitute is never used.
    let split = ClusterSplit::new(weights).unwrap_or_else(|| ClusterSplit::only(""));
    ParsedSplit { split, clusters }
}

fn weight(table: &Table, at: &Located<&DeValue>) -> u32 {
    let weight = match at.value {
        DeValue::Integer(number) => {
            number.as_str().parse::<u32>().ok().filter(|weight| *weight <= MAX_WEIGHT)
        }
        _ => None,
    };
    weight.unwrap_or_else(|| {
        let remedy = "write whole weights up to 1000000, as in { a = 9, b = 1 }";
        table.reader.report(&at.place, "is not a weight", remedy);
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
        _ => Err(FieldError::NotA("where a key comes from")),
    }
}

/// A path that replaces the route's prefix.
fn prefix_replacement(table: &Table, key: &'static str, rule: &RouteRule) -> Option<String> {
    let replacement = table.parsed(key, PATH_REMEDY, parse_path)?;
    if !matches!(rule.path, PathMatch::Prefix(_)) {
        let message = "the route has no prefix to put it in place of";
        table.reader.report(&replacement.place, message, "match by prefix, or remove it");
    }
    Some(replacement.value)
}

/// Headers that determine the length of a message or concern one connection, which a file must not
/// change.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

fn header_edits(table: &Table, key: &'static str) -> HeaderEdits {
    let Some(inner) = table.table(key) else { return HeaderEdits::default() };
    // Of these headers a route may change only the host of a request.
    let allows_host = key == "request-headers";
    let removed = inner.texts("remove").into_iter();
    let edits = HeaderEdits {
        remove: removed.filter_map(|name| editable_header(&inner, name, allows_host)).collect(),
        set: headers(&inner, "set", allows_host),
        add: headers(&inner, "add", allows_host),
    };
    inner.finish();
    edits
}

fn editable_header(table: &Table, name: Located<&str>, allows_host: bool) -> Option<HeaderName> {
    let header = table.parse(name, HEADER_REMEDY, parse_header_name)?;
    let name = header.value;
    let is_allowed = !CONNECTION_HEADERS.contains(&name.as_str()) || allows_host && name == "host";
    if !is_allowed {
        let message = format!("'{name}' belongs to the connection");
        let remedy = "leave it to the program";
        let rule = SafetyRule::NoLostRequest;
        table.reader.report_violation(&header.place, message, remedy, rule);
    }
    is_allowed.then_some(name)
}

fn headers(table: &Table, key: &'static str, allows_host: bool) -> Vec<(HeaderName, HeaderValue)> {
    let Some(table) = table.table(key) else { return Vec::new() };
    let header = |Member { name, value }: Member| {
        let name = editable_header(&table, name, allows_host)?;
        let header_value = match value.value {
            DeValue::String(text) => HeaderValue::from_str(text).ok(),
            _ => None,
        };
        if header_value.is_none() {
            let remedy = "write a text without line breaks";
            table.reader.report(&value.place, "is not a header's value", remedy);
        }
        Some((name, header_value?))
    };
    table.members().into_iter().filter_map(header).collect()
}

fn redirect(table: Table, rule: &RouteRule) -> Redirect {
    let scheme = table.parsed("scheme", "write \"http\" or \"https\"", |text| match text {
        "http" | "https" => Ok(text.to_string()),
        _ => Err(FieldError::NotA("a scheme")),
    });
    let host = table.parsed("host", "write a host, with a port if need be", parse_redirect_host);
    let path = table.parsed("path", PATH_REMEDY, parse_path);
    let prefix = prefix_replacement(&table, "prefix", rule);
    if path.is_some() && prefix.is_some() {
        table.reader.report(&table.place, "has path and prefix", "keep one of them");
    }
    if ["scheme", "host", "path", "prefix"].into_iter().all(|key| !table.has(key)) {
        let remedy = "state a scheme, a host, a path or a prefix";
        table.reader.report(&table.place, "sends clients to where they are", remedy);
    }
    let redirect = Redirect {
        status: redirect_status(&table),
        scheme: scheme.map(|scheme| scheme.value),
        host: host.map(|host| host.value),
        path: path.map(|path| path.value),
        prefix,
    };
    table.finish();
    redirect
}

fn redirect_status(table: &Table) -> StatusCode {
    const STATUSES: [u32; 5] = [301, 302, 303, 307, 308];
    let status = table.integer("status", 302, 300..=399);
    if !STATUSES.contains(&status.value) {
        let message = format!("{} sends nobody anywhere", status.value);
        table.reader.report(&status.place, message, "write 301, 302, 303, 307 or 308");
    }
    status_code(status.value).unwrap_or(StatusCode::FOUND)
}

fn status_code(status: u32) -> Option<StatusCode> {
    StatusCode::from_u16(u16::try_from(status).ok()?).ok()
}

fn parse_redirect_host(text: &str) -> Result<String, FieldError> {
    match text.parse::<Authority>() {
        Ok(_) if !text.contains('@') => Ok(text.to_string()),
        _ => Err(FieldError::NotA("a host")),
    }
}

fn respond(table: Table) -> Respond {
    let status = table.integer("status", 200, 200..=599);
    let body = table.text("body").map_or(String::new(), |body| body.value.to_string());
    let has_no_body = matches!(status.value, 204 | 205 | 304);
    if has_no_body && !body.is_empty() {
        let message = format!("an answer {} has no body (RFC 9110)", status.value);
        let place = Place { field: table.path("body"), ..status.place };
        table.reader.report(&place, message, "remove the body");
    }
    let remedy = "write a media type, as in \"text/plain\"";
    let content_type = table.parsed("content-type", remedy, |text| {
        HeaderValue::from_str(text).map_err(FieldError::HeaderValue)
    });
    table.finish();
    let plain_text = HeaderValue::from_static("text/plain; charset=utf-8");
    Respond {
        status: status_code(status.value).unwrap_or(StatusCode::OK),
        body,
        content_type: content_type.map_or(plain_text, |media_type| media_type.value),
    }
}
