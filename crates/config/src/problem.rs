//! Problems in an operator's file: location, message, remedy, and the safety rule that the file
//! would break.

use std::fmt;

/// Safety rules that a configuration can violate, numbered as in the README.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SafetyRule {
    /// Every request gets a response.
    NoLostRequest,
    /// No effect happens twice.
    NoDuplicateEffect,
    /// A server that is warming up is not overloaded.
    NoOverloadedWarmUp,
}

impl SafetyRule {
    /// Returns the number of the safety rule in the README.
    #[must_use]
    pub fn number(self) -> u8 {
        match self {
            SafetyRule::NoLostRequest => 1,
            SafetyRule::NoDuplicateEffect => 2,
            SafetyRule::NoOverloadedWarmUp => 4,
        }
    }
}

impl fmt::Display for SafetyRule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rule = match self {
            SafetyRule::NoLostRequest => "no request is lost",
            SafetyRule::NoDuplicateEffect => "no effect twice",
            SafetyRule::NoOverloadedWarmUp => "no server is overloaded while warming up",
        };
        write!(formatter, "rule {}, {rule}", self.number())
    }
}

/// One problem in a file. [`Display`](fmt::Display) formats it as a single line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The name of the file that the caller passed to the parser.
    pub file: String,
    /// The line of the problem in the file, from 1.
    pub line: usize,
    /// The column of the problem in its line, in characters, from 1.
    pub column: usize,
    /// Path of the field, as in `clusters.web.endpoints[1].weight`; empty if the problem concerns
    /// the whole file.
    pub field: String,
    /// The description of the problem.
    pub message: String,
    /// The change by which the operator can resolve the problem; may be empty.
    pub remedy: String,
    /// The safety rule that the file would break, if any.
    pub rule: Option<SafetyRule>,
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.field.is_empty() {
            write!(formatter, "{}: ", self.field)?;
        }
        write!(formatter, "{}", self.message)?;
        if let Some(rule) = self.rule {
            write!(formatter, " (would break {rule})")?;
        }
        if !self.remedy.is_empty() {
            write!(formatter, "; {}", self.remedy)?;
        }
        Ok(())
    }
}

impl Problem {
    /// Machine-readable form, as printed by `check --json`. The keys are stable.
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "file": self.file,
            "line": self.line,
            "column": self.column,
            "field": self.field,
            "what": self.message,
            "mend": self.remedy,
            "rule": self.rule.map(SafetyRule::number),
        })
    }
}

/// Line and column in a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    /// The line in the text, from 1.
    pub(crate) line: usize,
    /// The column in the line, in characters, from 1.
    pub(crate) column: usize,
}

/// Maps byte offsets of a text to lines and columns.
#[derive(Debug)]
pub(crate) struct LineIndex<'text> {
    text: &'text str,
    line_starts: Vec<usize>,
}

impl<'text> LineIndex<'text> {
    /// Indexes the lines of a text.
    pub(crate) fn new(text: &'text str) -> Self {
        let line_feeds = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let later_lines = line_feeds.map(|(offset, _)| offset + 1);
        LineIndex { text, line_starts: std::iter::once(0).chain(later_lines).collect() }
    }

    /// Returns the position of the byte at an offset. Offsets past the end give the end of the
    /// text.
    pub(crate) fn position(&self, offset: usize) -> Position {
        let offset = offset.min(self.text.len());
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let before = match self.text.get(start..offset) {
            Some(text) => text.chars().count(),
            // The offset is within a character.
            None => offset - start,
        };
        Position { line, column: before + 1 }
    }
}
