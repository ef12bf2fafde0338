//! Typed access to the fields of a TOML table; what has the wrong type or value is reported.

use super::reader::{Located, Place, Reader};
use super::value::{most_similar, parse_duration, parse_size};
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// How similar an unknown key and a known one must be for the known one to be proposed.
const MIN_SIMILARITY: f64 = 0.7;

/// A table, with the keys that have been requested.
pub struct Table<'reader, 'text> {
    pub reader: &'reader Reader<'text>,
    pub place: Place,
    table: &'reader DeTable<'text>,
    requested: RefCell<BTreeSet<&'static str>>,
}

/// A member of a table whose keys are names. Both places are that of the key.
pub struct Member<'reader, 'text> {
    pub name: Located<&'reader str>,
    pub value: Located<&'reader DeValue<'text>>,
}

fn kind(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "a text",
        DeValue::Integer(_) => "a whole number",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "true or false",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "a list",
        DeValue::Table(_) => "a table",
    }
}

impl<'reader, 'text> Table<'reader, 'text> {
    /// The table of the whole file.
    pub fn top(reader: &'reader Reader<'text>, table: &'reader DeTable<'text>) -> Self {
        Self::new(reader, Place::default(), table)
    }

    fn new(reader: &'reader Reader<'text>, place: Place, table: &'reader DeTable<'text>) -> Self {
        Table { reader, place, table, requested: RefCell::default() }
    }

