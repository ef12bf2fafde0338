//! Routes: what they ask, and what comes of it.

use super::reader::{At, Table};
use super::tries::ReadClass;
use super::{effect, header_name, Span, DEFAULT_CLASS, HEADER};
use super::{limits, sockets};
use crate::model::*;
use crate::problem::BrokenRule;
use http::{HeaderName, HeaderValue, Method, StatusCode};
use mintshelf_admission::admission::LimitConfig;
use mintshelf_routing::{Host, PathMatch, Pattern, Rule, Split, Test, Value};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use toml::de::DeValue;

/// A route with the places that later checks name.
pub struct Read {
    pub route: Route,
    pub span: Span,
    pub field: String,
    pub class: Option<At<String>>,
    pub listeners: Vec<At<String>>,
    pub clusters: Vec<At<String>>,
    /// Where `websocket` stands.
    pub websocket: Option<At<()>>,
}

/// Reads the routes, and the classes with what routes change of them.
pub fn read(
    top: &Table,
    classes: &BTreeMap<String, ReadClass>,
) -> (Vec<Read>, BTreeMap<String, ReadClass>) {
    let tables = top.tables("routes");
    if tables.is_empty() && !top.has("routes") {
        let mend = "add one: [[routes]], then cluster = \"...\"";
        top.reader.breaks(&(0..0), "routes", "there is no route", mend, BrokenRule::Lost);
    }
    let mut policies: BTreeMap<String, ReadClass> =
        classes.iter().map(|(name, class)| (name.clone(), class.clone())).collect();
    let route = |(n, table)| route(table, n, &mut policies);
    let routes = tables.into_iter().enumerate().map(route).collect();
    (routes, policies)
}

const PATH: &str = "write a path that begins with a slash, as in \"/a\"";

fn path(text: &str) -> Result<String, String> {
    let odd = |c: char| c.is_ascii_control() || c == ' ' || c == '?' || c == '#';
    if !text.starts_with('/') {
        Err("does not begin with a slash".into())
    } else if text.contains(odd) || mintshelf_routing::pattern::has_dot_segments(text) {
        Err("holds what no path does: a space, '?', '#', or an element '.' or '..'".into())
    } else {
        Ok(text.to_string())
    }
}

fn route(table: Table, number: usize, policies: &mut BTreeMap<String, ReadClass>) -> Read {
    let owned = |at: At<&str>| at.map(str::to_string);
    let name = table.text("name").map_or(format!("route{number}"), |at| at.value.to_string());
    let listeners: Vec<_> = table.texts("listeners").into_iter().map(owned).collect();
    let class = table.text("class").map(owned);
    let effect = effect(&table).map(|at| at.value);
    let rule = Arc::new(rule(&table));
    let (mut then, clusters) = then(&table, &rule);
    let websocket = sockets::route(&table, &rule.methods).map(|at| {
        let At { value, span, field } = at;
        match &mut then {
            Then::Forward(forward) => forward.websocket = Some(Rc::new(value)),
            _ => {
                let what = "has no effect on a route that answers by itself";
                table.reader.wrong(&span, &field, what, "remove it");
            }
        }
        At { value: (), span, field }
    });
    let (span, field) = (table.span.clone(), table.field.clone());
    let class_name = class.as_ref().map_or(DEFAULT_CLASS.to_string(), |at| at.value.clone());
    let policy = overrides(&table, &class_name, number, policies, &then);
    let route = Route {
        name,
        line: table.reader.line(&span),
        listeners: listeners.iter().map(|at| at.value.clone()).collect(),
        rule,
        limit: table.table("limits").map_or_else(LimitConfig::default, |inner| {
            let limit = limits::limit(&inner);
            inner.finish();
            limit
        }),
        class: class_name,
        policy,
        effect,
        then,
    };
    table.finish();
    Read { route, span, field, class, listeners, clusters, websocket }
}

