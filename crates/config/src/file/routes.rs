//! Parses routes: their conditions on requests, their actions, and their class overrides.

use super::actions::{self, ParsedAction};
use super::classes::with_overrides;
use super::error::FieldError;
use super::fields::{
    effect, parse_header_name, parse_path, HEADER_REMEDY, NOT_FORWARDED, PATH_REMEDY,
};
use super::parsed::{ParsedClasses, ParsedRoute, DEFAULT_CLASS};
use super::reader::{Located, Location};
use super::table::{Member, Table};
use super::{limits, sockets};
use crate::model::{Route, RouteAction};
use crate::problem::SafetyRule;
use http::Method;
use mintshelf_admission::limit::LimitConfig;
use mintshelf_routing::{FieldMatch, HostMatch, PathMatch, Pattern, RouteRule, ValueMatch};
use std::rc::Rc;
use std::sync::Arc;
use toml::de::DeValue;

const REGEX_REMEDY: &str = "correct the expression";

/// All routes of a file, and the classes that routes can use.
pub struct ParsedRoutes {
    /// The routes in the order of the file.
    pub routes: Vec<ParsedRoute>,
    /// All classes, including those with the overrides of a route.
    pub effective_classes: ParsedClasses,
}

/// Parses the routes of the file. Adds a class for each route with overrides.
pub fn parse(root: &Table, classes: &ParsedClasses) -> ParsedRoutes {
    let tables = root.tables("routes");
    if tables.is_empty() && !root.has("routes") {
        let location = Location { field: "routes".to_string(), ..Location::default() };
        let remedy = "add one: [[routes]], then cluster = \"...\"";
        let rule = SafetyRule::NoLostRequest;
        root.reader.report_violation(&location, "there is no route", remedy, rule);
    }
    let mut effective_classes = classes.clone();
    let tables = tables.into_iter().enumerate();
    let routes = tables.map(|(index, table)| route(table, index, &mut effective_classes)).collect();
    ParsedRoutes { routes, effective_classes }
}

fn route(table: Table, index: usize, effective_classes: &mut ParsedClasses) -> ParsedRoute {
    let owned = |located: Located<&str>| located.map(str::to_string);
    let name = table.text("name").map_or(format!("route{index}"), |name| name.value.to_string());
    let listeners: Vec<_> = table.texts("listeners").into_iter().map(owned).collect();
    let class = table.text("class").map(owned);
    let class_name = class.as_ref().map_or(DEFAULT_CLASS.to_string(), |class| class.value.clone());
    let rule = Arc::new(rule(&table));
    let ParsedAction { mut action, clusters } = actions::parse(&table, &rule);
    let websocket = websocket(&table, &rule, &mut action);
    let route = Route {
        name,
        line: table.reader.line(&table.location),
        listeners: listeners.iter().map(|listener| listener.value.clone()).collect(),
        rule,
        effective_class: effective_class(&table, &class_name, index, effective_classes, &action),
        class: class_name,
        effect: effect(&table).map(|effect| effect.value),
        limit: limit(&table),
        action,
    };
    let location = table.location.clone();
    table.finish();
    ParsedRoute { route, location, class, listeners, clusters, websocket }
}

/// Adds the WebSocket settings of a route to the route's action, and returns the location of the
/// settings; `None` if the route sets none.
fn websocket(table: &Table, rule: &RouteRule, action: &mut RouteAction) -> Option<Location> {
    let Located { value, location } = sockets::parse_route(table, &rule.methods)?;
    match action {
        RouteAction::Forward(forward) => forward.websocket = Some(Rc::new(value)),
        RouteAction::Redirect(_) | RouteAction::Respond(_) => {
            table.reader.report(&location, NOT_FORWARDED, "remove it");
        }
    }
    Some(location)
}

fn limit(table: &Table) -> LimitConfig {
    let Some(table) = table.table("limits") else { return LimitConfig::default() };
    let limit = limits::limit(&table);
    table.finish();
    limit
}

