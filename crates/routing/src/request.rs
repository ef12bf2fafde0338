//! The parts of a request used for routing, and the conditions of a rule that they do not meet.

use crate::rule::{FieldMatch, RouteRule};
use http::{HeaderMap, Method};
use std::borrow::Cow;
use std::fmt;

/// The parts of a request used for routing.
#[derive(Debug, Clone)]
pub struct RequestView<'request> {
    /// The host of the request in lower case, without a port; empty if there is none.
    pub host: Cow<'request, str>,
    /// The path of the request, not percent-decoded.
    pub path: &'request str,
    /// The query of the request, not percent-decoded; empty if there is none.
    pub query: &'request str,
    /// The method of the request.
    pub method: &'request Method,
    /// The headers of the request.
    pub headers: &'request HeaderMap,
}

/// Returns the host without its port and without a trailing dot.
fn host_name(host: &str) -> &str {
    let is_port = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    let name = match host.rsplit_once(':') {
        // An IPv6 address contains colons; before a port it is in brackets.
        Some((name, port)) if is_port(port) && (!name.contains(':') || name.ends_with(']')) => name,
        _ => host,
    };
    name.strip_suffix('.').unwrap_or(name)
}

impl<'request> RequestView<'request> {
    /// Creates a view of a request; `host` may have a port and capital letters.
    #[must_use]
    pub fn new(
        host: &'request str,
        path_and_query: &'request str,
        method: &'request Method,
        headers: &'request HeaderMap,
    ) -> Self {
        let name = host_name(host);
        let host = if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
            Cow::Owned(name.to_ascii_lowercase())
        } else {
            Cow::Borrowed(name)
        };
        let (path, query) = path_and_query.split_once('?').unwrap_or((path_and_query, ""));
        RequestView { host, path, query, method, headers }
    }

    /// Returns the values of a query parameter, not decoded.
    pub fn query_values<'name>(
        &self,
        name: &'name str,
    ) -> impl Iterator<Item = &'request str> + use<'request, 'name> {
        let parameters = self.query.split('&');
        let pairs = parameters.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
        pairs.filter(move |(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the first condition of a rule that the request does not meet; `None` if the rule
    /// matches. Host and path are checked first, since they fail most often.
    #[must_use]
    pub fn mismatch<'rule>(&self, rule: &'rule RouteRule) -> Option<Mismatch<'rule>> {
        if !rule.hosts().iter().any(|host| host.matches(&self.host)) {
            return Some(Mismatch::Host);
        }
        if !rule.path.matches(self.path) {
            return Some(Mismatch::Path);
        }
        self.detail_mismatch(rule)
    }

    /// Returns the first condition other than host and path that the request does not meet.
    pub(crate) fn detail_mismatch<'rule>(&self, rule: &'rule RouteRule) -> Option<Mismatch<'rule>> {
        if !rule.methods.is_empty() && !rule.methods.contains(self.method) {
            return Some(Mismatch::Method);
        }
        if let Some(header) = rule.headers.iter().find(|header| !self.matches_header(header)) {
            return Some(Mismatch::Header(&header.name));
        }
        let parameter = rule.query.iter().find(|parameter| !self.matches_query(parameter))?;
        Some(Mismatch::Query(&parameter.name))
    }

    /// If the header has several values, one has to match. The Gateway API leaves this open.
    fn matches_header(&self, header: &FieldMatch) -> bool {
        let mut values = self.headers.get_all(header.name.as_str()).iter();
        values.any(|value| value.to_str().is_ok_and(|value| header.value.matches(value)))
    }

    fn matches_query(&self, parameter: &FieldMatch) -> bool {
        self.query_values(&parameter.name).any(|value| parameter.value.matches(value))
    }
}

/// The condition of a rule that a request does not meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mismatch<'rule> {
    /// The host of the request is none of the rule's hosts.
    Host,
    /// The path of the request does not match the rule's path condition.
    Path,
    /// The method of the request is none of the rule's methods.
    Method,
    /// The header with this name is absent or does not match.
    Header(&'rule str),
    /// The query parameter with this name is absent or does not match.
    Query(&'rule str),
}

impl fmt::Display for Mismatch<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Mismatch::Host => write!(formatter, "the host is not one of its hosts"),
            Mismatch::Path => write!(formatter, "the path does not match"),
            Mismatch::Method => write!(formatter, "the method is not one of its methods"),
            Mismatch::Header(name) => write!(formatter, "header '{name}' does not match"),
            Mismatch::Query(name) => write!(formatter, "query parameter '{name}' does not match"),
        }
    }
}
