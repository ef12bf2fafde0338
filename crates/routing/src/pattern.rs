//! What a route asks of a request, and the request as routing sees it.

use http::{HeaderMap, Method};
use regex::Regex;
use std::borrow::Cow;

/// Most bytes that one compiled regular expression may take.
const REGEX_SIZE: usize = 1 << 20;

/// A host that a route serves. Case does not count; ports do not either.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Host {
    /// Any host, or none.
    Any,
    /// One or more labels before this suffix (`*.lab.example` holds `lab.example`).
    Under(String),
    /// This host alone.
    Exact(String),
}

impl Host {
    /// Reads `*`, `*.suffix` or a name; the error says what is wrong.
    pub fn parse(text: &str) -> Result<Self, String> {
        let name = text.to_ascii_lowercase();
        let (wild, rest) = match name.strip_prefix("*.") {
            Some(rest) => (true, rest),
            None if name == "*" => return Ok(Host::Any),
            None => (false, name.as_str()),
        };
        let label = |l: &str| {
            !l.is_empty() && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        };
        let literal = rest.strip_prefix('[').and_then(|r| r.strip_suffix(']'));
        let v6 = literal.is_some_and(|r| r.parse::<std::net::Ipv6Addr>().is_ok());
        if rest.contains('*') {
            return Err("a wildcard stands for whole labels at the start only, as in '*.a'".into());
        }
        if rest.contains(':') && !v6 {
            return Err("a host has no port and no scheme here".into());
        }
        if !v6 && !rest.split('.').all(label) {
            return Err("not a host name".into());
        }
        Ok(if wild { Host::Under(rest.to_string()) } else { Host::Exact(rest.to_string()) })
    }

    /// Whether it takes a host (already in lower case, without a port).
    pub fn takes(&self, host: &str) -> bool {
        match self {
            Host::Any => true,
            Host::Exact(name) => name == host,
            Host::Under(suffix) => {
                host.strip_suffix(suffix.as_str()).is_some_and(|l| l.len() > 1 && l.ends_with('.'))
            }
        }
    }
}

/// A regular expression in linear time that must match the whole text.
#[derive(Debug, Clone)]
pub struct Pattern(Regex);

impl Pattern {
    /// Compiles it; the error is one line.
    pub fn new(text: &str) -> Result<Self, String> {
        let whole = format!("^(?:{text})$");
        // Compiled bare first, so that a stray bracket cannot escape the anchors.
        let bare = regex::RegexBuilder::new(text).size_limit(REGEX_SIZE).build();
        bare.and_then(|_| regex::RegexBuilder::new(&whole).size_limit(REGEX_SIZE).build())
            .map(Pattern)
            .map_err(|e| e.to_string().lines().last().unwrap_or_default().trim().to_string())
    }

    /// Whether the whole text matches.
    pub fn takes(&self, text: &str) -> bool {
        self.0.is_match(text)
    }

    /// The expression as it was written.
    pub fn text(&self) -> &str {
        let whole = self.0.as_str();
        whole.strip_prefix("^(?:").and_then(|t| t.strip_suffix(")$")).unwrap_or(whole)
    }
}

impl PartialEq for Pattern {
    fn eq(&self, other: &Self) -> bool {
        self.text() == other.text()
    }
}

/// What a route asks of the path.
#[derive(Debug, Clone, PartialEq)]
pub enum PathMatch {
    /// This path and no other.
    Exact(String),
    /// The whole path matches.
    Regex(Pattern),
    /// These elements come first: `/a` takes `/a` and `/a/b`, never `/ab`. A slash at
    /// the end does not count.
    Prefix(String),
}

impl PathMatch {
    /// Whether it takes a path.
    pub fn takes(&self, path: &str) -> bool {
        match self {
            PathMatch::Exact(exact) => exact == path,
            PathMatch::Regex(pattern) => pattern.takes(path),
            PathMatch::Prefix(prefix) => after_prefix(prefix, path).is_some(),
        }
    }
}

/// What is left of a path behind an element prefix; it is empty or begins with a slash.
pub fn after_prefix<'a>(prefix: &str, path: &'a str) -> Option<&'a str> {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'))?;
    (rest.is_empty() || rest.starts_with('/')).then_some(rest)
}

/// What a header or a query parameter must hold.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// Anything: it is there.
    Present,
    /// This text.
    Exact(String),
    /// The whole value matches.
    Regex(Pattern),
}

impl Value {
    /// Whether a value passes.
    pub fn takes(&self, value: &str) -> bool {
        match self {
            Value::Present => true,
            Value::Exact(text) => text == value,
            Value::Regex(pattern) => pattern.takes(value),
        }
    }
}

