//! Errors in the file's encoding and TOML syntax.

use super::reader::LocatedProblem;
use crate::problem::{LineIndex, Position, Problem};
use std::collections::BTreeSet;
use toml::de::Error;

/// Maximum size of a file. It is enough for far more than ten thousand routes.
const MAX_FILE_BYTES: usize = 16 << 20;

fn file_problem(file_name: &str, position: Position, message: String, remedy: &str) -> Problem {
    Problem {
        file: file_name.to_string(),
        line: position.line,
        column: position.column,
        field: String::new(),
        message,
        remedy: remedy.to_string(),
        rule: None,
    }
}

/// Decodes a file as UTF-8.
///
/// # Errors
///
/// Returns one problem if the file is too large or not valid UTF-8.
pub fn decode<'bytes>(file_name: &str, bytes: &'bytes [u8]) -> Result<&'bytes str, Problem> {
    if bytes.len() > MAX_FILE_BYTES {
        let message =
            format!("has {} bytes, more than the maximum of {MAX_FILE_BYTES}", bytes.len());
        let start = Position { line: 1, column: 1 };
        return Err(file_problem(file_name, start, message, "split it between several instances"));
    }
    std::str::from_utf8(bytes).map_err(|error| {
        let valid = std::str::from_utf8(&bytes[..error.valid_up_to()]).unwrap_or_default();
        let position = LineIndex::new(valid).position(valid.len());
        let message = "is not valid UTF-8".to_string();
        file_problem(file_name, position, message, "save it as a UTF-8 text file")
    })
}

/// Adds the first syntax error of each line to the problems of a file, in the order of the text.
/// Problems that a syntax error may have caused are dropped: text after the first error may have
/// been misread, and names may refer to text that was not parsed at all.
pub fn merge_errors(
    file_name: &str,
    text: &str,
    errors: &[Error],
    mut problems: Vec<LocatedProblem>,
) -> Vec<LocatedProblem> {
    if errors.is_empty() {
        return problems;
    }
    let starts = errors.iter().filter_map(Error::span).map(|span| span.start);
    let first_error = starts.min().unwrap_or(0);
    problems.retain(|located| {
        located.offset < first_error && located.offset > 0 && !located.is_reference
    });
    let index = LineIndex::new(text);
    let mut lines = BTreeSet::new();
    for error in errors {
        let offset = error.span().map_or(text.len(), |span| span.start);
        let position = index.position(offset);
        if lines.insert(position.line) {
            let message = error.message().lines().collect::<Vec<_>>().join(", ");
            let remedy = "see docs/config.md for the format";
            let problem = file_problem(file_name, position, message, remedy);
            problems.push(LocatedProblem { offset, is_reference: false, problem });
        }
    }
    problems.sort_by_key(|located| located.offset);
    problems
}
