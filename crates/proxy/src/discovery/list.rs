//! Parser of endpoint lists, also of truncated ones. The JSON keys are defined in `protocol.rs`.

use super::protocol::{EndpointEntry, ENTRIES, HAS_ALL_ENDPOINTS, REVISION};
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;
use std::marker::PhantomData;

/// The part of a list that could be parsed. It borrows from the response body.
#[derive(Debug, Default, PartialEq)]
pub struct EndpointList<'a> {
    /// The revision of the list; `None` if the revision was not parsed.
    pub revision: Option<u64>,
    /// Whether the list has all endpoints, not only the changed ones.
    pub has_all_endpoints: bool,
    /// Whether the list was parsed to its end and has a revision and entries.
    pub is_well_formed: bool,
    pub(super) entries: Option<Vec<EndpointEntry<'a>>>,
}

impl<'a> EndpointList<'a> {
    /// Parses a response body. Keeps everything that precedes a syntax error, and skips malformed
    /// entries.
    #[must_use]
    pub fn parse(body: &'a [u8]) -> Self {
        let list = Self::parse_entries::<EndpointEntry>(body);
        if list.is_well_formed {
            return list;
        }
        // Slower: delimits each entry before parsing it, so that a malformed one can be skipped.
        Self::parse_entries::<UnvalidatedEntry>(body)
    }

    fn parse_entries<E: ListElement<'a>>(body: &'a [u8]) -> Self {
        let mut list = EndpointList::default();
        let mut json = serde_json::Deserializer::from_slice(body);
        let seed = ListSeed { list: &mut list, element: PhantomData::<E> };
        let parsed = seed.deserialize(&mut json).and_then(|()| json.end());
        list.is_well_formed = parsed.is_ok() && list.revision.is_some() && list.entries.is_some();
        list
    }
}

/// The type as which an element of a list's entries is parsed.
trait ListElement<'a>: Deserialize<'a> {
    /// Returns the entry, if it is well formed.
    fn entry(self) -> Option<EndpointEntry<'a>>;
}

impl<'a> ListElement<'a> for EndpointEntry<'a> {
    fn entry(self) -> Option<EndpointEntry<'a>> {
        Some(self)
    }
}

/// An entry that is valid JSON but may be malformed.
#[derive(Deserialize)]
#[serde(transparent)]
struct UnvalidatedEntry<'a>(#[serde(borrow)] &'a RawValue);

impl<'a> ListElement<'a> for UnvalidatedEntry<'a> {
    fn entry(self) -> Option<EndpointEntry<'a>> {
        serde_json::from_str(self.0.get()).ok()
    }
}

/// Parses a list in place, so that everything that precedes an error is kept.
struct ListSeed<'list, 'a, E> {
    list: &'list mut EndpointList<'a>,
    element: PhantomData<E>,
}

impl<'de, E: ListElement<'de>> DeserializeSeed<'de> for ListSeed<'_, 'de, E> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_map(self)
    }
}

impl<'de, E: ListElement<'de>> Visitor<'de> for ListSeed<'_, 'de, E> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object with the keys `rev` and `targets`")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<Cow<'de, str>>()? {
            match key.as_ref() {
                REVISION => self.list.revision = Some(map.next_value()?),
                HAS_ALL_ENDPOINTS => self.list.has_all_endpoints = map.next_value()?,
                ENTRIES => {
                    let entries = self.list.entries.insert(Vec::new());
                    map.next_value_seed(EntriesSeed { entries, element: self.element })?;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}

/// Parses the entries in place, so that those that precede an error are kept.
struct EntriesSeed<'list, 'a, E> {
    entries: &'list mut Vec<EndpointEntry<'a>>,
    element: PhantomData<E>,
}

impl<'de, E: ListElement<'de>> DeserializeSeed<'de> for EntriesSeed<'_, 'de, E> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_seq(self)
    }
}

impl<'de, E: ListElement<'de>> Visitor<'de> for EntriesSeed<'_, 'de, E> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an array of targets")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while let Some(element) = seq.next_element::<E>()? {
            self.entries.extend(element.entry());
        }
        Ok(())
    }
}
