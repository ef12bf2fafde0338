//! What no single field shows: clashes, names that lead nowhere, routes out of reach.

use super::reader::{most_alike, At, Table};
use super::routes::Read;
use super::tries::ReadClass;
use super::DEFAULT_CLASS;
use crate::model::{Class, Cluster, Listener, Route, Then};
use crate::problem::{BrokenRule, Problem};
use mintshelf_balancer::api::Effect;
use mintshelf_routing::{rank, Host, PathMatch};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

const NAMES_NOTHING: &str = "names nothing";
const NAMED_NOWHERE: &str = "is named nowhere";

/// Whether a problem is one of names, which a file that broke off causes by itself.
pub fn refers(problem: &Problem) -> bool {
    problem.what.contains(NAMES_NOTHING) || problem.what.contains(NAMED_NOWHERE)
}

/// Two listeners that cannot both listen.
pub fn listeners(top: &Table, listeners: &[At<Listener>], admin: Option<&At<SocketAddr>>) {
    let clash = |a: &SocketAddr, b: &SocketAddr| {
        let any = a.ip().is_unspecified() || b.ip().is_unspecified();
        a.port() == b.port() && (a.ip() == b.ip() || any)
    };
    for (n, one) in listeners.iter().enumerate() {
        let taken = |what: String| {
            let mend = "give each an address and a port of its own";
            top.reader.wrong(&one.span, &one.field, what, mend);
        };
        let earlier = &listeners[..n];
        if let Some(other) = earlier.iter().find(|o| clash(&o.value.address, &one.value.address)) {
            let line = top.reader.line(&other.span);
            taken(format!("{} clashes with the listener in line {line}", one.value.address));
        }
        if let Some(other) = earlier.iter().find(|o| o.value.name == one.value.name) {
            let line = top.reader.line(&other.span);
            let what = format!("the name '{}' stands in line {line} already", one.value.name);
            top.reader.wrong(&one.span, &one.field, what, "name it otherwise");
        }
        if admin.is_some_and(|admin| clash(&admin.value, &one.value.address)) {
            taken(format!("{} clashes with the admin listener", one.value.address));
        }
    }
}

/// Names of listeners, classes and clusters: each must stand for something, and be used.
pub fn references(
    top: &Table,
    routes: &[Read],
    listeners: &[At<Listener>],
    classes: &BTreeMap<String, ReadClass>,
    clusters: &BTreeMap<String, At<Cluster>>,
) {
    let nearest = |name: &str, known: &mut dyn Iterator<Item = &str>| match most_alike(name, known)
    {
        Some((best, _)) => format!("did you mean '{best}'?"),
        None => "define it first".to_string(),
    };
    let missing = |at: &At<String>, kind: &str, mend: String| {
        let what = format!("'{}' {NAMES_NOTHING}: there is no such {kind}", at.value);
        top.reader.breaks(&at.span, &at.field, what, mend, BrokenRule::Lost);
    };
    let mut used = BTreeSet::new();
    for read in routes {
        for at in &read.listeners {
            if !listeners.iter().any(|l| l.value.name == at.value) {
                let mut names = listeners.iter().map(|l| l.value.name.as_str());
                missing(at, "listener", nearest(&at.value, &mut names));
            }
        }
        for at in &read.clusters {
            used.insert(("cluster", at.value.as_str()));
            if !clusters.contains_key(&at.value) {
                let mut names = clusters.keys().map(String::as_str);
                missing(at, "cluster", nearest(&at.value, &mut names));
            }
        }
        used.insert(("class", read.route.class.as_str()));
        match (&read.class, classes.get(&read.route.class)) {
            (Some(at), None) => {
                let mut names = classes.keys().map(String::as_str);
                missing(at, "class", nearest(&at.value, &mut names));
            }
            (_, Some(class)) => effects(top, read, &class.class),
            (None, None) => {}
        }
    }
    let stated = classes.iter().filter(|(name, _)| *name != DEFAULT_CLASS);
    let classes = stated.map(|(name, at)| ("class", name, &at.span, &at.field));
    let clusters = clusters.iter().map(|(name, at)| ("cluster", name, &at.span, &at.field));
    for (kind, name, span, field) in classes.chain(clusters) {
        if !used.contains(&(kind, name.as_str())) {
            let what = format!("the {kind} '{name}' {NAMED_NOWHERE}");
            top.reader.wrong(span, field, what, "name it in a route, or remove it");
        }
    }
}

