//! Checks pairs of routes: unreachable routes, and routes that take precedence over another route
//! and give requests of that route a less severe effect (safe, idempotent, unsafe from the least
//! severe on).

use super::fields::effect_keyword;
use super::parsed::{ParsedClasses, ParsedRoute};
use super::reader::Located;
use super::table::Table;
use crate::balancer::severity;
use crate::model::{Listener, Route};
use crate::problem::SafetyRule;
use http::Method;
use mintshelf_balancer::api::Effect;
use mintshelf_routing::{rank, HostMatch};
use std::collections::{BTreeMap, BTreeSet};

/// Indices of routes, grouped by host and path condition.
type RouteGroups = BTreeMap<(HostMatch, String), Vec<usize>>;

fn group_by_host_and_path(routes: &[ParsedRoute]) -> RouteGroups {
    let mut groups = RouteGroups::new();
    for (index, route) in routes.iter().enumerate() {
        for host in route.hosts() {
            groups.entry((host, route.path_key())).or_default().push(index);
        }
    }
    groups
}

/// Checks that no route is shadowed by others.
pub fn check_reachability(root: &Table, routes: &[ParsedRoute], listeners: &[Located<Listener>]) {
    let groups = group_by_host_and_path(routes);
    for (index, route) in routes.iter().enumerate() {
        let covering = |host: HostMatch| {
            let group = groups.get(&(host, route.path_key()))?;
            let mut others = group.iter().copied().filter(|other| *other != index);
            others.find(|other| covers(routes, listeners, *other, index))
        };
        // A route is unreachable if each of its hosts has a covering route; the first is reported.
        let covering: Option<Vec<usize>> = route.hosts().into_iter().map(covering).collect();
        let Some(first) = covering.and_then(|covering| covering.first().copied()) else {
            continue;
        };
        let other = &routes[first].route;
        let message = format!(
            "the route is unreachable: route '{}' in line {} matches all its requests",
            other.name, other.line
        );
        root.reader.report(&route.location, message, "remove it, or add conditions to it");
    }
}

/// Returns whether `one` takes precedence over `other` and matches all its requests, given that
/// both have the same host and path condition.
fn covers(
    routes: &[ParsedRoute],
    listeners: &[Located<Listener>],
    one: usize,
    other: usize,
) -> bool {
    let one_rule = &routes[one].route.rule;
    let other_rule = &routes[other].route.rule;
    let covers_methods = one_rule.methods.is_empty()
        || (!other_rule.methods.is_empty()
            && other_rule.methods.iter().all(|method| one_rule.methods.contains(method)));
    rank::details(one_rule, one) > rank::details(other_rule, other)
        && covers_methods
        && one_rule.headers.iter().all(|test| other_rule.headers.contains(test))
        && one_rule.query.iter().all(|test| other_rule.query.contains(test))
        && listener_names(&routes[one].route, listeners)
            .is_superset(&listener_names(&routes[other].route, listeners))
}

fn listener_names<'names>(
    route: &'names Route,
    listeners: &'names [Located<Listener>],
) -> BTreeSet<&'names str> {
    if route.listeners.is_empty() {
        listeners.iter().map(|listener| listener.value.name.as_str()).collect()
    } else {
        route.listeners.iter().map(String::as_str).collect()
    }
}

/// Checks routes with the same host and path. The route with more conditions takes precedence for
/// some requests of the other route, and must not give those requests a less severe effect.
pub fn check_milder_routes(root: &Table, routes: &[ParsedRoute], classes: &ParsedClasses) {
    let mut reported = BTreeSet::new();
    for group in group_by_host_and_path(routes).values() {
        let pairs =
            group.iter().flat_map(|severe| group.iter().map(move |milder| (*severe, *milder)));
        for (severe, milder) in pairs {
            let Some(effects) = milder_effects(routes, classes, severe, milder) else { continue };
            if reported.insert(milder) {
                report_milder(root, &routes[severe], &routes[milder], effects);
            }
        }
    }
}

/// The effects that two routes give to the same request; `milder` is the less severe one.
#[derive(Clone, Copy)]
struct EffectPair {
    severe: Effect,
    milder: Effect,
}

/// Returns the effects of two routes, if the effect of the second is less severe and the second
/// takes precedence for requests of the first.
fn milder_effects(
    routes: &[ParsedRoute],
    classes: &ParsedClasses,
    severe: usize,
    milder: usize,
) -> Option<EffectPair> {
    let effect = |route: &ParsedRoute| {
        let class = classes.get(&route.route.class)?;
        Some(route.effect(&class.class))
    };
    let (severe_route, milder_route) = (&routes[severe], &routes[milder]);
    let effects = EffectPair { severe: effect(severe_route)?, milder: effect(milder_route)? };
    let is_milder = severity(effects.severe) > severity(effects.milder);
    let wins = rank::details(&milder_route.route.rule, milder)
        > rank::details(&severe_route.route.rule, severe);
    let are_forwarded = severe_route.forward().is_some() && milder_route.forward().is_some();
    let is_conflict = is_milder
        && wins
        && are_forwarded
        && share_milder_method(&severe_route.route, &milder_route.route, effects.milder);
    is_conflict.then_some(effects)
}

fn report_milder(root: &Table, severe: &ParsedRoute, milder: &ParsedRoute, effects: EffectPair) {
    let message = format!(
        "requests that route '{}' in line {} treats as {} would be {} here",
        severe.route.name,
        severe.route.line,
        effect_keyword(effects.severe),
        effect_keyword(effects.milder)
    );
    let remedy = "let the two match different methods, or give both the same class";
    let rule = SafetyRule::NoDuplicateEffect;
    root.reader.report_violation(&milder.location, message, remedy, rule);
}

/// Returns whether both routes match a method whose requests have the less severe effect at the
/// second route.
fn share_milder_method(severe: &Route, milder: &Route, milder_effect: Effect) -> bool {
    let (severe_methods, milder_methods) = (&severe.rule.methods, &milder.rule.methods);
    let matches =
        |methods: &[Method], method: &Method| methods.is_empty() || methods.contains(method);
    let is_shared =
        |method: &&Method| matches(severe_methods, method) && matches(milder_methods, method);
    // In a safe class a request with an unsafe method is unsafe, unless the route sets the effect.
    let is_unsafe_anyway = |method: &Method| {
        milder_effect == Effect::Safe && milder.effect.is_none() && !method.is_safe()
    };
    let named = severe_methods.iter().chain(milder_methods);
    // If neither route names methods, one safe and one unsafe method represent all.
    let is_any = severe_methods.is_empty() && milder_methods.is_empty();
    let representatives = [Method::GET, Method::POST];
    let unnamed = representatives.iter().filter(|_| is_any);
    named.chain(unnamed).filter(is_shared).any(|method| !is_unsafe_anyway(method))
}
