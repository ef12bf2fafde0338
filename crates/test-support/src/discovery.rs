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
}

struct SharedList {
    current: Mutex<EndpointList>,
    changed: Condvar,
}

impl SharedList {
    /// The list as JSON. A watch that knows the current revision waits for a newer one.
    fn respond(&self, after: Option<u64>) -> String {
        let current = self.current.lock().unwrap();
        let known = current.revision;
        let timeout = if after == Some(known) { WATCH_TIMEOUT } else { Duration::ZERO };
        let is_unchanged = |list: &mut EndpointList| list.revision == known;
        let waited = self.changed.wait_timeout_while(current, timeout, is_unchanged);
        let (current, _) = waited.unwrap();
        json!({"rev": current.revision, "all": true, "targets": current.entries}).to_string()
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
        let current = Mutex::new(EndpointList { revision, entries });
        let list = Arc::new(SharedList { current, changed: Condvar::new() });
        let calls = Arc::new(Mutex::new(0));
        let served = list.clone();
        let counted = calls.clone();
        let accepting = accept_connections(at, move |mut stream| {
            while let Some(call) = Message::read(&mut stream) {
                let list = served.respond(call.after());
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
        self.list.changed.notify_all();
    }
}
