//! The conditions of a route.

use crate::host::HostMatch;
use crate::path::PathMatch;
use crate::pattern::Pattern;
use http::Method;

/// The value required of a header or a query parameter.
#[derive(Debug, Clone, PartialEq)]
pub enum ValueMatch {
    /// Any value; the field only has to be present.
    Present,
    /// The value that equals this text.
    Exact(String),
    /// A value that this regular expression matches completely.
    Regex(Pattern),
}

impl ValueMatch {
    /// Returns whether the condition matches `value`.
    #[must_use]
    pub fn matches(&self, value: &str) -> bool {
        match self {
            ValueMatch::Present => true,
            ValueMatch::Exact(text) => text == value,
            ValueMatch::Regex(pattern) => pattern.matches(value),
        }
    }
}

/// A condition on a header or a query parameter.
#[derive(Debug, Clone, PartialEq)]
pub struct FieldMatch {
    /// Name of the field; header names are in lower case.
    pub name: String,
    /// The value that the header or query parameter must have.
    pub value: ValueMatch,
}

/// The conditions of a route; it matches requests that meet all of them.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Hosts, one of which has to match; empty for any host.
    pub hosts: Vec<HostMatch>,
    /// The condition on the path.
    pub path: PathMatch,
    /// Allowed methods; empty for any method.
    pub methods: Vec<Method>,
    /// Headers, all of which have to match.
    pub headers: Vec<FieldMatch>,
    /// Query parameters, all of which have to match.
    pub query: Vec<FieldMatch>,
}

impl Default for RouteRule {
    /// Returns the conditions that every request meets.
    fn default() -> Self {
        RouteRule {
            hosts: Vec::new(),
            path: PathMatch::Prefix("/".into()),
            methods: Vec::new(),
            headers: Vec::new(),
            query: Vec::new(),
        }
    }
}

impl RouteRule {
    /// Returns the hosts, or [`HostMatch::Any`] if there are none.
    pub(crate) fn hosts(&self) -> &[HostMatch] {
        if self.hosts.is_empty() {
            &[HostMatch::Any]
        } else {
            &self.hosts
        }
    }
}
