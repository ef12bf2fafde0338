//! Parses the fields of a line.

use super::error::{WireError, WireErrorKind};
use super::vocabulary::ABSENT;
use std::str::FromStr;

/// A cursor over the fields of a line. Each method takes the name of the field for errors.
pub(super) struct Fields<'a> {
    line: u64,
    remaining: Option<&'a str>,
}

impl<'a> Fields<'a> {
    pub(super) fn new(line: u64, text: &'a str) -> Self {
        Fields { line, remaining: Some(text) }
    }

    pub(super) fn error(&self, field: &str, kind: WireErrorKind) -> WireError {
        WireError { line: self.line, field: field.to_string(), kind }
    }

    /// Reads the rest of the line.
    pub(super) fn rest_of_line(&mut self, field: &str) -> Result<&'a str, WireError> {
        self.remaining.take().ok_or_else(|| self.error(field, WireErrorKind::Missing))
    }

    /// Reads the next field, up to a space or the end of the line; `field` names it in errors.
    pub(super) fn next_word(&mut self, field: &str) -> Result<&'a str, WireError> {
        let text = self.rest_of_line(field)?;
        let (word, remaining) = match text.split_once(' ') {
            Some((word, remaining)) => (word, Some(remaining)),
            None => (text, None),
        };
        self.remaining = remaining;
        if word.is_empty() {
            return Err(self.error(field, WireErrorKind::Empty));
        }
        Ok(word)
    }

    /// Reads a field that may be [`ABSENT`].
    pub(super) fn optional(&mut self, field: &str) -> Result<Option<&'a str>, WireError> {
        self.next_word(field).map(|word| (word != ABSENT).then_some(word))
    }

    pub(super) fn parse<T: FromStr>(&self, field: &str, word: &str) -> Result<T, WireError> {
        word.parse().map_err(|_| self.error(field, WireErrorKind::NotANumber(word.to_string())))
    }

    pub(super) fn number<T: FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        let word = self.next_word(field)?;
        self.parse(field, word)
    }

    pub(super) fn number_or<T: FromStr>(&mut self, field: &str, absent: T) -> Result<T, WireError> {
        match self.optional(field)? {
            Some(word) => self.parse(field, word),
            None => Ok(absent),
        }
    }

    pub(super) fn finite(&mut self, field: &str) -> Result<f64, WireError> {
        let word = self.next_word(field)?;
        self.parse_finite(field, word)
    }

    fn parse_finite(&self, field: &str, word: &str) -> Result<f64, WireError> {
        let value: f64 = self.parse(field, word)?;
        if !value.is_finite() {
            return Err(self.error(field, WireErrorKind::NotFinite(word.to_string())));
        }
        Ok(value)
    }

    /// Reads a field that has one of several names as its value.
    pub(super) fn choice<T: Copy>(
        &mut self,
        field: &str,
        choices: &[(&str, T)],
    ) -> Result<T, WireError> {
        let word = self.next_word(field)?;
        let chosen = choices.iter().find(|(name, _)| *name == word).map(|(_, value)| *value);
        chosen.ok_or_else(|| {
            let names: Vec<String> = choices.iter().map(|(name, _)| format!("'{name}'")).collect();
            let (value, expected) = (word.to_string(), names.join(", "));
            self.error(field, WireErrorKind::UnknownChoice { value, expected })
        })
    }

    /// Reads a load report: comma-separated finite numbers.
    pub(super) fn load_report(&mut self, field: &str) -> Result<Option<Vec<f64>>, WireError> {
        let Some(word) = self.optional(field)? else { return Ok(None) };
        let values = word.split(',').map(|value| self.parse_finite(field, value));
        values.collect::<Result<Vec<_>, _>>().map(Some)
    }

    /// Reads a key in hex digits.
    pub(super) fn key(&mut self, field: &str) -> Result<Option<u64>, WireError> {
        let Some(word) = self.optional(field)? else { return Ok(None) };
        let key = u64::from_str_radix(word, 16);
        key.map(Some).map_err(|_| self.error(field, WireErrorKind::NotAKey(word.to_string())))
    }

    /// Reads bytes encoded as hex digits.
    pub(super) fn bytes(&mut self, field: &str) -> Result<Vec<u8>, WireError> {
        let Some(word) = self.optional(field)? else { return Ok(Vec::new()) };
        if !word.is_ascii() || word.len() % 2 != 0 {
            return Err(self.error(field, WireErrorKind::NotBytes));
        }
        let pairs = (0..word.len()).step_by(2).map(|start| &word[start..start + 2]);
        let bytes = pairs.map(|digits| u8::from_str_radix(digits, 16));
        bytes.collect::<Result<_, _>>().map_err(|_| self.error(field, WireErrorKind::NotHex))
    }

    /// Checks that the line ends after the last field of a message.
    pub(super) fn end(&self, message: &str) -> Result<(), WireError> {
        match self.remaining {
            None => Ok(()),
            Some(extra) => Err(self.error(message, WireErrorKind::ExtraFields(extra.to_string()))),
        }
    }
}
