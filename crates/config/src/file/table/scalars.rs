//! Typed access to fields whose values are strings, numbers, durations, sizes or booleans.

use super::Table;
use crate::convert::truncate_to_u32;
use crate::file::reader::Located;
use crate::file::value::{parse_duration, parse_size};
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::de::DeValue;

impl<'reader, 'text> Table<'reader, 'text> {
    /// Returns the string under a key; `None` if the key is absent or its value is of another type.
    pub fn text(&self, key: &'static str) -> Option<Located<&'reader str>> {
        self.as_text(self.value(key)?, &format!("{key} = \"...\""))
    }

    pub(super) fn as_text(
        &self,
        located: Located<&'reader DeValue<'text>>,
        example: &str,
    ) -> Option<Located<&'reader str>> {
        if let DeValue::String(text) = located.value {
            return Some(Located { value: text.as_ref(), location: located.location });
        }
        self.report_mismatch(&located, "a string", example);
        None
    }

    /// Returns the string under a key, parsed into another type; `None` if it is absent or invalid.
    pub fn parsed<T, E: Display>(
        &self,
        key: &'static str,
        remedy: &str,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<Located<T>> {
        let located = self.text(key)?;
        self.parse(located, remedy, parse)
    }

    /// Parses a string that was read before.
    pub fn parse<T, E: Display>(
        &self,
        located: Located<&str>,
        remedy: &str,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<Located<T>> {
        match parse(located.value) {
            Ok(value) => Some(Located { value, location: located.location }),
            Err(error) => {
                let message = format!("'{}': {error}", located.value.escape_debug());
                self.reader.report(&located.location, message, remedy);
                None
            }
        }
    }

    /// Returns the duration under a key, within `bounds`; `default` if it is absent or invalid.
    pub fn duration(
        &self,
        key: &'static str,
        default: Duration,
        bounds: RangeInclusive<Duration>,
    ) -> Located<Duration> {
        let remedy = format!("write a duration with its unit, as in {key} = \"400ms\" or \"1.5s\"");
        let value = self.parsed(key, &remedy, |text| parse_duration(text, &bounds));
        self.or_default(key, value, default)
    }

    /// Returns an optional duration; `None` if the field is absent. An invalid value is replaced by
    /// the upper bound.
    pub fn optional_duration(
        &self,
        key: &'static str,
        bounds: RangeInclusive<Duration>,
    ) -> Option<Located<Duration>> {
        self.has(key).then(|| self.duration(key, *bounds.end(), bounds))
    }

    /// Returns the size under a key, in bytes, within `bounds`; `default` if it is absent or
    /// invalid.
    pub fn size(
        &self,
        key: &'static str,
        default: usize,
        bounds: RangeInclusive<usize>,
    ) -> Located<usize> {
        let remedy = format!("write a size with its unit, as in {key} = \"64KiB\"");
        let value = self.parsed(key, &remedy, |text| parse_size(text, &bounds));
        self.or_default(key, value, default)
    }

    /// Returns the number under a key, within `bounds`; `default` if it is absent or invalid.
    pub fn number(
        &self,
        key: &'static str,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> Located<f64> {
        let value =
            self.value(key).and_then(|located| self.as_number(located, key, default, &bounds));
        self.or_default(key, value, default)
    }

    fn as_number(
        &self,
        located: Located<&DeValue>,
        key: &str,
        default: f64,
        bounds: &RangeInclusive<f64>,
    ) -> Option<Located<f64>> {
        let value = match located.value {
            DeValue::Integer(number) => {
                let integer = i64::from_str_radix(number.as_str(), number.radix());
                integer.ok().map(|integer| integer as f64)
            }
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            _ => {
                self.report_mismatch(&located, "a number", &format!("{key} = {default}"));
                return None;
            }
        };
        let Some(value) = value else {
            self.reader.report(&located.location, "is out of range", "write a smaller number");
            return None;
        };
        if bounds.contains(&value) {
            return Some(Located { value, location: located.location });
        }
        let message = format!("{value} is not between {} and {}", bounds.start(), bounds.end());
        self.reader.report(&located.location, message, "write a number in this range");
        None
    }

    /// Returns the integer under a key, within `bounds`; `default` if it is absent or invalid.
    pub fn integer(
        &self,
        key: &'static str,
        default: u32,
        bounds: RangeInclusive<u32>,
    ) -> Located<u32> {
        let bounds = f64::from(*bounds.start())..=f64::from(*bounds.end());
        let number = self.number(key, f64::from(default), bounds);
        if number.value.fract() != 0.0 {
            let message = format!("{} is not an integer", number.value);
            self.reader.report(&number.location, message, "write it without a fraction");
        }
        number.map(truncate_to_u32)
    }

    /// Returns an optional integer; `None` if the field is absent. An invalid value is replaced by
    /// `example`.
    pub fn optional_integer(
        &self,
        key: &'static str,
        example: u32,
        bounds: RangeInclusive<u32>,
    ) -> Option<Located<u32>> {
        self.has(key).then(|| self.integer(key, example, bounds))
    }

    /// Returns the boolean under a key; `default` if the key is absent or its value is of another
    /// type.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        let Some(located) = self.value(key) else { return default };
        if let DeValue::Boolean(flag) = located.value {
            return *flag;
        }
        self.report_mismatch(&located, "a boolean", &format!("{key} = true"));
        default
    }

    /// Returns a boolean; `None` if the value is absent or of another type, which the key also
    /// allows.
    pub fn flag_if_boolean(&self, key: &'static str) -> Option<Located<bool>> {
        let DeValue::Boolean(flag) = self.table.get(key)?.get_ref() else { return None };
        self.value(key).map(|located| located.map(|_| *flag))
    }
}
