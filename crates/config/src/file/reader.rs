//! Collects the problems of a file while it is parsed, and the places of its fields.

use crate::problem::{LineColumn, LineIndex, Problem, SafetyRule};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::ops::Range;

/// A place in the file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Place {
    /// The range of bytes in the text; empty for a field that the file does not state.
    pub span: Range<usize>,
    /// The path of the field, as in `clusters.web.endpoints[1]`; empty for the file.
    pub field: String,
}

impl Place {
    /// The same bytes, for a field of the table at this place.
    pub fn child(&self, key: &str) -> Place {
        Place { span: self.span.clone(), field: format!("{}.{key}", self.field) }
    }

    /// Whether the file states it.
    pub fn is_stated(&self) -> bool {
        !self.span.is_empty()
    }
}

/// A parsed value with its place.
#[derive(Debug, Clone)]
pub struct Located<T> {
    pub value: T,
    pub place: Place,
}

impl<T> Located<T> {
    pub fn map<U>(self, transform: impl FnOnce(T) -> U) -> Located<U> {
        Located { value: transform(self.value), place: self.place }
    }
}

/// A problem with its offset, for the merge with syntax errors.
#[derive(Debug)]
pub struct LocatedProblem {
    /// Its offset in the text, in bytes.
    pub offset: usize,
    /// Whether a name refers to nothing or is referred to by nothing, which a syntax error
    /// elsewhere can cause.
    pub is_reference: bool,
    pub problem: Problem,
}

/// Keys by the path of their table.
pub type KnownKeys = BTreeMap<String, BTreeSet<&'static str>>;

/// The findings about a file.
pub struct Findings {
    /// In the order of the text.
    pub problems: Vec<LocatedProblem>,
    /// The line of each field that the file states.
    pub stated_lines: BTreeMap<String, usize>,
}

/// A file that is being parsed.
pub struct Reader<'text> {
    file_name: &'text str,
    lines: LineIndex<'text>,
    problems: RefCell<Vec<LocatedProblem>>,
    stated: RefCell<BTreeMap<String, Range<usize>>>,
    /// The keys that were requested in each table; `None` if they are not collected.
    known_keys: Option<RefCell<KnownKeys>>,
}

impl<'text> Reader<'text> {
    pub fn new(file_name: &'text str, text: &'text str) -> Self {
        Reader {
            file_name,
            lines: LineIndex::new(text),
            problems: RefCell::default(),
            stated: RefCell::default(),
            known_keys: None,
        }
    }

    /// Collects the keys that are requested in each table.
    pub fn collecting_keys(self) -> Self {
        Reader { known_keys: Some(RefCell::default()), ..self }
    }

    /// Reports a problem.
    pub fn report(&self, place: &Place, message: impl Display, remedy: impl Display) {
        self.push(place, message.to_string(), remedy.to_string(), None, false);
    }

    /// Reports a problem that would break a safety rule.
    pub fn report_violation(
        &self,
        place: &Place,
        message: impl Display,
        remedy: impl Display,
        rule: SafetyRule,
    ) {
        self.push(place, message.to_string(), remedy.to_string(), Some(rule), false);
    }

    /// Reports a name that refers to nothing, or is referred to by nothing.
    pub fn report_reference(
        &self,
        place: &Place,
        message: impl Display,
        remedy: impl Display,
        rule: Option<SafetyRule>,
    ) {
        self.push(place, message.to_string(), remedy.to_string(), rule, true);
    }

    fn push(
        &self,
        place: &Place,
        message: String,
        remedy: String,
        rule: Option<SafetyRule>,
        is_reference: bool,
    ) {
        let offset = place.span.start;
        let LineColumn { line, column } = self.lines.place(offset);
        let file = self.file_name.to_string();
        let field = place.field.clone();
        let problem = Problem { file, line, column, field, message, remedy, rule };
        self.problems.borrow_mut().push(LocatedProblem { offset, is_reference, problem });
    }

    /// The line of a place, from 1.
    pub fn line(&self, place: &Place) -> usize {
        self.lines.place(place.span.start).line
    }

    /// Records that the file states a field.
    pub fn record_stated(&self, place: &Place) {
        self.stated.borrow_mut().insert(place.field.clone(), place.span.clone());
    }

    /// The place of a field that the file states, otherwise the beginning of the file.
    pub fn place_of_field(&self, field: String) -> Place {
        let span = self.stated.borrow().get(&field).cloned().unwrap_or(0..0);
        Place { span, field }
    }

    /// Records the keys that were requested in a table, if they are collected.
    pub fn record_known_keys(&self, table: &str, keys: &BTreeSet<&'static str>) {
        if let Some(known_keys) = &self.known_keys {
            known_keys.borrow_mut().insert(table.to_string(), keys.clone());
        }
    }

    /// The keys that were collected.
    pub fn into_known_keys(self) -> KnownKeys {
        self.known_keys.map(RefCell::into_inner).unwrap_or_default()
    }

    /// Ends the parsing and returns the findings.
    pub fn finish(self) -> Findings {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|located| (located.offset, located.problem.message.clone()));
        let stated = self.stated.into_inner().into_iter();
        let line = |span: Range<usize>| self.lines.place(span.start).line;
        Findings {
            problems,
            stated_lines: stated.map(|(field, span)| (field, line(span))).collect(),
        }
    }
}
