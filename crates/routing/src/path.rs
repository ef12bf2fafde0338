//! Path conditions of a route.

use crate::pattern::Pattern;

/// The paths that a route matches.
#[derive(Debug, Clone, PartialEq)]
pub enum PathMatch {
    /// The path that equals this one.
    Exact(String),
    /// Paths that this regular expression matches completely.
    Regex(Pattern),
    /// Paths that begin with these segments: `/a` matches `/a` and `/a/b`, but not `/ab`. A
    /// trailing slash is ignored.
    Prefix(String),
}

impl PathMatch {
    /// Returns whether the condition matches `path`, which is not percent-decoded.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        match self {
            PathMatch::Exact(exact) => exact == path,
            PathMatch::Regex(pattern) => pattern.matches(path),
            PathMatch::Prefix(prefix) => strip_path_prefix(prefix, path).is_some(),
        }
    }
}

/// Returns the rest of `path` after `prefix`, which is empty or begins with a slash. `None` if the
/// path does not begin with the segments of the prefix.
#[must_use]
pub fn strip_path_prefix<'path>(prefix: &str, path: &'path str) -> Option<&'path str> {
    let suffix = path.strip_prefix(prefix.trim_end_matches('/'))?;
    (suffix.is_empty() || suffix.starts_with('/')).then_some(suffix)
}

/// Returns whether a path has a `.` or `..` segment, plain or percent-encoded. A server could
/// resolve it and serve another path than the one that was routed.
#[must_use]
pub fn has_dot_segments(path: &str) -> bool {
    path.split('/').any(|segment| {
        let decoded = segment.replace("%2e", ".").replace("%2E", ".");
        decoded == "." || decoded == ".."
    })
}