/// A named value that must pass.
#[derive(Debug, Clone, PartialEq)]
pub struct Test {
    /// The header's or parameter's name; headers in lower case.
    pub name: String,
    /// What it must hold.
    pub value: Value,
}

/// All that one route asks; everything asked must hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// One of these hosts; empty for any.
    pub hosts: Vec<Host>,
    /// The path.
    pub path: PathMatch,
    /// One of these methods; empty for any.
    pub methods: Vec<Method>,
    /// Each of these headers.
    pub headers: Vec<Test>,
    /// Each of these query parameters.
    pub query: Vec<Test>,
}

impl Default for Rule {
    /// Takes everything.
    fn default() -> Self {
        Rule {
            hosts: Vec::new(),
            path: PathMatch::Prefix("/".into()),
            methods: Vec::new(),
            headers: Vec::new(),
            query: Vec::new(),
        }
    }
}

/// A request as routing sees it.
#[derive(Debug, Clone)]
pub struct Probe<'a> {
    /// Its host in lower case, without a port; empty if it names none.
    pub host: Cow<'a, str>,
    /// Its path, as sent: nothing is decoded.
    pub path: &'a str,
    /// Its query, as sent.
    pub query: &'a str,
    /// Its method.
    pub method: &'a Method,
    /// Its headers.
    pub headers: &'a HeaderMap,
}

impl<'a> Probe<'a> {
    /// A request by its parts; `host` may carry a port and capitals.
    pub fn new(
        host: &'a str,
        path_and_query: &'a str,
        method: &'a Method,
        headers: &'a HeaderMap,
    ) -> Self {
        let port = |p: &str| p.bytes().all(|b| b.is_ascii_digit());
        let name = match host.rsplit_once(':') {
            Some((name, p)) if port(p) && (!name.contains(':') || name.ends_with(']')) => name,
            _ => host,
        };
        let name = name.strip_suffix('.').unwrap_or(name);
        let host = match name.bytes().any(|b| b.is_ascii_uppercase()) {
            true => Cow::Owned(name.to_ascii_lowercase()),
            false => Cow::Borrowed(name),
        };
        let (path, query) = path_and_query.split_once('?').unwrap_or((path_and_query, ""));
        Probe { host, path, query, method, headers }
    }

    /// The values of a query parameter, as sent.
    pub fn parameters<'n>(&self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        let pairs = self.query.split('&').map(|p| p.split_once('=').unwrap_or((p, "")));
        pairs.filter(move |(n, _)| *n == name).map(|(_, value)| value)
    }

    /// The first part of a rule that the request does not pass; none if it passes all.
    /// Hosts and path are asked first, since they decide most often.
    pub fn fails<'r>(&self, rule: &'r Rule) -> Option<Failure<'r>> {
        if !rule.hosts.is_empty() && !rule.hosts.iter().any(|h| h.takes(&self.host)) {
            return Some(Failure::Host);
        }
        if !rule.path.takes(self.path) {
            return Some(Failure::Path);
        }
        self.fails_details(rule)
    }

    /// The same without hosts and path.
    pub fn fails_details<'r>(&self, rule: &'r Rule) -> Option<Failure<'r>> {
        if !rule.methods.is_empty() && !rule.methods.contains(self.method) {
            return Some(Failure::Method);
        }
        // Of several values one must pass: the Gateway API leaves it open.
        let header = |t: &&Test| {
            let values = self.headers.get_all(t.name.as_str());
            !values.iter().any(|v| v.to_str().is_ok_and(|v| t.value.takes(v)))
        };
        if let Some(test) = rule.headers.iter().find(header) {
            return Some(Failure::Header(&test.name));
        }
        let query = |t: &&Test| !self.parameters(&t.name).any(|v| t.value.takes(v));
        rule.query.iter().find(query).map(|test| Failure::Query(&test.name))
    }
}

/// The part of a rule that a request does not pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure<'r> {
    /// Its host is not served.
    Host,
    /// Its path does not match.
    Path,
    /// Its method is not among those named.
    Method,
    /// This header is absent or holds something else.
    Header(&'r str),
    /// This query parameter is absent or holds something else.
    Query(&'r str),
}

impl std::fmt::Display for Failure<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Host => write!(f, "the host is not one of its hosts"),
            Failure::Path => write!(f, "the path does not match"),
            Failure::Method => write!(f, "the method is not one of its methods"),
            Failure::Header(name) => write!(f, "header '{name}' does not pass"),
            Failure::Query(name) => write!(f, "query parameter '{name}' does not pass"),
        }
    }
}

/// Whether a path holds an element `.` or `..`, plain or escaped. Danger: routed by one
/// path, it would be served by another.
pub fn has_dot_segments(path: &str) -> bool {
    path.split('/').any(|element| {
        let plain = element.replace("%2e", ".").replace("%2E", ".");
        plain == "." || plain == ".."
    })
}
