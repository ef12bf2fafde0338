//! A discovery service with one endpoint list.

use crate::addresses::free_address;
use crate::message::{ok_response, Message};
use crate::server::{accept_connections, AcceptGuard};
use serde_json::{json, Value};
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Longest wait of a watch for a newer list; then it gets the same list again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The entry of a serving endpoint in an endpoint list.
pub fn entry(uid: &str, at: SocketAddr) -> Value {
    json!({"uid": uid, "endpoint": at.to_string(), "state": "SERVING"})
}

struct EndpointList {
    revision: u64,
    entries: Vec<Value>,
    /// The changes that led to the current revision, with the revision of each; callers that know
    /// an older list than these began with get the complete one.
    changes: Vec<(u64, Vec<Value>)>,
}

impl EndpointList {
    /// The list as JSON: what changed after a revision, or all of it where that is not known.
    fn after(&self, revision: Option<u64>) -> Value {
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

struct SharedList {
    current: Mutex<EndpointList>,
    changed: Condvar,
}

impl SharedList {
    /// The list as JSON. A watch that knows the current revision waits for a newer one.
    fn respond(&self, call: &Message) -> String {
        let after = call.after();
        let current = self.current.lock().unwrap();
        let known = current.revision;
        let waits = after == Some(known) && !call.wait().is_zero();
        let timeout = if waits { WATCH_TIMEOUT } else { Duration::ZERO };
        let is_unchanged = |list: &mut EndpointList| list.revision == known;
        let waited = self.changed.wait_timeout_while(current, timeout, is_unchanged);
        let (current, _) = waited.unwrap();
        current.after(after).to_string()
    }
}

/// A discovery service: it serves one list, and its watches wait until the list changes.
pub struct Discovery {
    /// Its address.
    pub at: SocketAddr,
    list: Arc<SharedList>,
    /// Number of calls answered so far.
    pub calls: Arc<Mutex<usize>>,
    _accepting: AcceptGuard,
}

impl Discovery {
    /// Starts it with a list at a free address.
    ///
    /// # Panics
    /// The address cannot be bound.
    pub fn start(revision: u64, entries: Vec<Value>) -> Self {
        Self::start_at(free_address(), revision, entries)
    }

    /// Starts it with a list at an address that nothing else uses.
    ///
    /// # Panics
    /// The address cannot be bound.
    pub fn start_at(at: SocketAddr, revision: u64, entries: Vec<Value>) -> Self {
        let current = Mutex::new(EndpointList { revision, entries, changes: Vec::new() });
        let list = Arc::new(SharedList { current, changed: Condvar::new() });
        let calls = Arc::new(Mutex::new(0));
        let served = list.clone();
        let counted = calls.clone();
        let accepting = accept_connections(at, move |mut stream| {
            while let Some(call) = Message::read(&mut stream) {
                let list = served.respond(&call);
                *counted.lock().unwrap() += 1;
                if stream.write_all(&ok_response(&list)).is_err() {
                    return;
                }
            }
        });
        Discovery { at, list, calls, _accepting: accepting }
    }

    /// Replaces the list and answers the watches that wait.
    ///
    /// # Panics
    /// A thread of the service panicked.
    pub fn set(&self, entries: Vec<Value>) {
        let mut current = self.list.current.lock().unwrap();
        current.revision += 1;
        current.entries = entries;
        current.changes.clear();
        self.list.changed.notify_all();
    }

    /// Changes the entries with these `uid`s, adds those that are new, and answers the watches
    /// that wait with these alone.
    ///
    /// # Panics
    /// A thread of the service panicked.
    pub fn change(&self, changed: Vec<Value>) {
        let mut current = self.list.current.lock().unwrap();
        current.revision += 1;
        let revision = current.revision;
        current.entries.retain(|entry| changed.iter().all(|other| other["uid"] != entry["uid"]));
        let listed = changed.iter().filter(|entry| entry["state"] != "DELETED").cloned();
        current.entries.extend(listed);
        current.changes.push((revision, changed));
        self.list.changed.notify_all();
    }
}
