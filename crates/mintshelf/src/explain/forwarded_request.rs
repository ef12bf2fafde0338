//! A request that is forwarded, and the fields that state its settings.

use mintshelf_balancer::api::Effect;
use mintshelf_config::model::{Class, Route};

/// A route that forwards, and the class that its request belongs to.
pub(super) struct ForwardedRequest<'a> {
    /// Index of the route in the configuration.
    pub(super) route_index: usize,
    pub(super) route: &'a Route,
    pub(super) class: &'a Class,
    /// Whether the request may be sent again.
    pub(super) effect: Effect,
}

impl ForwardedRequest<'_> {
    /// The field of the request's class.
    pub(super) fn class_field(&self, key: &str) -> String {
        format!("classes.{}.{key}", self.route.class)
    }

    /// The fields that state a setting of the class: the route's override, then the class.
    pub(super) fn override_fields(&self, key: &str) -> Vec<String> {
        vec![format!("routes[{}].overrides.{key}", self.route_index), self.class_field(key)]
    }

    /// The same, then the defaults.
    pub(super) fn all_fields(&self, key: &str) -> Vec<String> {
        let mut fields = self.override_fields(key);
        fields.push(format!("defaults.{key}"));
        fields
    }
}
