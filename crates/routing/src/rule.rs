//! Which requests a route matches.

use crate::host::HostMatch;
use crate::path::PathMatch;
use crate::pattern::Pattern;
use http::Method;

/// The value that a header or a query parameter has to have.
#[derive(Debug, Clone, PartialEq)]
pub enum ValueMatch {
    /// Any value: it only has to be present.
    Present,
    /// This value.
    Exact(String),
    /// The expression matches the complete value.
    Regex(Pattern),
}

impl ValueMatch {
    /// Whether it matches a value.
    #[must_use]
    pub fn matches(&self, value: &str) -> bool {
        match self {
            ValueMatch::Present => true,
            ValueMatch::Exact(text) => text == value,
            ValueMatch::Regex(pattern) => pattern.matches(value),
        }
    }
}

/// A header or a query parameter that has to match.
#[derive(Debug, Clone, PartialEq)]
pub struct FieldMatch {
    /// Its name; that of a header in lower case.
    pub name: String,
    /// The value that it has to have.
    pub value: ValueMatch,
}

/// The requests that a route matches: those that meet all of the conditions.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// The host is one of these; empty for any.
    pub hosts: Vec<HostMatch>,
    /// The path matches this.
    pub path: PathMatch,
    /// The method is one of these; empty for any.
    pub methods: Vec<Method>,
    /// Each of these headers matches.
    pub headers: Vec<FieldMatch>,
    /// Each of these query parameters matches.
    pub query: Vec<FieldMatch>,
}

impl Default for RouteRule {
    /// Matches every request.
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
    /// The hosts; any host where none is named.
    pub(crate) fn hosts(&self) -> &[HostMatch] {
        if self.hosts.is_empty() {
            &[HostMatch::Any]
        } else {
            &self.hosts
        }
    }
}
