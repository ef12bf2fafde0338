//! Finds the route of a request with hash table lookups.

use crate::host::HostMatch;
use crate::path::PathMatch;
use crate::pattern::anchored;
use crate::rank;
use crate::request::RequestView;
use crate::rule::RouteRule;
use regex::RegexSet;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

/// Maximum size of all compiled regular expressions of one host, in bytes.
const MAX_SET_BYTES: usize = 64 << 20;

/// Indices of rules with the same host and path, in order of precedence.
type RankedRules = Vec<usize>;

/// The rules of one host, by path.
#[derive(Debug, Default)]
struct PathTable {
    exact: HashMap<String, RankedRules>,
    /// The rules by regular expression, the longest expression first; `regex_set` has the same
    /// order.
    regexes: Vec<RegexEntry>,
    regex_set: Option<RegexSet>,
    /// The rules with a prefix condition, by the prefix without a trailing slash.
    prefixes: HashMap<String, RankedRules>,
    /// Length of the longest prefix, which limits the lookups.
    max_prefix_len: usize,
}

/// The rules with the same regular expression.
#[derive(Debug)]
struct RegexEntry {
    text: String,
    rules: RankedRules,
}

/// All routes of one listener. The cost of a lookup depends on the number of host labels and path
/// segments of the request and on the routes with the same host and path, not on the total number
/// of routes.
#[derive(Debug, Default)]
pub struct RouteTable {
    rules: Vec<Arc<RouteRule>>,
    exact_hosts: HashMap<String, PathTable>,
    /// The routes of wildcard hosts, by the suffix after `*.`.
    wildcard_hosts: HashMap<String, PathTable>,
    any_host: PathTable,
}

/// The reason for which a table could not be built from the rules.
#[derive(Debug, Clone, thiserror::Error)]
pub enum TableError {
    /// The regular expressions of one host are too large in total.
    #[error("regular expressions of one host: {0}")]
    Expressions(#[source] regex::Error),
}

impl RouteTable {
    /// Builds a table from rules in the order of the file.
    ///
    /// # Errors
    ///
    /// Returns an error if the regular expressions of one host are too large in total.
    pub fn new(rules: impl IntoIterator<Item = Arc<RouteRule>>) -> Result<Self, TableError> {
        let rules: Vec<Arc<RouteRule>> = rules.into_iter().collect();
        let mut table = RouteTable::default();
        for (index, rule) in rules.iter().enumerate() {
            for host in rule.hosts() {
                table.host_mut(host).add(&rule.path, index);
            }
        }
        let named = table.exact_hosts.values_mut().chain(table.wildcard_hosts.values_mut());
        for paths in named.chain([&mut table.any_host]) {
            paths.sort_and_compile(&rules)?;
        }
        Ok(RouteTable { rules, ..table })
    }

    fn host_mut(&mut self, host: &HostMatch) -> &mut PathTable {
        match host {
            HostMatch::Any => &mut self.any_host,
            HostMatch::Exact(name) => self.exact_hosts.entry(name.clone()).or_default(),
            HostMatch::Wildcard(suffix) => self.wildcard_hosts.entry(suffix.clone()).or_default(),
        }
    }

    /// Returns the index of the matching rule that takes precedence, from 0 in the order of the
    /// file; `None` if no rule matches.
    #[must_use]
    pub fn find(&self, request: &RequestView) -> Option<usize> {
        let exact = self.exact_hosts.get(request.host.as_ref());
        exact
            .and_then(|paths| paths.find(&self.rules, request))
            .or_else(|| self.find_by_wildcard(request))
            .or_else(|| self.any_host.find(&self.rules, request))
    }

    /// Looks up the suffixes of the host, longest first.
    fn find_by_wildcard(&self, request: &RequestView) -> Option<usize> {
        if self.wildcard_hosts.is_empty() {
            return None;
        }
        let host = request.host.as_ref();
        let dots = host.bytes().enumerate().filter(|(_, byte)| *byte == b'.');
        let mut suffixes = dots.map(|(dot, _)| &host[dot + 1..]);
        suffixes.find_map(|suffix| self.wildcard_hosts.get(suffix)?.find(&self.rules, request))
    }

    /// Returns the rules, in the order of the file.
    #[must_use]
    pub fn rules(&self) -> &[Arc<RouteRule>] {
        &self.rules
    }

