//! What is wrong with an operator's file, where, and how to mend it.

use std::fmt;

/// The rules that a file may break, by their numbers in the README.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// A request would be lost, or get no answer of its own.
    Lost,
    /// An effect could happen twice.
    Twice,
    /// A cold server could be pushed over.
    Cold,
}

impl BrokenRule {
    /// Its number.
    pub fn number(self) -> u8 {
        match self {
            BrokenRule::Lost => 1,
            BrokenRule::Twice => 2,
            BrokenRule::Cold => 4,
        }
    }
}

impl fmt::Display for BrokenRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self {
            BrokenRule::Lost => "no request is lost",
            BrokenRule::Twice => "no effect twice",
            BrokenRule::Cold => "a cold server is not pushed over",
        };
        write!(f, "rule {}, {what}", self.number())
    }
}

/// One error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// The file, as it was named.
    pub file: String,
    /// Line, from 1; 0 where the file as a whole is at fault.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// The field, as in `clusters.web.endpoints[1].weight`; empty for the file.
    pub field: String,
    /// What is wrong.
    pub what: String,
    /// How to mend it.
    pub mend: String,
    /// The rule that it would break, if any.
    pub rule: Option<BrokenRule>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        write!(f, "{}", self.what)?;
        if let Some(rule) = self.rule {
            write!(f, " (would break {rule})")?;
        }
        if !self.mend.is_empty() {
            write!(f, "; {}", self.mend)?;
        }
        Ok(())
    }
}

impl Problem {
    /// The same for programs.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "file": self.file, "line": self.line, "column": self.column, "field": self.field,
            "what": self.what, "mend": self.mend, "rule": self.rule.map(BrokenRule::number),
        })
    }
}

/// Lines and columns of a text.
#[derive(Debug)]
pub struct Places<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Places<'a> {
    /// Finds the lines of a text.
    pub fn new(text: &'a str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let starts = std::iter::once(0).chain(ends.map(|(at, _)| at + 1)).collect();
        Places { text, starts }
    }

    /// Line and column, both from 1, of a byte.
    pub fn of(&self, byte: usize) -> (usize, usize) {
        let byte = byte.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= byte);
        let start = self.starts[line - 1];
        let column = self.text.get(start..byte).map_or(byte - start, |t| t.chars().count());
        (line, column + 1)
    }
}
