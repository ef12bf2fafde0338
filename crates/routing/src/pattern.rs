//! Regular expressions that match paths and values.

use regex::{Regex, RegexBuilder};

/// Maximum size of one compiled expression, in bytes.
const MAX_COMPILED_BYTES: usize = 1 << 20;
/// Prefix and suffix that make an expression match only complete strings.
const ANCHORS: [&str; 2] = ["^(?:", ")$"];

/// Makes an expression match only complete strings.
pub(crate) fn anchored(expression: &str) -> String {
    let [start, end] = ANCHORS;
    format!("{start}{expression}{end}")
}

/// A regular expression that matches complete strings, in linear time.
#[derive(Debug, Clone)]
pub struct Pattern(Regex);

/// The error of an expression that is invalid or too large. Its message is the last line of the
/// library's message.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{}", last_line(.0))]
pub struct PatternError(#[source] regex::Error);

fn last_line(error: &regex::Error) -> String {
    error.to_string().lines().last().unwrap_or_default().trim().to_string()
}

impl Pattern {
    /// Compiles a regular expression so that it matches only complete strings.
    ///
    /// # Errors
    ///
    /// Returns an error if the expression is invalid, or too large when compiled.
    pub fn new(expression: &str) -> Result<Self, PatternError> {
        // Compiled without anchors first, since an unmatched parenthesis could close their group.
        compile(expression)?;
        compile(&anchored(expression)).map(Pattern)
    }

    /// Returns whether the expression matches the complete string.
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        self.0.is_match(text)
    }

    /// Returns the expression as written, without the anchors.
    #[must_use]
    pub fn text(&self) -> &str {
        let [start, end] = ANCHORS;
        let anchored = self.0.as_str();
        let expression = anchored.strip_prefix(start).and_then(|rest| rest.strip_suffix(end));
        expression.unwrap_or(anchored)
    }
}

fn compile(expression: &str) -> Result<Regex, PatternError> {
    let mut builder = RegexBuilder::new(expression);
    builder.size_limit(MAX_COMPILED_BYTES).build().map_err(PatternError)
}

impl PartialEq for Pattern {
    fn eq(&self, other: &Self) -> bool {
        self.text() == other.text()
    }
}