/// Adds a class with the overrides of the route, if the route has any. Returns the name of the
/// class that the route uses.
fn effective_class(
    table: &Table,
    class: &str,
    index: usize,
    effective_classes: &mut ParsedClasses,
    action: &RouteAction,
) -> String {
    let Some(table) = table.table("overrides") else { return class.to_string() };
    if !matches!(action, RouteAction::Forward(_)) {
        table.reader.report(&table.location, NOT_FORWARDED, "remove it");
    }
    let name = format!("{class}@{index}");
    // An undefined class is reported when names are checked.
    if let Some(base) = effective_classes.get(class).or(effective_classes.get(DEFAULT_CLASS)) {
        let overridden = with_overrides(base, &table);
        effective_classes.insert(name.clone(), overridden);
    }
    table.finish();
    name
}

fn rule(table: &Table) -> RouteRule {
    RouteRule {
        hosts: hosts(table),
        path: path(table),
        methods: methods(table),
        headers: headers(table),
        query: query(table),
    }
}

fn hosts(table: &Table) -> Vec<HostMatch> {
    let remedy = "write a name, '*.name' or '*'";
    let hosts = table.texts("hosts").into_iter();
    hosts
        .filter_map(|located| Some(table.parse(located, remedy, HostMatch::parse)?.value))
        .collect()
}

fn methods(table: &Table) -> Vec<Method> {
    let remedy = "write methods in capitals, as in [\"GET\", \"POST\"]";
    let methods = table.texts("methods").into_iter();
    methods.filter_map(|located| Some(table.parse(located, remedy, parse_method)?.value)).collect()
}

fn parse_method(text: &str) -> Result<Method, FieldError> {
    let is_in_capitals = text.bytes().all(|byte| byte.is_ascii_uppercase() || byte == b'-');
    match Method::from_bytes(text.as_bytes()) {
        Ok(method) if is_in_capitals => Ok(method),
        _ => Err(FieldError::NotA("a method")),
    }
}

fn path(table: &Table) -> PathMatch {
    let exact = table.parsed("path", PATH_REMEDY, parse_path);
    let prefix = table.parsed("prefix", PATH_REMEDY, parse_path);
    let regex = table.parsed("regex", REGEX_REMEDY, Pattern::new);
    let path_keys = ["path", "prefix", "regex"].into_iter();
    let keys: Vec<&str> = path_keys.filter(|key| table.has(key)).collect();
    if keys.len() > 1 {
        let message = format!("has {} at once", keys.join(" and "));
        table.reader.report(&table.location, message, "keep one of them");
    }
    match (exact, regex, prefix) {
        (Some(path), _, _) => PathMatch::Exact(path.value),
        (None, Some(pattern), _) => PathMatch::Regex(pattern.value),
        (None, None, Some(prefix)) => PathMatch::Prefix(prefix.value),
        (None, None, None) => PathMatch::Prefix("/".into()),
    }
}

fn headers(table: &Table) -> Vec<FieldMatch> {
    let Some(table) = table.table("headers") else { return Vec::new() };
    let header = |Member { name, value }: Member| {
        let name = table.parse(name, HEADER_REMEDY, parse_header_name)?.value;
        Some(FieldMatch { name: name.as_str().to_string(), value: value_match(&table, value)? })
    };
    table.members().into_iter().filter_map(header).collect()
}

fn query(table: &Table) -> Vec<FieldMatch> {
    let Some(table) = table.table("query") else { return Vec::new() };
    let parameter = |Member { name, value }: Member| {
        Some(FieldMatch { name: name.value.to_string(), value: value_match(&table, value)? })
    };
    table.members().into_iter().filter_map(parameter).collect()
}

/// Parses the value in `{ name = "text" }`, `{ name = { regex = "..." } }` or `{ name = true }`.
fn value_match(table: &Table, located: Located<&DeValue>) -> Option<ValueMatch> {
    match located.value {
        DeValue::String(text) => Some(ValueMatch::Exact(text.to_string())),
        DeValue::Boolean(true) => Some(ValueMatch::Present),
        DeValue::Table(_) => regex_match(table.as_table(located, "")?),
        _ => {
            let remedy = "write a string, { regex = \"...\" }, or true for any value";
            table.reader.report(&located.location, "is not a condition on a value", remedy);
            None
        }
    }
}

fn regex_match(table: Table) -> Option<ValueMatch> {
    let regex = table.parsed("regex", REGEX_REMEDY, Pattern::new);
    if !table.has("regex") {
        table.reader.report(&table.location, "has no condition", "write { regex = \"...\" }");
    }
    table.finish();
    regex.map(|regex| ValueMatch::Regex(regex.value))
}
