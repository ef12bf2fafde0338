//! A forwarded request and the fields of the file that can state its settings.

use mintshelf_balancer::api::Effect;
use mintshelf_config::model::{Class, Route};

/// A request with the forwarding route that it takes and its class.
pub(super) struct ForwardedRequest<'a> {
    /// Index of the route in the configuration.
    pub(super) route_index: usize,
    pub(super) route: &'a Route,
    pub(super) class: &'a Class,
    /// The effect of the request, which decides whether it may be sent again.
    pub(super) effect: Effect,
}

impl ForwardedRequest<'_> {
    /// Returns the path of a field of the request's class.
    pub(super) fn class_field(&self, key: &str) -> String {
        format!("classes.{}.{key}", self.route.class)
    }

    /// Returns the fields that can state a setting, by precedence: the route's override, then the
    /// class.
    pub(super) fn override_fields(&self, key: &str) -> Vec<String> {
        vec![format!("routes[{}].overrides.{key}", self.route_index), self.class_field(key)]
    }

    /// Returns the same fields as [`Self::override_fields`], followed by the field of `defaults`.
    pub(super) fn all_fields(&self, key: &str) -> Vec<String> {
        let mut fields = self.override_fields(key);
        fields.push(format!("defaults.{key}"));
        fields
    }
}