/// Reads what a route changes of its class; the name of the class with that.
fn overrides(
    table: &Table,
    class: &str,
    number: usize,
    policies: &mut BTreeMap<String, ReadClass>,
    then: &Then,
) -> String {
    let Some(inner) = table.table("overrides") else { return class.to_string() };
    if !matches!(then, Then::Forward(_)) {
        let what = "has no effect on a route that answers by itself";
        inner.reader.wrong(&inner.span, &inner.field, what, "remove it");
    }
    // A class that is not there has been reported.
    let base = policies.get(class).or(policies.get(DEFAULT_CLASS)).cloned();
    let policy = format!("{class}@{number}");
    if let Some(base) = base {
        let with = base.with(&inner);
        policies.insert(policy.clone(), with);
    }
    inner.finish();
    policy
}

fn rule(table: &Table) -> Rule {
    let hosts = table.texts("hosts").into_iter().filter_map(|at| {
        let mend = "write a name, '*.name' or '*'";
        table.parse(at, mend, Host::parse).map(|at| at.value)
    });
    let hosts = hosts.collect();
    let methods = table.texts("methods").into_iter().filter_map(|at| {
        let mend = "write methods in capitals, as in [\"GET\", \"POST\"]";
        let read = |text: &str| match Method::from_bytes(text.as_bytes()) {
            Ok(method) if text.bytes().all(|b| b.is_ascii_uppercase() || b == b'-') => Ok(method),
            _ => Err("is not a method".to_string()),
        };
        table.parse(at, mend, read).map(|at| at.value)
    });
    let methods = methods.collect();
    let exact = table.parsed("path", PATH, path);
    let prefix = table.parsed("prefix", PATH, path);
    let regex = table.parsed("regex", "correct the expression", Pattern::new);
    let stated: Vec<_> =
        ["path", "prefix", "regex"].into_iter().filter(|key| table.has(key)).collect();
    if stated.len() > 1 {
        let what = format!("has {} at once", stated.join(" and "));
        table.reader.wrong(&table.span, &table.field, what, "keep one of them");
    }
    let path = match (exact, regex, prefix) {
        (Some(at), _, _) => PathMatch::Exact(at.value),
        (_, Some(at), _) => PathMatch::Regex(at.value),
        (_, _, Some(at)) => PathMatch::Prefix(at.value),
        _ => PathMatch::Prefix("/".into()),
    };
    Rule { hosts, path, methods, headers: tests(table, "headers"), query: tests(table, "query") }
}

/// Reads `{ name = "text" }` or `{ name = { regex = "..." } }` or `{ name = true }`.
fn tests(table: &Table, key: &'static str) -> Vec<Test> {
    let Some(all) = table.table(key) else { return Vec::new() };
    let mut tests = Vec::new();
    for (name, value) in all.members() {
        let mut stated = name.value.to_string();
        if key == "headers" {
            let Some(name) = table.parse(name, HEADER, header_name) else { continue };
            stated = name.value.as_str().to_string();
        }
        let value = match value.value {
            DeValue::String(text) => Some(Value::Exact(text.to_string())),
            DeValue::Boolean(true) => Some(Value::Present),
            DeValue::Table(_) => all.as_table(value, "").and_then(|inner| {
                let regex = inner.parsed("regex", "correct the expression", Pattern::new);
                if !inner.has("regex") {
                    let mend = "write { regex = \"...\" }";
                    inner.reader.wrong(&inner.span, &inner.field, "asks nothing", mend);
                }
                inner.finish();
                regex.map(|at| Value::Regex(at.value))
            }),
            _ => {
                let mend = "write a text, { regex = \"...\" }, or true for any value";
                table.reader.wrong(&value.span, &value.field, "is no test of a value", mend);
                None
            }
        };
        tests.extend(value.map(|value| Test { name: stated, value }));
    }
    tests
}

