//! Finds the route that wins, by look-ups.

use crate::pattern::{Host, PathMatch, Probe, Rule};
use crate::rank;
use regex::RegexSet;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

/// Most bytes that the expressions of one host may take together.
const SET_SIZE: usize = 64 << 20;

/// Routes that share host and path, the winner of those that match first.
type Ranked = Vec<usize>;

#[derive(Debug, Default)]
struct Paths {
    exact: HashMap<String, Ranked>,
    /// Longest text first, with its routes; the set has the same order.
    regexes: Vec<(String, Ranked)>,
    set: Option<RegexSet>,
    /// By prefix, without a slash at its end.
    prefixes: HashMap<String, Ranked>,
    /// The length of the longest prefix: no need to try longer ones.
    longest: usize,
}

/// All routes of one listener. A look-up costs by the request's labels, path elements
/// and the routes that share one host and path, not by how many routes there are.
#[derive(Debug, Default)]
pub struct Table {
    rules: Vec<Arc<Rule>>,
    exact: HashMap<String, Paths>,
    under: HashMap<String, Paths>,
    any: Paths,
}

impl Table {
    /// Lays out rules in the order of the file; `Err` names a rule whose expressions
    /// together with its host's others are too large.
    pub fn new(rules: impl IntoIterator<Item = Arc<Rule>>) -> Result<Self, String> {
        let mut table = Table { rules: rules.into_iter().collect(), ..Table::default() };
        let rules = std::mem::take(&mut table.rules);
        for (place, rule) in rules.iter().enumerate() {
            let any = [Host::Any];
            let hosts = if rule.hosts.is_empty() { &any[..] } else { &rule.hosts[..] };
            for host in hosts {
                let paths = match host {
                    Host::Any => &mut table.any,
                    Host::Exact(name) => table.exact.entry(name.clone()).or_default(),
                    Host::Under(suffix) => table.under.entry(suffix.clone()).or_default(),
                };
                paths.add(&rule.path, place);
            }
        }
        let all = table.exact.values_mut().chain(table.under.values_mut());
        for paths in all.chain([&mut table.any]) {
            paths.settle(&rules)?;
        }
        table.rules = rules;
        Ok(table)
    }

    /// The place of the route that wins; none if no route matches.
    pub fn find(&self, probe: &Probe) -> Option<usize> {
        let host = probe.host.as_ref();
        let exact = self.exact.get(host).and_then(|paths| paths.find(self, probe));
        exact
            .or_else(|| {
                // From the longest suffix to the shortest.
                let mut dots = host.bytes().enumerate().filter(|(_, b)| *b == b'.');
                let wild = (!self.under.is_empty()).then_some(());
                wild.and_then(|()| {
                    dots.find_map(|(at, _)| self.under.get(&host[at + 1..])?.find(self, probe))
                })
            })
            .or_else(|| self.any.find(self, probe))
    }

    /// The rules, in the order of the file.
    pub fn rules(&self) -> &[Arc<Rule>] {
        &self.rules
    }

    /// The plain way to the same answer, for tests: every rule is asked.
    pub fn find_naively(&self, probe: &Probe) -> Option<usize> {
        let any = [Host::Any];
        let hits = self.rules.iter().enumerate().filter(|(_, r)| probe.fails(r).is_none());
        let best = hits.max_by_key(|(place, rule)| {
            let hosts = if rule.hosts.is_empty() { &any[..] } else { &rule.hosts[..] };
            let taking = hosts.iter().filter(|h| h.takes(&probe.host)).map(rank::host);
            let path = rank::path(&rule.path);
            (taking.max(), path, rank::details(rule, *place))
        });
        best.map(|(place, _)| place)
    }
}

impl Paths {
    fn add(&mut self, path: &PathMatch, place: usize) {
        let ranked = match path {
            PathMatch::Exact(path) => self.exact.entry(path.clone()).or_default(),
            PathMatch::Prefix(prefix) => {
                let prefix = prefix.trim_end_matches('/');
                self.longest = self.longest.max(prefix.len());
                self.prefixes.entry(prefix.to_string()).or_default()
            }
            PathMatch::Regex(pattern) => {
                let at = self.regexes.iter().position(|(text, _)| text == pattern.text());
                let at = at.unwrap_or_else(|| {
                    self.regexes.push((pattern.text().to_string(), Ranked::new()));
                    self.regexes.len() - 1
                });
                &mut self.regexes[at].1
            }
        };
        if ranked.last() != Some(&place) {
            ranked.push(place);
        }
    }

    fn settle(&mut self, rules: &[Arc<Rule>]) -> Result<(), String> {
        self.regexes.sort_by_key(|(text, _)| Reverse(text.len()));
        let ranked = self.exact.values_mut().chain(self.prefixes.values_mut());
        for ranked in ranked.chain(self.regexes.iter_mut().map(|(_, ranked)| ranked)) {
            ranked.sort_by_key(|place| Reverse(rank::details(&rules[*place], *place)));
        }
        if !self.regexes.is_empty() {
            let whole = self.regexes.iter().map(|(text, _)| format!("^(?:{text})$"));
            let set = regex::RegexSetBuilder::new(whole).size_limit(SET_SIZE).build();
            self.set = Some(set.map_err(|e| format!("expressions of one host: {e}"))?);
        }
        Ok(())
    }

    fn find(&self, table: &Table, probe: &Probe) -> Option<usize> {
        let first = |ranked: &Ranked| {
            ranked.iter().copied().find(|place| probe.fails_details(&table.rules[*place]).is_none())
        };
        if let Some(place) = self.exact.get(probe.path).and_then(first) {
            return Some(place);
        }
        if let Some(set) = &self.set {
            // Expressions of one length win in the order of the file, as all ties do.
            let mut best: Option<(usize, usize)> = None;
            for at in set.matches(probe.path) {
                let (text, ranked) = &self.regexes[at];
                if best.is_some_and(|(len, _)| text.len() < len) {
                    break;
                }
                let Some(place) = first(ranked) else { continue };
                let rank = |place: usize| rank::details(&table.rules[place], place);
                if best.is_none_or(|(_, other)| rank(place) > rank(other)) {
                    best = Some((text.len(), place));
                }
            }
            if let Some((_, place)) = best {
                return Some(place);
            }
        }
        if self.prefixes.is_empty() {
            return None;
        }
        // The path itself, then cut at every slash from the end.
        let path = probe.path;
        let ends = std::iter::once(path.len())
            .chain(path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/').map(|(at, _)| at));
        ends.filter(|end| *end <= self.longest)
            .find_map(|end| self.prefixes.get(&path[..end]).and_then(first))
    }
}
