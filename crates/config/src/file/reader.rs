//! Reads tables of a TOML file field by field, and notes everything that is wrong.

use crate::problem::{BrokenRule, Places, Problem};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::ops::{Range, RangeInclusive};
use std::time::Duration;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// How alike an unknown key and a known one must be to be proposed.
const ALIKE: f64 = 0.7;

/// The name that one is most like, and how alike they are, from 0 to 1.
pub fn most_alike<'k>(name: &str, known: impl Iterator<Item = &'k str>) -> Option<(&'k str, f64)> {
    known
        .map(|known| (known, strsim::jaro_winkler(name, known)))
        .max_by(|(_, a), (_, b)| a.total_cmp(b))
}

/// Reads a span of time with its unit, within bounds.
pub fn span(text: &str, bounds: &RangeInclusive<Duration>) -> Result<Duration, String> {
    let span = humantime::parse_duration(text).map_err(|e| e.to_string())?;
    if bounds.contains(&span) {
        return Ok(span);
    }
    let [least, most] = [bounds.start(), bounds.end()].map(|d| humantime::format_duration(*d));
    Err(format!("is not between {least} and {most}"))
}

/// A file that is being read.
pub struct Reader<'a> {
    name: &'a str,
    places: Places<'a>,
    problems: RefCell<Vec<(usize, Problem)>>,
    stated: RefCell<BTreeMap<String, Range<usize>>>,
    /// The keys that were asked for in each table, where that is wanted.
    known: Option<RefCell<Known>>,
}

/// Keys by table.
pub type Known = BTreeMap<String, BTreeSet<&'static str>>;

impl<'a> Reader<'a> {
    pub fn new(name: &'a str, text: &'a str) -> Self {
        Reader {
            name,
            places: Places::new(text),
            problems: RefCell::default(),
            stated: RefCell::default(),
            known: None,
        }
    }

    /// Notes what is wrong, where it stands.
    pub fn wrong(&self, span: &Range<usize>, field: &str, what: impl Display, mend: impl Display) {
        self.breaks(span, field, what, mend, None);
    }

    /// The same, with the rule that it would break.
    pub fn breaks(
        &self,
        span: &Range<usize>,
        field: &str,
        what: impl Display,
        mend: impl Display,
        rule: impl Into<Option<BrokenRule>>,
    ) {
        let (line, column) = self.places.of(span.start);
        let problem = Problem {
            file: self.name.to_string(),
            line,
            column,
            field: field.to_string(),
            what: what.to_string(),
            mend: mend.to_string(),
            rule: rule.into(),
        };
        self.problems.borrow_mut().push((span.start, problem));
    }

    pub fn line(&self, span: &Range<usize>) -> usize {
        self.places.of(span.start).0
    }

    fn state(&self, field: &str, span: &Range<usize>) {
        self.stated.borrow_mut().insert(field.to_string(), span.clone());
    }

    /// Notes the keys that are asked for as well.
    pub fn with_keys(self) -> Self {
        Reader { known: Some(RefCell::default()), ..self }
    }

    /// The keys that were asked for, if they were noted.
    pub fn known(self) -> Known {
        self.known.map(RefCell::into_inner).unwrap_or_default()
    }

    /// Where a field stands that was stated; else the file's beginning.
    pub fn span_of(&self, field: &str) -> Range<usize> {
        self.stated.borrow().get(field).cloned().unwrap_or(0..0)
    }

    /// All that was noted, in the order of the text, and what was stated where.
    pub fn finish(self) -> (Vec<(usize, Problem)>, BTreeMap<String, usize>) {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|(at, problem)| (*at, problem.what.clone()));
        let stated = self.stated.into_inner().into_iter();
        let stated = stated.map(|(field, span)| (field, self.places.of(span.start).0)).collect();
        (problems, stated)
    }
}

/// Something that was read, and where it stands.
#[derive(Debug, Clone)]
pub struct At<T> {
    pub value: T,
    pub span: Range<usize>,
    pub field: String,
}

impl<T> At<T> {
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> At<U> {
        At { value: f(self.value), span: self.span, field: self.field }
    }
}

/// A table, with the keys that have been asked for.
pub struct Table<'r, 'a> {
    pub reader: &'r Reader<'a>,
    pub field: String,
    pub span: Range<usize>,
    table: &'r DeTable<'a>,
    asked: RefCell<BTreeSet<&'static str>>,
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

impl<'r, 'a> Table<'r, 'a> {
    pub fn new(
        reader: &'r Reader<'a>,
        field: &str,
        span: Range<usize>,
        table: &'r DeTable<'a>,
    ) -> Self {
        Table { reader, field: field.to_string(), span, table, asked: RefCell::default() }
    }

