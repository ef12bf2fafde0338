//! Parsed classes, routes and clusters, with the locations that later checks report.

use super::reader::{Located, Location};
use crate::model::{AttemptSettings, Class, Cluster, Forward, Route, RouteAction};
use mintshelf_balancer::api::Effect;
use mintshelf_routing::{HostMatch, PathMatch};
use std::collections::BTreeMap;

/// The class of routes that set no class.
pub const DEFAULT_CLASS: &str = "default";

/// Classes by name. A class with the overrides of a route has the name `CLASS@INDEX`.
pub type ParsedClasses = BTreeMap<String, ParsedClass>;

/// The clusters of a file by name, each with the location of its name.
pub type ParsedClusters = BTreeMap<String, Located<Cluster>>;

/// The locations of the settings that a class sets or inherits, by key.
#[derive(Debug, Clone, Default)]
pub struct SettingLocations(BTreeMap<&'static str, Location>);

impl SettingLocations {
    /// Records the location of a setting, if it is set, and returns its value.
    pub fn record<T>(&mut self, key: &'static str, setting: Option<Located<T>>) -> Option<T> {
        let Located { value, location } = setting?;
        self.0.insert(key, location);
        Some(value)
    }

    /// Returns the location of a setting; `None` if it is neither set nor inherited.
    pub fn get(&self, key: &str) -> Option<&Location> {
        self.0.get(key)
    }

    /// Returns the location of a setting in a class or a route; `None` if it is not set there, even
    /// if it is inherited from the file's defaults.
    pub fn get_own(&self, key: &str) -> Option<&Location> {
        self.get(key).filter(|location| !location.field.starts_with("defaults."))
    }
}

/// The settings of attempts, including inherited ones.
#[derive(Debug, Clone, Default)]
pub struct ParsedAttempts {
    pub settings: AttemptSettings,
    pub locations: SettingLocations,
}

/// A class with the locations of its settings.
#[derive(Debug, Clone)]
pub struct ParsedClass {
    pub class: Class,
    /// The locations of the settings that the class sets or inherits.
    pub locations: SettingLocations,
    /// The location of the class; not explicit for the built-in default class.
    pub location: Location,
}

impl ParsedClass {
    /// Returns the settings of attempts that a route inherits from this class.
    pub fn attempts(&self) -> ParsedAttempts {
        ParsedAttempts { settings: self.class.attempts.clone(), locations: self.locations.clone() }
    }
}

/// A route with the locations of the names that it refers to.
pub struct ParsedRoute {
    pub route: Route,
    pub location: Location,
    /// The class that the route names; `None` if it sets none.
    pub class: Option<Located<String>>,
    /// The listeners that the route names; empty for all listeners.
    pub listeners: Vec<Located<String>>,
    /// The clusters that the route names; empty if it does not forward requests.
    pub clusters: Vec<Located<String>>,
    /// The location of the route's `websocket` setting; `None` if it is absent or `false`.
    pub websocket: Option<Location>,
}

impl ParsedRoute {
    /// Returns the forwarding settings of the route; `None` if it redirects or responds itself.
    pub fn forward(&self) -> Option<&Forward> {
        match &self.route.action {
            RouteAction::Forward(forward) => Some(forward),
            RouteAction::Redirect(_) | RouteAction::Respond(_) => None,
        }
    }

    /// Returns the effect of the route's requests: the route's own, or else that of `class`.
    pub fn effect(&self, class: &Class) -> Effect {
        self.route.effect.unwrap_or(class.effect)
    }

    /// Returns the host conditions of the route; [`HostMatch::Any`] if it has none.
    pub fn hosts(&self) -> Vec<HostMatch> {
        if self.route.rule.hosts.is_empty() {
            vec![HostMatch::Any]
        } else {
            self.route.rule.hosts.clone()
        }
    }

    /// Returns a key of the path condition: routes with equal keys match the same paths.
    pub fn path_key(&self) -> String {
        match &self.route.rule.path {
            PathMatch::Exact(path) => format!("={path}"),
            PathMatch::Regex(pattern) => format!("~{}", pattern.text()),
            PathMatch::Prefix(prefix) => format!("^{}", prefix.trim_end_matches('/')),
        }
    }
}
