//! What was read of classes, routes and clusters, with the places that later checks name.

use super::reader::{Located, Place};
use crate::model::{AttemptSettings, Class, Cluster, Forward, Route, RouteAction};
use mintshelf_balancer::api::Effect;
use mintshelf_routing::{HostMatch, PathMatch};
use std::collections::BTreeMap;

/// Name of the class of routes that name none.
pub const DEFAULT_CLASS: &str = "default";

/// Classes by name; also those with the overrides of a route.
pub type ParsedClasses = BTreeMap<String, ParsedClass>;

/// Clusters by name.
pub type ParsedClusters = BTreeMap<String, Located<Cluster>>;

/// Where the settings stand that a class states or inherits, by their keys.
#[derive(Debug, Clone, Default)]
pub struct SettingPlaces(BTreeMap<&'static str, Place>);

impl SettingPlaces {
    /// Notes the place of a setting that is stated, and gives its value.
    pub fn record<T>(&mut self, key: &'static str, setting: Option<Located<T>>) -> Option<T> {
        let Located { value, place } = setting?;
        self.0.insert(key, place);
        Some(value)
    }

    /// Where a setting stands; none if it is neither stated nor inherited.
    pub fn get(&self, key: &str) -> Option<&Place> {
        self.0.get(key)
    }

    /// Where a setting stands in a class or a route; none if it is not stated there, though it
    /// may be inherited from the file's defaults.
    pub fn get_own(&self, key: &str) -> Option<&Place> {
        self.get(key).filter(|place| !place.field.starts_with("defaults."))
    }
}

/// The settings of attempts, with what is inherited.
#[derive(Debug, Clone, Default)]
pub struct ParsedAttempts {
    pub settings: AttemptSettings,
    pub places: SettingPlaces,
}

/// A class.
#[derive(Debug, Clone)]
pub struct ParsedClass {
    pub class: Class,
    /// The places of its settings.
    pub places: SettingPlaces,
    /// Where it stands; not stated for the default class.
    pub place: Place,
}

impl ParsedClass {
    /// Its settings of attempts, for what inherits them.
    pub fn attempts(&self) -> ParsedAttempts {
        ParsedAttempts { settings: self.class.attempts.clone(), places: self.places.clone() }
    }
}

/// A route.
pub struct ParsedRoute {
    pub route: Route,
    pub place: Place,
    /// The class that it names.
    pub class: Option<Located<String>>,
    /// The listeners that it names.
    pub listeners: Vec<Located<String>>,
    /// The clusters that it names.
    pub clusters: Vec<Located<String>>,
    /// Where `websocket` stands.
    pub websocket: Option<Place>,
}

impl ParsedRoute {
    /// How it forwards requests; none if it responds by itself.
    pub fn forward(&self) -> Option<&Forward> {
        match &self.route.action {
            RouteAction::Forward(forward) => Some(forward),
            RouteAction::Redirect(_) | RouteAction::Respond(_) => None,
        }
    }

    /// The effect of its requests, where those of its class have this one.
    pub fn effect(&self, class: &Class) -> Effect {
        self.route.effect.unwrap_or(class.effect)
    }

    /// Its hosts; any host where it names none.
    pub fn hosts(&self) -> Vec<HostMatch> {
        match self.route.rule.hosts.is_empty() {
            true => vec![HostMatch::Any],
            false => self.route.rule.hosts.clone(),
        }
    }

    /// What it requires of a path, as a key: routes with the same key match the same paths.
    pub fn path_key(&self) -> String {
        match &self.route.rule.path {
            PathMatch::Exact(path) => format!("={path}"),
            PathMatch::Regex(pattern) => format!("~{}", pattern.text()),
            PathMatch::Prefix(prefix) => format!("^{}", prefix.trim_end_matches('/')),
        }
    }
}