/// Danger: a route that makes requests keyed needs the window of a keyed class.
fn effects(top: &Table, read: &Read, class: &Class) {
    if read.route.effect == Some(Effect::Idempotent) && class.effect != Effect::Idempotent {
        let what =
            format!("the effect is keyed, but its class '{}' has no window", read.route.class);
        let mend = "give the route a keyed class";
        let field = format!("{}.effect", read.field);
        top.reader.breaks(&read.span, &field, what, mend, BrokenRule::Twice);
    }
    if read.route.effect.is_some() && !matches!(read.route.then, Then::Forward(_)) {
        let field = format!("{}.effect", read.field);
        let what = "has no effect on a route that answers by itself";
        top.reader.wrong(&read.span, &field, what, "remove it");
    }
}

/// What a route asks of a path, as a key.
pub fn path_key(route: &Route) -> String {
    match &route.rule.path {
        PathMatch::Exact(path) => format!("={path}"),
        PathMatch::Regex(pattern) => format!("~{}", pattern.text()),
        PathMatch::Prefix(prefix) => format!("^{}", prefix.trim_end_matches('/')),
    }
}

/// Routes that no request can reach, since another takes all of theirs.
pub fn reach(top: &Table, routes: &[Read], listeners: &[At<Listener>]) {
    let all: Vec<&str> = listeners.iter().map(|l| l.value.name.as_str()).collect();
    let on = |route: &Route| -> BTreeSet<String> {
        match route.listeners.is_empty() {
            true => all.iter().map(|name| name.to_string()).collect(),
            false => route.listeners.iter().cloned().collect(),
        }
    };
    let hosts = |route: &Route| match route.rule.hosts.is_empty() {
        true => vec![Host::Any],
        false => route.rule.hosts.clone(),
    };
    let mut by_key: HashMap<(Host, String), Vec<usize>> = HashMap::new();
    for (place, read) in routes.iter().enumerate() {
        for host in hosts(&read.route) {
            by_key.entry((host, path_key(&read.route))).or_default().push(place);
        }
    }
    // Whether a takes whatever b would take of one host and path.
    let covers = |a: usize, b: usize| {
        let (ra, rb) = (&routes[a].route.rule, &routes[b].route.rule);
        let methods = ra.methods.is_empty()
            || (!rb.methods.is_empty() && rb.methods.iter().all(|m| ra.methods.contains(m)));
        rank::details(ra, a) > rank::details(rb, b)
            && methods
            && ra.headers.iter().all(|test| rb.headers.contains(test))
            && ra.query.iter().all(|test| rb.query.contains(test))
            && on(&routes[a].route).is_superset(&on(&routes[b].route))
    };
    for (place, read) in routes.iter().enumerate() {
        let path = path_key(&read.route);
        let by = hosts(&read.route).into_iter().map(|host| {
            let same = by_key.get(&(host, path.clone()))?;
            same.iter().copied().find(|other| *other != place && covers(*other, place))
        });
        let by: Option<Vec<usize>> = by.collect();
        if let Some(other) = by.and_then(|by| by.first().copied()) {
            let other = &routes[other].route;
            let what = format!(
                "no request reaches it: route '{}' in line {} takes them all",
                other.name, other.line
            );
            let mend = "remove it, or make it ask for more";
            top.reader.wrong(&read.span, &read.field, what, mend);
        }
    }
}