fn then(table: &Table, rule: &Rule) -> (Then, Vec<At<String>>) {
    let ways = ["cluster", "clusters", "redirect", "respond"];
    let stated: Vec<_> = ways.into_iter().filter(|key| table.has(key)).collect();
    let mend = "write one of cluster, clusters, redirect and respond";
    match stated[..] {
        [_] => {}
        [] => {
            let what = "says nothing of where requests go";
            table.reader.breaks(&table.span, &table.field, what, mend, BrokenRule::Lost);
        }
        _ => {
            let what = format!("has {} at once", stated.join(" and "));
            table.reader.wrong(&table.span, &table.field, what, mend);
        }
    }
    let (split, clusters) = split(table);
    let forward = forward(table, rule, split);
    let redirect = table.table("redirect").map(|inner| redirect(inner, rule));
    let respond = table.table("respond").map(respond);
    let then = match (redirect, respond) {
        (Some(redirect), _) => Then::Redirect(redirect),
        (_, Some(respond)) => Then::Respond(respond),
        _ => Then::Forward(forward),
    };
    let only = ["sticky", "rewrite-prefix", "request-headers", "response-headers", "limits"];
    if !matches!(then, Then::Forward(_)) {
        for key in only.into_iter().filter(|key| table.has(key)) {
            let what = "has no effect on a route that answers by itself";
            table.reader.wrong(&table.span, &table.path(key), what, "remove it");
        }
    }
    (then, clusters)
}

fn split(table: &Table) -> (Split, Vec<At<String>>) {
    let mut clusters: Vec<At<String>> =
        table.text("cluster").map(|at| at.map(str::to_string)).into_iter().collect();
    let mut parts: Vec<(String, u32)> = clusters.iter().map(|at| (at.value.clone(), 1)).collect();
    if let Some(weights) = table.table("clusters") {
        for (name, weight) in weights.members() {
            let parsed = match weight.value {
                DeValue::Integer(n) => n.as_str().parse::<u32>().ok().filter(|n| *n <= 1_000_000),
                _ => None,
            };
            if parsed.is_none() {
                let mend = "write whole weights up to 1000000, as in { a = 9, b = 1 }";
                table.reader.wrong(&weight.span, &weight.field, "is not a weight", mend);
            }
            clusters.push(name.map(str::to_string));
            parts.push((clusters[clusters.len() - 1].value.clone(), parsed.unwrap_or(1)));
        }
        if parts.iter().all(|(_, weight)| *weight == 0) {
            let what = "no cluster has a weight";
            let mend = "give one at least a weight of 1";
            let field = table.path("clusters");
            table.reader.breaks(&weights.span, &field, what, mend, BrokenRule::Lost);
        }
    }
    // A route without a cluster has been reported; what stands in is never used.
    (Split::new(parts).unwrap_or_else(|| Split::only("")), clusters)
}

fn forward(table: &Table, rule: &Rule, split: Split) -> Forward {
    let sticky = table.parsed(
        "sticky",
        "write \"header:NAME\", \"cookie:NAME\", \"query:NAME\" or \"client\"",
        |text| match text.split_once(':') {
            None if text == "client" => Ok(Sticky::Client),
            Some(("header", name)) => header_name(name).map(Sticky::Header),
            Some(("cookie", name)) if !name.is_empty() => Ok(Sticky::Cookie(name.to_string())),
            Some(("query", name)) if !name.is_empty() => Ok(Sticky::Query(name.to_string())),
            _ => Err("is not where a key comes from".into()),
        },
    );
    Forward {
        split,
        sticky: sticky.map(|at| at.value),
        rewrite_prefix: prefix_edit(table, "rewrite-prefix", rule),
        websocket: None,
        request: edits(table, "request-headers"),
        response: edits(table, "response-headers"),
    }
}

/// A path that takes the place of the route's prefix.
fn prefix_edit(table: &Table, key: &'static str, rule: &Rule) -> Option<String> {
    let at = table.parsed(key, PATH, path)?;
    if !matches!(rule.path, PathMatch::Prefix(_)) {
        let what = "the route has no prefix to put it in place of";
        table.reader.wrong(&at.span, &at.field, what, "match by prefix, or remove it");
    }
    Some(at.value)
}

