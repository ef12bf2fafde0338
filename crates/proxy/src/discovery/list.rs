//! Lists as discovery writes them, and what the servers in them are called here.

use crate::clock::nanos;
use crate::endpoints::{number, Endpoints};
use mintshelf_balancer::api::{EndpointState, ListKind, ListedServer};
use mintshelf_config::platform::Names;
use mintshelf_discovery::revision::{Revision, Verdict};
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// One entry of a list, in discovery's form.
#[derive(Debug, Clone, PartialEq, Deserialize)]
struct Entry {
    uid: String,
    endpoint: SocketAddr,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u32,
    state: State,
    #[serde(default = "one")]
    capacity_hint: f64,
    #[serde(default)]
    boot_ms: u64,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum State {
    Serving,
    Draining,
    Deleted,
}

/// A list as far as it came.
#[derive(Debug, Default, PartialEq)]
pub struct List {
    /// Its revision.
    pub rev: Option<u64>,
    /// It is complete.
    pub all: bool,
    /// It can be read to its end, and has all that a list has.
    pub well_formed: bool,
    targets: Option<Vec<Entry>>,
}

/// Reads a list into place, so that what was read before an error stays.
struct ReadList<'a>(&'a mut List);

impl<'de> DeserializeSeed<'de> for ReadList<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ReadList<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of targets")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "rev" => self.0.rev = Some(map.next_value()?),
                "all" => self.0.all = map.next_value()?,
                "targets" => map.next_value_seed(ReadTargets(self.0.targets.insert(Vec::new())))?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}

struct ReadTargets<'a>(&'a mut Vec<Entry>);

impl<'de> DeserializeSeed<'de> for ReadTargets<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, json: D) -> Result<(), D::Error> {
        json.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for ReadTargets<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("targets")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        // An entry that cannot be read is left out; the others still hold.
        while let Some(value) = seq.next_element::<serde_json::Value>()? {
            self.0.extend(Entry::deserialize(value).ok());
        }
        Ok(())
    }
}

/// Reads an answer, as far as it can be read.
pub fn read_list(text: &[u8]) -> List {
    let mut list = List::default();
    let mut json = serde_json::Deserializer::from_slice(text);
    let read = ReadList(&mut list).deserialize(&mut json).and_then(|()| json.end()).is_ok();
    list.well_formed = read && list.rev.is_some() && list.targets.is_some();
    list
}

/// The place of a name in the settings; for an unknown one, a number past them all.
fn place(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|n| n == name);
    known.map_or_else(|| number(name) | 1 << 31, |at| at as u32)
}

/// Reads lists into the module's numbers and the servers' addresses.
#[derive(Debug)]
pub struct Fleet {
    names: Names,
    addresses: Endpoints,
    revision: Revision,
}

impl Fleet {
    /// Knows no server; the addresses of those it will know go to `addresses`.
    pub fn new(names: Names, addresses: Endpoints) -> Self {
        Fleet { names, addresses, revision: Revision::default() }
    }

    fn listed(&self, entry: &Entry) -> ListedServer {
        ListedServer {
            id: number(&entry.uid),
            zone: place(&self.names.zones, &entry.az),
            kind: place(&self.names.kinds, &entry.model),
            cell: entry.pod_group,
            condition: match entry.state {
                State::Serving => EndpointState::Live,
                State::Draining => EndpointState::Draining,
                State::Deleted => EndpointState::Gone,
            },
            size: entry.capacity_hint,
            started_at: nanos(Duration::from_millis(entry.boot_ms)),
        }
    }

    /// Takes over what was read of an answer; `ended`: its end came. Back comes what it says.
    pub fn take(&mut self, list: List, ended: bool) -> (ListKind, Vec<ListedServer>) {
        // Danger: of a malformed answer nothing is believed, but one cut short is
        // true as far as it came.
        let targets = if list.well_formed || !ended { list.targets } else { None };
        let (whole, targets) = (list.well_formed && ended, targets.unwrap_or_default());
        let full = whole && list.all;
        if full {
            self.addresses.clear();
        }
        for entry in &targets {
            match entry.state {
                State::Deleted => self.addresses.remove(number(&entry.uid)),
                _ => self.addresses.insert(number(&entry.uid), entry.endpoint),
            };
        }
        if let Some(revision) = list.rev.filter(|_| whole) {
            self.revision.taken(revision);
        }
        let kind = if full { ListKind::Full } else { ListKind::Changes };
        (kind, targets.iter().map(|entry| self.listed(entry)).collect())
    }

    /// Takes over the list in the configuration; none if it is malformed.
    pub fn take_known(&mut self, text: &str) -> Option<Vec<ListedServer>> {
        let list = read_list(text.as_bytes());
        let well_formed = list.well_formed;
        let (_, servers) = self.take(list, true);
        well_formed.then_some(servers)
    }

    /// What an answer's revision makes of it; `now` by any clock.
    pub fn judge(&mut self, now: Duration, list: &List, whole: bool) -> Verdict {
        // One cut before its number is judged by what it holds.
        let revision = list.rev.unwrap_or(self.revision.held());
        self.revision.judge(now, revision, whole && list.all)
    }

    /// Revision of the list held.
    pub fn revision(&self) -> u64 {
        self.revision.held()
    }
}
