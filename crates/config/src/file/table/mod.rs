//! Typed access to the fields of a TOML table. A field with the wrong type or value is reported.

mod lists;
mod scalars;

use super::reader::{Located, Location, Reader};
use super::value::most_similar;
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeSet;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// The least similarity at which a known key is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// A table that records which keys were requested, to report unknown ones.
pub struct Table<'reader, 'text> {
    pub reader: &'reader Reader<'text>,
    pub location: Location,
    table: &'reader DeTable<'text>,
    requested: RefCell<BTreeSet<&'static str>>,
}

/// An entry of a table whose keys are names. Both locations are those of the key.
pub struct Member<'reader, 'text> {
    pub name: Located<&'reader str>,
    pub value: Located<&'reader DeValue<'text>>,
}

/// Returns the TOML type of a value, for messages.
fn type_name(value: &DeValue) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an integer",
        DeValue::Float(_) => "a number",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}

impl<'reader, 'text> Table<'reader, 'text> {
    /// The root table of the file.
    pub fn root(reader: &'reader Reader<'text>, table: &'reader DeTable<'text>) -> Self {
        Self::new(reader, Location::default(), table)
    }

    fn new(
        reader: &'reader Reader<'text>,
        location: Location,
        table: &'reader DeTable<'text>,
    ) -> Self {
        Table { reader, location, table, requested: RefCell::default() }
    }

    /// Returns the path of a field.
    pub fn path(&self, key: &str) -> String {
        if self.location.field.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.location.field)
        }
    }

    /// Returns the location of an absent field, which is that of the table.
    pub fn location_of(&self, key: &str) -> Location {
        Location { span: self.location.span.clone(), field: self.path(key) }
    }

    fn request(&self, key: &'static str) -> Option<&'reader Spanned<DeValue<'text>>> {
        self.requested.borrow_mut().insert(key);
        self.table.get(key)
    }

    fn value(&self, key: &'static str) -> Option<Located<&'reader DeValue<'text>>> {
        let value = self.request(key)?;
        let location = Location { span: value.span(), field: self.path(key) };
        self.reader.record_explicit(&location);
        Some(Located { value: value.get_ref(), location })
    }

    /// Returns whether the table has a key.
    pub fn has(&self, key: &'static str) -> bool {
        self.request(key).is_some()
    }

    fn report_mismatch(&self, located: &Located<&DeValue>, expected: &str, example: &str) {
        let message = format!("is {}, not {expected}", type_name(located.value));
        self.reader.report(&located.location, message, format!("write it as in {example}"));
    }

    /// Returns the value of a field; if absent, the default with the location of the table.
    fn or_default<T>(&self, key: &str, value: Option<Located<T>>, default: T) -> Located<T> {
        value.unwrap_or_else(|| Located { value: default, location: self.location_of(key) })
    }

    /// Returns all entries of a table whose keys are names.
    pub fn members(&self) -> Vec<Member<'reader, 'text>> {
        let member = |(key, value): (&'reader Spanned<_>, &'reader Spanned<DeValue<'text>>)| {
            let name: &'reader Cow<'text, str> = key.get_ref();
            let location = Location { span: key.span(), field: self.path(name) };
            self.reader.record_explicit(&location);
            Member {
                name: Located { value: name.as_ref(), location: location.clone() },
                value: Located { value: value.get_ref(), location },
            }
        };
        self.table.iter().map(member).collect()
    }

    /// Reports every key that was never requested, with a suggestion.
    pub fn finish(self) {
        let known = self.requested.borrow();
        self.reader.record_known_keys(&self.location.field, &known);
        for (key, _) in self.table {
            let name: &str = key.get_ref();
            if !known.contains(name) {
                let location = Location { span: key.span(), field: self.path(name) };
                self.reader.report(
                    &location,
                    "is not a known key",
                    unknown_key_remedy(name, &known),
                );
            }
        }
    }
}

/// Suggests the most similar known key, or lists all known keys if none is similar.
fn unknown_key_remedy(name: &str, known: &BTreeSet<&'static str>) -> String {
    let similar = most_similar(name, known.iter().copied());
    if let Some(similar) = similar.filter(|similar| similar.similarity >= MIN_SIMILARITY) {
        return format!("did you mean '{}'?", similar.name);
    }
    let known: Vec<&str> = known.iter().copied().collect();
    format!("known here: {}", known.join(", "))
}
