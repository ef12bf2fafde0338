//! Collects the problems of a file and the locations of its fields during parsing.

use crate::problem::{LineIndex, Position, Problem, SafetyRule};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::ops::Range;

/// A location in the file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Location {
    /// The byte range in the text; empty for a field that the file does not set.
    pub span: Range<usize>,
    /// The path of the field, as in `clusters.web.endpoints[1]`; empty for the whole file.
    pub field: String,
}

impl Location {
    /// Returns the location of a field in the table at this location, with the span of the table.
    pub fn child(&self, key: &str) -> Location {
        Location { span: self.span.clone(), field: format!("{}.{key}", self.field) }
    }

    /// Returns whether the file sets the field explicitly.
    pub fn is_explicit(&self) -> bool {
        !self.span.is_empty()
    }
}

/// A parsed value with its location.
#[derive(Debug, Clone)]
pub struct Located<T> {
    pub value: T,
    pub location: Location,
}

impl<T> Located<T> {
    pub fn map<U>(self, transform: impl FnOnce(T) -> U) -> Located<U> {
        Located { value: transform(self.value), location: self.location }
    }
}

/// A problem with its offset in the file, by which it is merged with syntax errors.
#[derive(Debug)]
pub struct LocatedProblem {
    /// The offset of the problem from the beginning of the file, in bytes.
    pub offset: usize,
    /// Whether the problem is an undefined or unused name, which a syntax error elsewhere can
    /// cause.
    pub is_reference: bool,
    pub problem: Problem,
}

/// The keys that the parser accepts in each table, by the path of the table.
pub type KnownKeys = BTreeMap<String, BTreeSet<&'static str>>;

/// The results of parsing a file, apart from the values of its fields.
pub struct Findings {
    /// The problems in the order of the text.
    pub problems: Vec<LocatedProblem>,
    /// The line of each field that the file sets explicitly.
    pub explicit_lines: BTreeMap<String, usize>,
}

/// A file that is being parsed.
pub struct Reader<'text> {
    file_name: &'text str,
    lines: LineIndex<'text>,
    problems: RefCell<Vec<LocatedProblem>>,
    explicit: RefCell<BTreeMap<String, Range<usize>>>,
    /// The keys that the parser requested in each table; `None` if they are not collected.
    known_keys: Option<RefCell<KnownKeys>>,
}

impl<'text> Reader<'text> {
    pub fn new(file_name: &'text str, text: &'text str) -> Self {
        Reader {
            file_name,
            lines: LineIndex::new(text),
            problems: RefCell::default(),
            explicit: RefCell::default(),
            known_keys: None,
        }
    }

    /// Enables collection of the keys that the parser requests in each table.
    pub fn collecting_keys(self) -> Self {
        Reader { known_keys: Some(RefCell::default()), ..self }
    }

    /// Reports a problem that breaks no safety rule, with a remedy for the operator.
    pub fn report(&self, location: &Location, message: impl Display, remedy: impl Display) {
        self.push(location, message.to_string(), remedy.to_string(), None, false);
    }

    /// Reports a setting that would break a safety rule.
    pub fn report_violation(
        &self,
        location: &Location,
        message: impl Display,
        remedy: impl Display,
        rule: SafetyRule,
    ) {
        self.push(location, message.to_string(), remedy.to_string(), Some(rule), false);
    }

    /// Reports an undefined or unused name.
    pub fn report_reference(
        &self,
        location: &Location,
        message: impl Display,
        remedy: impl Display,
        rule: Option<SafetyRule>,
    ) {
        self.push(location, message.to_string(), remedy.to_string(), rule, true);
    }

    fn push(
        &self,
        location: &Location,
        message: String,
        remedy: String,
        rule: Option<SafetyRule>,
        is_reference: bool,
    ) {
        let offset = location.span.start;
        let Position { line, column } = self.lines.position(offset);
        let file = self.file_name.to_string();
        let field = location.field.clone();
        let problem = Problem { file, line, column, field, message, remedy, rule };
        self.problems.borrow_mut().push(LocatedProblem { offset, is_reference, problem });
    }

    /// Returns the line at which a location begins, from 1.
    pub fn line(&self, location: &Location) -> usize {
        self.lines.position(location.span.start).line
    }

    /// Records that the file sets a field explicitly.
    pub fn record_explicit(&self, location: &Location) {
        self.explicit.borrow_mut().insert(location.field.clone(), location.span.clone());
    }

    /// Returns the location of a field; the beginning of the file if the file does not set the
    /// field.
    pub fn location_of_field(&self, field: String) -> Location {
        let span = self.explicit.borrow().get(&field).cloned().unwrap_or(0..0);
        Location { span, field }
    }

    /// Records the keys that were requested in a table, if they are collected.
    pub fn record_known_keys(&self, table: &str, keys: &BTreeSet<&'static str>) {
        if let Some(known_keys) = &self.known_keys {
            known_keys.borrow_mut().insert(table.to_string(), keys.clone());
        }
    }

    /// Returns the keys that were collected.
    pub fn into_known_keys(self) -> KnownKeys {
        self.known_keys.map(RefCell::into_inner).unwrap_or_default()
    }

    /// Finishes parsing and returns the findings.
    pub fn finish(self) -> Findings {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|located| (located.offset, located.problem.message.clone()));
        let explicit = self.explicit.into_inner().into_iter();
        let line = |span: Range<usize>| self.lines.position(span.start).line;
        Findings {
            problems,
            explicit_lines: explicit.map(|(field, span)| (field, line(span))).collect(),
        }
    }
}
