//! Typed access to fields whose values are arrays or tables.

use super::Table;
use crate::file::reader::{Located, Location};
use toml::de::DeValue;
use toml::Spanned;

impl<'reader, 'text> Table<'reader, 'text> {
    /// Returns the elements of an array; empty if the key is absent.
    pub fn list(&self, key: &'static str) -> Vec<Located<&'reader DeValue<'text>>> {
        let Some(located) = self.value(key) else { return Vec::new() };
        elements(&located).unwrap_or_else(|| {
            self.report_mismatch(&located, "an array", &format!("{key} = [...]"));
            Vec::new()
        })
    }

    /// Returns the elements of an array, or a single value as the only element; empty if the key is
    /// absent.
    pub fn one_or_many(&self, key: &'static str) -> Vec<Located<&'reader DeValue<'text>>> {
        let Some(located) = self.value(key) else { return Vec::new() };
        elements(&located).unwrap_or_else(|| vec![located])
    }

    /// Returns the elements of an array of strings, or a single string as the only element.
    pub fn texts(&self, key: &'static str) -> Vec<Located<&'reader str>> {
        let example = format!("{key} = [\"...\"]");
        let values = self.one_or_many(key).into_iter();
        values.filter_map(|located| self.as_text(located, &example)).collect()
    }

    /// Returns the table under a key; `None` if it is absent or not a table.
    pub fn table(&self, key: &'static str) -> Option<Table<'reader, 'text>> {
        let located = self.value(key)?;
        self.as_table(located, &format!("[{}]", self.path(key)))
    }

    /// Returns a value as a table; `None`, with a report, for a value of another type.
    pub fn as_table(
        &self,
        located: Located<&'reader DeValue<'text>>,
        example: &str,
    ) -> Option<Table<'reader, 'text>> {
        if let DeValue::Table(table) = located.value {
            return Some(Table::new(self.reader, located.location, table));
        }
        self.report_mismatch(&located, "a table", example);
        None
    }

    /// Returns the elements of an array of tables, or a single table as the only element.
    pub fn tables(&self, key: &'static str) -> Vec<Table<'reader, 'text>> {
        let example = format!("[[{}]]", self.path(key));
        let values = self.one_or_many(key).into_iter();
        values.filter_map(|located| self.as_table(located, &example)).collect()
    }
}

/// Returns the elements of an array; `None` for a value of another type.
fn elements<'reader, 'text>(
    located: &Located<&'reader DeValue<'text>>,
) -> Option<Vec<Located<&'reader DeValue<'text>>>> {
    let DeValue::Array(list) = located.value else { return None };
    let element = |(index, value): (usize, &'reader Spanned<DeValue<'text>>)| Located {
        value: value.get_ref(),
        location: Location {
            span: value.span(),
            field: format!("{}[{index}]", located.location.field),
        },
    };
    Some(list.iter().enumerate().map(element).collect())
}
