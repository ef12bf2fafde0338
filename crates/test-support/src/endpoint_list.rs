//! Endpoint lists as discovery serves them.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// The entry of a serving endpoint in an endpoint list.
#[must_use]
pub fn entry(uid: &str, address: SocketAddr) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "state": "SERVING"})
}

/// An endpoint list with its recent changes.
pub(crate) struct EndpointList {
    revision: u64,
    entries: Vec<Value>,
    /// The changes that led to the current revision, with the revision of each; callers that know
    /// an older list than these began with get the complete one.
    changes: Vec<(u64, Vec<Value>)>,
}

impl EndpointList {
    /// A list without changes.
    pub(crate) fn new(revision: u64, entries: Vec<Value>) -> Self {
        EndpointList { revision, entries, changes: Vec::new() }
    }

    /// Returns the revision of the list.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Replaces all entries under the next revision; the changes before it are forgotten.
    pub(crate) fn replace(&mut self, entries: Vec<Value>) {
        self.revision += 1;
        self.entries = entries;
        self.changes.clear();
    }

    /// Changes the entries with these `uid`s under the next revision, and adds those that are new.
    pub(crate) fn change(&mut self, changed: Vec<Value>) {
        self.revision += 1;
        self.entries.retain(|entry| changed.iter().all(|other| other["uid"] != entry["uid"]));
        let listed = changed.iter().filter(|entry| entry["state"] != "DELETED").cloned();
        self.entries.extend(listed);
        self.changes.push((self.revision, changed));
    }

    /// The list as JSON: what changed after a revision, or all of it where that is not known.
    pub(crate) fn after(&self, revision: Option<u64>) -> Value {
        let is_covered = |after: &u64| {
            *after == self.revision
                || self.changes.first().is_some_and(|(first, _)| *first <= after + 1)
        };
        let Some(after) = revision.filter(is_covered).filter(|_| !self.changes.is_empty()) else {
            return json!({"rev": self.revision, "all": true, "targets": self.entries});
        };
        let newer = self.changes.iter().filter(|(revision, _)| *revision > after);
        let changed: Vec<&Value> = newer.flat_map(|(_, entries)| entries).collect();
        json!({"rev": self.revision, "all": false, "targets": changed})
    }
}