    pub fn path(&self, key: &str) -> String {
        if self.field.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.field)
        }
    }

    fn value(&self, key: &'static str) -> Option<At<&'r DeValue<'a>>> {
        self.asked.borrow_mut().insert(key);
        let value = self.table.get(key)?;
        let field = self.path(key);
        self.reader.state(&field, &value.span());
        Some(At { value: value.get_ref(), span: value.span(), field })
    }

    /// Whether a key is there.
    pub fn has(&self, key: &'static str) -> bool {
        self.asked.borrow_mut().insert(key);
        self.table.get(key).is_some()
    }

    fn mismatch(&self, at: &At<&DeValue>, wanted: &str, example: &str) {
        let what = format!("is {}, not {wanted}", kind(at.value));
        self.reader.wrong(&at.span, &at.field, what, format!("write it as in {example}"));
    }

    /// A text.
    pub fn text(&self, key: &'static str) -> Option<At<&'r str>> {
        let at = self.value(key)?;
        match at.value {
            DeValue::String(text) => Some(At { value: text, span: at.span, field: at.field }),
            _ => {
                self.mismatch(&at, "a text", &format!("{key} = \"...\""));
                None
            }
        }
    }

    /// A text that is read into something else; `read` says what is wrong with it.
    pub fn parsed<T>(
        &self,
        key: &'static str,
        mend: &str,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Option<At<T>> {
        let at = self.text(key)?;
        self.parse(at, mend, read)
    }

    /// The same for a text already at hand.
    pub fn parse<T>(
        &self,
        at: At<&str>,
        mend: &str,
        read: impl Fn(&str) -> Result<T, String>,
    ) -> Option<At<T>> {
        match read(at.value) {
            Ok(value) => Some(At { value, span: at.span, field: at.field }),
            Err(what) => {
                let what = format!("'{}': {what}", at.value.escape_debug());
                self.reader.wrong(&at.span, &at.field, what, mend);
                None
            }
        }
    }

    /// A span of time with its unit, within bounds.
    pub fn duration(
        &self,
        key: &'static str,
        default: Duration,
        bounds: RangeInclusive<Duration>,
    ) -> At<Duration> {
        let read = |text: &str| span(text, &bounds);
        let mend = format!("write a span with its unit, as in {key} = \"400ms\" or \"1.5s\"");
        self.or(key, self.parsed(key, &mend, read), default)
    }

    /// A number of bytes with its unit, within bounds.
    pub fn size(
        &self,
        key: &'static str,
        default: usize,
        bounds: RangeInclusive<usize>,
    ) -> At<usize> {
        let read = |text: &str| {
            let size = text.parse::<bytesize::ByteSize>()?;
            let size = usize::try_from(size.as_u64()).unwrap_or(usize::MAX);
            let iec = |n: &usize| bytesize::ByteSize(*n as u64).display().iec().to_string();
            if bounds.contains(&size) {
                Ok(size)
            } else {
                Err(format!("is not between {} and {}", iec(bounds.start()), iec(bounds.end())))
            }
        };
        let mend = format!("write a size with its unit, as in {key} = \"64KiB\"");
        self.or(key, self.parsed(key, &mend, read), default)
    }

    fn or<T>(&self, key: &'static str, read: Option<At<T>>, default: T) -> At<T> {
        let (span, field) = (self.span.clone(), self.path(key));
        read.unwrap_or(At { value: default, span, field })
    }

    /// A number within bounds.
    pub fn number(&self, key: &'static str, default: f64, bounds: RangeInclusive<f64>) -> At<f64> {
        let read = self.value(key).and_then(|at| {
            let value = match at.value {
                DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok(),
                DeValue::Float(n) => match n.as_str().parse::<f64>() {
                    Ok(n) => return self.within(at, n, &bounds),
                    Err(_) => None,
                },
                _ => {
                    self.mismatch(&at, "a number", &format!("{key} = {default}"));
                    return None;
                }
            };
            let Some(value) = value else {
                self.reader.wrong(&at.span, &at.field, "is out of range", "write a smaller number");
                return None;
            };
            self.within(at, value as f64, &bounds)
        });
        self.or(key, read, default)
    }

    fn within(
        &self,
        at: At<&DeValue>,
        value: f64,
        bounds: &RangeInclusive<f64>,
    ) -> Option<At<f64>> {
        if bounds.contains(&value) {
            return Some(At { value, span: at.span, field: at.field });
        }
        let what = format!("{value} is not between {} and {}", bounds.start(), bounds.end());
        self.reader.wrong(&at.span, &at.field, what, "write a number between them");
        None
    }

    /// A whole number within bounds.
    pub fn whole(&self, key: &'static str, default: u32, bounds: RangeInclusive<u32>) -> At<u32> {
        let (least, most) = (f64::from(*bounds.start()), f64::from(*bounds.end()));
        let read = self.number(key, f64::from(default), least..=most);
        if read.value.fract() != 0.0 {
            let what = format!("{} is not a whole number", read.value);
            self.reader.wrong(&read.span, &read.field, what, "write it without a fraction");
        }
        read.map(|n| n as u32)
    }

    /// True or false.
    pub fn flag(&self, key: &'static str, default: bool) -> bool {
        let Some(at) = self.value(key) else { return default };
        match at.value {
            DeValue::Boolean(flag) => *flag,
            _ => {
                self.mismatch(&at, "true or false", &format!("{key} = true"));
                default
            }
        }
    }

    /// True or false, where a key that may hold other things holds that.
    pub fn plain_flag(&self, key: &'static str) -> Option<At<bool>> {
        let DeValue::Boolean(value) = self.table.get(key)?.get_ref() else { return None };
        self.value(key).map(|at| at.map(|_| *value))
    }

    /// The members of a list; one that is no list counts as a list of one, where `lone`.
    pub fn list(&self, key: &'static str, lone: bool) -> Vec<At<&'r DeValue<'a>>> {
        let Some(at) = self.value(key) else { return Vec::new() };
        match at.value {
            DeValue::Array(list) => list
                .iter()
                .enumerate()
                .map(|(n, v)| At {
                    value: v.get_ref(),
                    span: v.span(),
                    field: format!("{}[{n}]", at.field),
                })
                .collect(),
            _ if lone => vec![at],
            _ => {
                self.mismatch(&at, "a list", &format!("{key} = [...]"));
                Vec::new()
            }
        }
    }

    /// A list of texts.
    pub fn texts(&self, key: &'static str) -> Vec<At<&'r str>> {
        let text = |at: At<&'r DeValue<'a>>| match at.value {
            DeValue::String(text) => {
                Some(At { value: text.as_ref(), span: at.span, field: at.field })
            }
            _ => {
                self.mismatch(&at, "a text", &format!("{key} = [\"...\"]"));
                None
            }
        };
        self.list(key, true).into_iter().filter_map(text).collect()
    }

    /// A table under a key.
    pub fn table(&self, key: &'static str) -> Option<Table<'r, 'a>> {
        let at = self.value(key)?;
        self.as_table(at, &format!("[{}]", self.path(key)))
    }

    /// A value as a table.
    pub fn as_table(&self, at: At<&'r DeValue<'a>>, example: &str) -> Option<Table<'r, 'a>> {
        match at.value {
            DeValue::Table(table) => {
                Some(Table::new(self.reader, &at.field, at.span.clone(), table))
            }
            _ => {
                self.mismatch(&at, "a table", example);
                None
            }
        }
    }

    /// The tables of a list of tables.
    pub fn tables(&self, key: &'static str) -> Vec<Table<'r, 'a>> {
        let example = format!("[[{}]]", self.path(key));
        self.list(key, true).into_iter().filter_map(|at| self.as_table(at, &example)).collect()
    }

    /// All members, for a table whose keys are names.
    pub fn members(&self) -> Vec<(At<&'r str>, At<&'r DeValue<'a>>)> {
        let member = |(key, value): (&'r Spanned<_>, &'r Spanned<DeValue<'a>>)| {
            let name: &'r std::borrow::Cow<'a, str> = key.get_ref();
            let name: &'r str = name.as_ref();
            let field = self.path(name);
            self.reader.state(&field, &key.span());
            let value = At { value: value.get_ref(), span: key.span(), field: field.clone() };
            (At { value: name, span: key.span(), field }, value)
        };
        self.table.iter().map(member).collect()
    }

    /// Notes every key that nobody asked for, with the known one that it is most like.
    pub fn finish(self) {
        let asked = self.asked.borrow();
        if let Some(known) = &self.reader.known {
            known.borrow_mut().insert(self.field.clone(), asked.clone());
        }
        for (key, _) in self.table.iter() {
            let name: &str = key.get_ref();
            if asked.contains(name) {
                continue;
            }
            let best = most_alike(name, asked.iter().copied());
            let mend = match best.filter(|(_, alike)| *alike >= ALIKE) {
                Some((best, _)) => format!("did you mean '{best}'?"),
                None => {
                    let known: Vec<&str> = asked.iter().copied().collect();
                    format!("known here: {}", known.join(", "))
                }
            };
            self.reader.wrong(&key.span(), &self.path(name), "is not a known key", mend);
        }
    }
}