/// Headers that say where a message ends or concern one connection: not for a file to set.
const OURS: [&str; 9] = [
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

fn edits(table: &Table, key: &'static str) -> Edits {
    let Some(inner) = table.table(key) else { return Edits::default() };
    let name = |at: At<&str>| {
        let (span, field) = (at.span.clone(), at.field.clone());
        let name = table.parse(at, HEADER, header_name)?.value;
        if OURS.contains(&name.as_str()) && !(name == "host" && key == "request-headers") {
            let what = format!("'{name}' belongs to the connection");
            let mend = "leave it to the program";
            table.reader.breaks(&span, &field, what, mend, BrokenRule::Lost);
            return None;
        }
        Some(name)
    };
    let pairs = |key| -> Vec<(HeaderName, HeaderValue)> {
        let Some(pairs) = inner.table(key) else { return Vec::new() };
        let pair = |(header, value): (At<&str>, At<&DeValue>)| {
            let header = name(header)?;
            let text = match value.value {
                DeValue::String(text) => HeaderValue::from_str(text).ok(),
                _ => None,
            };
            if text.is_none() {
                let mend = "write a text without line breaks";
                table.reader.wrong(&value.span, &value.field, "is not a header's value", mend);
            }
            Some((header, text?))
        };
        pairs.members().into_iter().filter_map(pair).collect()
    };
    let edits = Edits {
        remove: inner.texts("remove").into_iter().filter_map(name).collect(),
        set: pairs("set"),
        add: pairs("add"),
    };
    inner.finish();
    edits
}

fn redirect(table: Table, rule: &Rule) -> Redirect {
    const STATUSES: [u32; 5] = [301, 302, 303, 307, 308];
    let status = table.whole("status", 302, 300..=399);
    if !STATUSES.contains(&status.value) {
        let what = format!("{} sends nobody anywhere", status.value);
        table.reader.wrong(&status.span, &status.field, what, "write 301, 302, 303, 307 or 308");
    }
    let scheme = table.parsed("scheme", "write \"http\" or \"https\"", |text| match text {
        "http" | "https" => Ok(text.to_string()),
        _ => Err("is not a scheme".into()),
    });
    let host = table.parsed("host", "write a host, with a port if need be", |text| {
        match text.parse::<http::uri::Authority>() {
            Ok(_) if !text.contains('@') => Ok(text.to_string()),
            _ => Err("is not a host".into()),
        }
    });
    let whole = table.parsed("path", PATH, path);
    let prefix = prefix_edit(&table, "prefix", rule);
    if whole.is_some() && prefix.is_some() {
        table.reader.wrong(&table.span, &table.field, "has path and prefix", "keep one of them");
    }
    if ["scheme", "host", "path", "prefix"].into_iter().all(|key| !table.has(key)) {
        let mend = "state a scheme, a host, a path or a prefix";
        table.reader.wrong(&table.span, &table.field, "sends clients to where they are", mend);
    }
    table.finish();
    Redirect {
        status: StatusCode::from_u16(status.value as u16).unwrap_or(StatusCode::FOUND),
        scheme: scheme.map(|at| at.value),
        host: host.map(|at| at.value),
        path: whole.map(|at| at.value),
        prefix,
    }
}

fn respond(table: Table) -> Respond {
    let status = table.whole("status", 200, 200..=599);
    let body = table.text("body").map_or(String::new(), |at| at.value.to_string());
    let mend = "write a media type, as in \"text/plain\"";
    let content_type = table.parsed("content-type", mend, |text| {
        HeaderValue::from_str(text).map_err(|_| "is not a header's value".to_string())
    });
    let bare = matches!(status.value, 204 | 205 | 304);
    if bare && !body.is_empty() {
        let what = format!("an answer {} has no body (RFC 9110)", status.value);
        table.reader.wrong(&status.span, &table.path("body"), what, "remove the body");
    }
    table.finish();
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    Respond {
        status: StatusCode::from_u16(status.value as u16).unwrap_or(StatusCode::OK),
        body,
        content_type: content_type.map_or(plain, |at| at.value),
    }
}
