//! Checks names and addresses across tables: conflicts, and undefined or unused names.

use super::fields::NOT_FORWARDED;
use super::parsed::{ParsedClasses, ParsedClusters, ParsedRoute, DEFAULT_CLASS};
use super::reader::{Located, Location};
use super::table::Table;
use super::value::most_similar;
use crate::model::{Class, Listener};
use crate::problem::SafetyRule;
use mintshelf_balancer::api::Effect;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Returns whether two listeners cannot listen on these addresses at the same time.
fn addresses_conflict(one: &SocketAddr, other: &SocketAddr) -> bool {
    let is_any = one.ip().is_unspecified() || other.ip().is_unspecified();
    one.port() == other.port() && (one.ip() == other.ip() || is_any)
}

/// Checks that listeners have unique names and addresses that do not conflict.
pub fn check_listeners(
    root: &Table,
    listeners: &[Located<Listener>],
    admin: Option<&Located<SocketAddr>>,
) {
    const REMEDY: &str = "give each its own address and port";
    for (index, Located { value: listener, location }) in listeners.iter().enumerate() {
        let mut earlier = listeners[..index].iter();
        if let Some(other) = earlier
            .clone()
            .find(|other| addresses_conflict(&other.value.address, &listener.address))
        {
            let line = root.reader.line(&other.location);
            let message =
                format!("{} conflicts with the listener in line {line}", listener.address);
            root.reader.report(location, message, REMEDY);
        }
        if let Some(other) = earlier.find(|other| other.value.name == listener.name) {
            let line = root.reader.line(&other.location);
            let message = format!("the name '{}' is already used in line {line}", listener.name);
            root.reader.report(location, message, "choose another name");
        }
        if admin.is_some_and(|admin| addresses_conflict(&admin.value, &listener.address)) {
            let message = format!("{} conflicts with the admin listener", listener.address);
            root.reader.report(location, message, REMEDY);
        }
    }
}

/// Checks that listeners, classes and clusters that routes name are defined, and that all classes
/// and clusters are used.
pub fn check_names(
    root: &Table,
    routes: &[ParsedRoute],
    listeners: &[Located<Listener>],
    classes: &ParsedClasses,
    clusters: &ParsedClusters,
) {
    let listener_names: Vec<&str> =
        listeners.iter().map(|listener| listener.value.name.as_str()).collect();
    let class_names: Vec<&str> = classes.keys().map(String::as_str).collect();
    let cluster_names: Vec<&str> = clusters.keys().map(String::as_str).collect();
    for route in routes {
        for name in &route.listeners {
            check_name(root, name, "listener", &listener_names);
        }
        for name in &route.clusters {
            check_name(root, name, "cluster", &cluster_names);
        }
        match classes.get(&route.route.class) {
            Some(class) => check_effect(root, route, &class.class),
            None => {
                if let Some(name) = &route.class {
                    check_name(root, name, "class", &class_names);
                }
            }
        }
    }
    check_used(root, routes, classes, clusters);
}

/// Checks that a name is defined.
fn check_name(root: &Table, name: &Located<String>, kind: &str, defined: &[&str]) {
    if defined.contains(&name.value.as_str()) {
        return;
    }
    let message = format!("'{}' names nothing: there is no such {kind}", name.value);
    let remedy = match most_similar(&name.value, defined.iter().copied()) {
        Some(similar) => format!("did you mean '{}'?", similar.name),
        None => "define it".to_string(),
    };
    let rule = Some(SafetyRule::NoLostRequest);
    root.reader.report_reference(&name.location, message, remedy, rule);
}

/// Checks that every class and cluster is used by a route.
fn check_used(
    root: &Table,
    routes: &[ParsedRoute],
    classes: &ParsedClasses,
    clusters: &ParsedClusters,
) {
    let used_classes: BTreeSet<&str> =
        routes.iter().map(|route| route.route.class.as_str()).collect();
    let used_clusters: BTreeSet<&str> = routes
        .iter()
        .flat_map(|route| route.clusters.iter().map(|name| name.value.as_str()))
        .collect();
    let report = |kind: &str, name: &str, location: &Location| {
        let message = format!("the {kind} '{name}' is not used by any route");
        root.reader.report_reference(location, message, "use it in a route, or remove it", None);
    };
    for (name, class) in classes {
        if name != DEFAULT_CLASS && !used_classes.contains(name.as_str()) {
            report("class", name, &class.location);
        }
    }
    for (name, cluster) in clusters {
        if !used_clusters.contains(name.as_str()) {
            report("cluster", name, &cluster.location);
        }
    }
}

/// Checks that a route that makes requests idempotent has a class with a deduplication window.
fn check_effect(root: &Table, route: &ParsedRoute, class: &Class) {
    let Some(effect) = route.route.effect else { return };
    let location = route.location.child("effect");
    if effect == Effect::Idempotent && class.effect != Effect::Idempotent {
        let class = &route.route.class;
        let message = format!("the effect is keyed, but its class '{class}' has no window");
        let remedy = "give the route a keyed class";
        let rule = SafetyRule::NoDuplicateEffect;
        root.reader.report_violation(&location, message, remedy, rule);
    }
    if route.forward().is_none() {
        root.reader.report(&location, NOT_FORWARDED, "remove it");
    }
}

/// Checks that routes with limits have unique names, since limits are counted by route name.
pub fn check_limited_routes(root: &Table, routes: &[ParsedRoute]) {
    let mut lines: HashMap<&str, usize> = HashMap::new();
    for ParsedRoute { route, location, .. } in routes {
        if route.limit.is_unlimited() {
            continue;
        }
        if let Some(line) = lines.insert(&route.name, route.line) {
            let message = format!(
                "has the same name as route '{}' in line {line}, and both have limits",
                route.name
            );
            root.reader.report(location, message, "give the two routes different names");
        }
    }
}