    /// Returns the same as [`RouteTable::find`] with a linear scan of all rules, for tests and
    /// benchmarks.
    #[must_use]
    pub fn find_by_scan(&self, request: &RequestView) -> Option<usize> {
        let rules = self.rules.iter().enumerate();
        let matching = rules.filter(|(_, rule)| request.mismatch(rule).is_none());
        let first = matching.max_by_key(|(index, rule)| {
            let hosts = rule.hosts().iter().filter(|host| host.matches(&request.host));
            let host = hosts.map(rank::host).max();
            (host, rank::path(&rule.path), rank::details(rule, *index))
        });
        first.map(|(index, _)| index)
    }
}

impl PathTable {
    fn add(&mut self, path: &PathMatch, index: usize) {
        let rules = match path {
            PathMatch::Exact(path) => self.exact.entry(path.clone()).or_default(),
            PathMatch::Prefix(prefix) => {
                let prefix = prefix.trim_end_matches('/');
                self.max_prefix_len = self.max_prefix_len.max(prefix.len());
                self.prefixes.entry(prefix.to_string()).or_default()
            }
            PathMatch::Regex(pattern) => self.regex_mut(pattern.text()),
        };
        if rules.last() != Some(&index) {
            rules.push(index);
        }
    }

    fn regex_mut(&mut self, text: &str) -> &mut RankedRules {
        let known = self.regexes.iter().position(|entry| entry.text == text);
        let position = known.unwrap_or_else(|| {
            self.regexes.push(RegexEntry { text: text.to_string(), rules: RankedRules::new() });
            self.regexes.len() - 1
        });
        &mut self.regexes[position].rules
    }

    /// Sorts all entries by precedence and compiles the set of regular expressions, once all rules
    /// are added.
    fn sort_and_compile(&mut self, rules: &[Arc<RouteRule>]) -> Result<(), TableError> {
        self.regexes.sort_by_key(|entry| Reverse(entry.text.len()));
        let by_text = self.exact.values_mut().chain(self.prefixes.values_mut());
        for ranked in by_text.chain(self.regexes.iter_mut().map(|entry| &mut entry.rules)) {
            ranked.sort_by_key(|index| Reverse(rank::details(&rules[*index], *index)));
        }
        if !self.regexes.is_empty() {
            let expressions = self.regexes.iter().map(|entry| anchored(&entry.text));
            let mut builder = regex::RegexSetBuilder::new(expressions);
            let set = builder.size_limit(MAX_SET_BYTES).build();
            self.regex_set = Some(set.map_err(TableError::Expressions)?);
        }
        Ok(())
    }

    fn find(&self, rules: &[Arc<RouteRule>], request: &RequestView) -> Option<usize> {
        let first = |ranked: &RankedRules| first_match(ranked, rules, request);
        self.exact
            .get(request.path)
            .and_then(first)
            .or_else(|| self.find_by_regex(rules, request))
            .or_else(|| self.find_by_prefix(rules, request))
    }

    /// Finds a rule by the longest regular expression that matches; the other conditions decide
    /// between expressions of the same length.
    fn find_by_regex(&self, rules: &[Arc<RouteRule>], request: &RequestView) -> Option<usize> {
        let set = self.regex_set.as_ref()?;
        let mut best: Option<usize> = None;
        let mut best_len = 0;
        for position in set.matches(request.path) {
            let entry = &self.regexes[position];
            if best.is_some() && entry.text.len() < best_len {
                break;
            }
            let Some(index) = first_match(&entry.rules, rules, request) else { continue };
            let rank = |index: usize| rank::details(&rules[index], index);
            if best.is_none_or(|best| rank(index) > rank(best)) {
                best = Some(index);
                best_len = entry.text.len();
            }
        }
        best
    }

    /// Looks up the path, then the path truncated at each slash, from the last to the first.
    fn find_by_prefix(&self, rules: &[Arc<RouteRule>], request: &RequestView) -> Option<usize> {
        if self.prefixes.is_empty() {
            return None;
        }
        let path = request.path;
        let slashes = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        let ends = std::iter::once(path.len()).chain(slashes.map(|(slash, _)| slash));
        ends.filter(|end| *end <= self.max_prefix_len)
            .filter_map(|end| self.prefixes.get(&path[..end]))
            .find_map(|ranked| first_match(ranked, rules, request))
    }
}

/// Returns the first rule whose other conditions match a request. Host and path already match.
fn first_match(
    ranked: &RankedRules,
    rules: &[Arc<RouteRule>],
    request: &RequestView,
) -> Option<usize> {
    ranked.iter().copied().find(|index| request.detail_mismatch(&rules[*index]).is_none())
}
