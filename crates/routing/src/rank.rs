//! Which of two routes that both match wins.
//!
//! As the Gateway API states it for HTTPRoute: the more specific host (exact before wildcard,
//! the longer suffix first, then any), then the path (exact, then the prefix with the most
//! characters), then a method match, then the most header matches, then the most query
//! matches, then the route that was written first. The API leaves regular expressions open:
//! here they stand between exact paths and prefixes, the longer text first.

use crate::pattern::{Host, PathMatch, Rule};
use std::cmp::Reverse;

/// How specific a host is: more is better.
pub fn host(host: &Host) -> (u8, usize) {
    match host {
        Host::Exact(name) => (2, name.len()),
        Host::Under(suffix) => (1, suffix.len()),
        Host::Any => (0, 0),
    }
}

/// How specific a path is: more is better.
pub fn path(path: &PathMatch) -> (u8, usize) {
    match path {
        PathMatch::Exact(path) => (2, path.len()),
        PathMatch::Regex(pattern) => (1, pattern.text().len()),
        PathMatch::Prefix(prefix) => (0, prefix.trim_end_matches('/').len()),
    }
}

/// How specific the rest of a rule is, then its place in the file: the greatest wins.
pub fn details(rule: &Rule, place: usize) -> (bool, usize, usize, Reverse<usize>) {
    (!rule.methods.is_empty(), rule.headers.len(), rule.query.len(), Reverse(place))
}
