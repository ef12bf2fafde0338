//! Precedence between routes that match the same request.
//!
//! As specified by the Gateway API for `HTTPRoute`: the more specific host (exact, then the
//! wildcard with the longer suffix, then any), then the path (exact, then the longest prefix), then
//! a method match, then the most header matches, then the most query parameter matches, then the
//! first route in the file. The API leaves the rank of regular expressions open; here they are
//! between exact paths and prefixes, the longest expression first.

use crate::host::HostMatch;
use crate::path::PathMatch;
use crate::rule::RouteRule;
use std::cmp::Reverse;

/// The precedence of a host condition; the greater rank wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostRank {
    /// The condition matches any host.
    Any,
    /// The condition is a wildcard; holds the length of the suffix in bytes.
    Wildcard(usize),
    /// The condition matches one exact host.
    Exact,
}

/// The precedence of a path condition; the greater rank wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PathRank {
    /// The condition is a path prefix; holds the length of the prefix in bytes.
    Prefix(usize),
    /// The condition is a regular expression; holds the length of the expression in bytes.
    Regex(usize),
    /// The condition matches one exact path.
    Exact,
}

/// The precedence of the conditions other than host and path, and then of the position in the file;
/// the greater rank wins. Fields are compared in declaration order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DetailRank {
    has_methods: bool,
    headers: usize,
    query_parameters: usize,
    index: Reverse<usize>,
}

/// Returns the rank of a host.
#[must_use]
pub fn host(host: &HostMatch) -> HostRank {
    match host {
        HostMatch::Exact(_) => HostRank::Exact,
        HostMatch::Wildcard(suffix) => HostRank::Wildcard(suffix.len()),
        HostMatch::Any => HostRank::Any,
    }
}

/// Returns the rank of a path.
#[must_use]
pub fn path(path: &PathMatch) -> PathRank {
    match path {
        PathMatch::Exact(_) => PathRank::Exact,
        PathMatch::Regex(pattern) => PathRank::Regex(pattern.text().len()),
        PathMatch::Prefix(prefix) => PathRank::Prefix(prefix.trim_end_matches('/').len()),
    }
}

/// Returns the rank of the other conditions of a rule; `index` is its position in the file, from 0.
#[must_use]
pub fn details(rule: &RouteRule, index: usize) -> DetailRank {
    DetailRank {
        has_methods: !rule.methods.is_empty(),
        headers: rule.headers.len(),
        query_parameters: rule.query.len(),
        index: Reverse(index),
    }
}