    /// The path of a field.
    pub fn path(&self, key: &str) -> String {
        if self.place.field.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.place.field)
        }
    }

    /// The place of a field that is absent: that of the table.
    pub fn place_of(&self, key: &str) -> Place {
        Place { span: self.place.span.clone(), field: self.path(key) }
    }

    fn request(&self, key: &'static str) -> Option<&'reader Spanned<DeValue<'text>>> {
        self.requested.borrow_mut().insert(key);
        self.table.get(key)
    }

    fn value(&self, key: &'static str) -> Option<Located<&'reader DeValue<'text>>> {
        let value = self.request(key)?;
        let place = Place { span: value.span(), field: self.path(key) };
        self.reader.note_stated(&place);
        Some(Located { value: value.get_ref(), place })
    }

    /// Whether a key is there.
    pub fn has(&self, key: &'static str) -> bool {
        self.request(key).is_some()
    }

    fn report_mismatch(&self, at: &Located<&DeValue>, expected: &str, example: &str) {
        let message = format!("is {}, not {expected}", kind(at.value));
        self.reader.report(&at.place, message, format!("write it as in {example}"));
    }

    /// The value of a field, or the default with the place of the table.
    fn or_default<T>(&self, key: &str, value: Option<Located<T>>, default: T) -> Located<T> {
        value.unwrap_or_else(|| Located { value: default, place: self.place_of(key) })
    }

    /// A text.
    pub fn text(&self, key: &'static str) -> Option<Located<&'reader str>> {
        self.as_text(self.value(key)?, &format!("{key} = \"...\""))
    }

    fn as_text(
        &self,
        at: Located<&'reader DeValue<'text>>,
        example: &str,
    ) -> Option<Located<&'reader str>> {
        match at.value {
            DeValue::String(text) => Some(Located { value: text.as_ref(), place: at.place }),
            _ => {
                self.report_mismatch(&at, "a text", example);
                None
            }
        }
    }

    /// A text that is parsed into something else.
    pub fn parsed<T, E: Display>(
        &self,
        key: &'static str,
        remedy: &str,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<Located<T>> {
        let at = self.text(key)?;
        self.parse(at, remedy, parse)
    }

    /// The same for a text that was read before.
    pub fn parse<T, E: Display>(
        &self,
        at: Located<&str>,
        remedy: &str,
        parse: impl Fn(&str) -> Result<T, E>,
    ) -> Option<Located<T>> {
        match parse(at.value) {
            Ok(value) => Some(Located { value, place: at.place }),
            Err(error) => {
                let message = format!("'{}': {error}", at.value.escape_debug());
                self.reader.report(&at.place, message, remedy);
                None
            }
        }
    }

    /// A duration with its unit, within bounds.
    pub fn duration(
        &self,
        key: &'static str,
        default: Duration,
        bounds: RangeInclusive<Duration>,
    ) -> Located<Duration> {
        let remedy = format!("write a span with its unit, as in {key} = \"400ms\" or \"1.5s\"");
        let value = self.parsed(key, &remedy, |text| parse_duration(text, &bounds));
        self.or_default(key, value, default)
    }

    /// The same, where an absent field has no value. One with an error has the upper bound.
    pub fn optional_duration(
        &self,
        key: &'static str,
        bounds: RangeInclusive<Duration>,
    ) -> Option<Located<Duration>> {
        self.has(key).then(|| self.duration(key, *bounds.end(), bounds))
    }

    /// A number of bytes with its unit, within bounds.
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

    /// A number within bounds.
    pub fn number(
        &self,
        key: &'static str,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> Located<f64> {
        let value = self.value(key).and_then(|at| self.as_number(at, key, default, &bounds));
        self.or_default(key, value, default)
    }

    fn as_number(
        &self,
        at: Located<&DeValue>,
        key: &str,
        default: f64,
        bounds: &RangeInclusive<f64>,
    ) -> Option<Located<f64>> {
        let value = match at.value {
            DeValue::Integer(number) => {
                let integer = i64::from_str_radix(number.as_str(), number.radix());
                integer.ok().map(|integer| integer as f64)
            }
            DeValue::Float(number) => number.as_str().parse::<f64>().ok(),
            _ => {
                self.report_mismatch(&at, "a number", &format!("{key} = {default}"));
                return None;
            }
        };
        let Some(value) = value else {
            self.reader.report(&at.place, "is out of range", "write a smaller number");
            return None;
        };
        if bounds.contains(&value) {
            return Some(Located { value, place: at.place });
        }
        let message = format!("{value} is not between {} and {}", bounds.start(), bounds.end());
        self.reader.report(&at.place, message, "write a number between them");
        None
    }

    /// A whole number within bounds.
    pub fn integer(
        &self,
        key: &'static str,
        default: u32,
        bounds: RangeInclusive<u32>,
    ) -> Located<u32> {
        let bounds = f64::from(*bounds.start())..=f64::from(*bounds.end());
        let number = self.number(key, f64::from(default), bounds);
        if number.value.fract() != 0.0 {
            let message = format!("{} is not a whole number", number.value);
            self.reader.report(&number.place, message, "write it without a fraction");
        }
        number.map(|number| number as u32)
    }

    /// The same, where an absent field has no value. One with an error has the example's.
    pub fn optional_integer(
        &self,
        key: &'static str,
        example: u32,
        bounds: RangeInclusive<u32>,
    ) -> Option<Located<u32>> {
        self.has(key).then(|| self.integer(key, example, bounds))
    }

    /// True or false.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        let Some(at) = self.value(key) else { return default };
        match at.value {
            DeValue::Boolean(flag) => *flag,
            _ => {
                self.report_mismatch(&at, "true or false", &format!("{key} = true"));
                default
            }
        }
    }

    /// True or false, where the key may have a value of another type, too.
    pub fn flag_if_boolean(&self, key: &'static str) -> Option<Located<bool>> {
        let DeValue::Boolean(flag) = self.table.get(key)?.get_ref() else { return None };
        self.value(key).map(|at| at.map(|_| *flag))
    }

    /// The members of a list.
    pub fn list(&self, key: &'static str) -> Vec<Located<&'reader DeValue<'text>>> {
        let Some(at) = self.value(key) else { return Vec::new() };
        elements(&at).unwrap_or_else(|| {
            self.report_mismatch(&at, "a list", &format!("{key} = [...]"));
            Vec::new()
        })
    }

    /// The members of a list, or a lone value as the only one.
    pub fn one_or_many(&self, key: &'static str) -> Vec<Located<&'reader DeValue<'text>>> {
        let Some(at) = self.value(key) else { return Vec::new() };
        elements(&at).unwrap_or_else(|| vec![at])
    }

    /// A text, or a list of texts.
    pub fn texts(&self, key: &'static str) -> Vec<Located<&'reader str>> {
        let example = format!("{key} = [\"...\"]");
        let values = self.one_or_many(key).into_iter();
        values.filter_map(|at| self.as_text(at, &example)).collect()
    }

    /// A table under a key.
    pub fn table(&self, key: &'static str) -> Option<Table<'reader, 'text>> {
        let at = self.value(key)?;
        self.as_table(at, &format!("[{}]", self.path(key)))
    }

    /// A value as a table.
    pub fn as_table(
        &self,
        at: Located<&'reader DeValue<'text>>,
        example: &str,
    ) -> Option<Table<'reader, 'text>> {
        match at.value {
            DeValue::Table(table) => Some(Table::new(self.reader, at.place, table)),
            _ => {
                self.report_mismatch(&at, "a table", example);
                None
            }
        }
    }

    /// A table, or a list of tables.
    pub fn tables(&self, key: &'static str) -> Vec<Table<'reader, 'text>> {
        let example = format!("[[{}]]", self.path(key));
        let values = self.one_or_many(key).into_iter();
        values.filter_map(|at| self.as_table(at, &example)).collect()
    }

    /// All members, for a table whose keys are names.
    pub fn members(&self) -> Vec<Member<'reader, 'text>> {
        let member = |(key, value): (&'reader Spanned<_>, &'reader Spanned<DeValue<'text>>)| {
            let name: &'reader Cow<'text, str> = key.get_ref();
            let place = Place { span: key.span(), field: self.path(name) };
            self.reader.note_stated(&place);
            Member {
                name: Located { value: name.as_ref(), place: place.clone() },
                value: Located { value: value.get_ref(), place },
            }
        };
        self.table.iter().map(member).collect()
    }

    /// Reports every key that was never requested, with the known one that is most similar.
    pub fn finish(self) {
        let known = self.requested.borrow();
        self.reader.note_known_keys(&self.place.field, &known);
        for (key, _) in self.table.iter() {
            let name: &str = key.get_ref();
            if known.contains(name) {
                continue;
            }
            let similar = most_similar(name, known.iter().copied());
            let remedy = match similar.filter(|known| known.similarity >= MIN_SIMILARITY) {
                Some(known) => format!("did you mean '{}'?", known.name),
                None => {
                    let known: Vec<&str> = known.iter().copied().collect();
                    format!("known here: {}", known.join(", "))
                }
            };
            let place = Place { span: key.span(), field: self.path(name) };
            self.reader.report(&place, "is not a known key", remedy);
        }
    }
}

/// The elements of a list; none for a value of another type.
fn elements<'reader, 'text>(
    at: &Located<&'reader DeValue<'text>>,
) -> Option<Vec<Located<&'reader DeValue<'text>>>> {
    let DeValue::Array(list) = at.value else { return None };
    let element = |(index, value): (usize, &'reader Spanned<DeValue<'text>>)| Located {
        value: value.get_ref(),
        place: Place { span: value.span(), field: format!("{}[{index}]", at.place.field) },
    };
    Some(list.iter().enumerate().map(element).collect())
}
