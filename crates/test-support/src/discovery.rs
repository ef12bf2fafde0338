//! A discovery service with one endpoint list.

use crate::accept::{accept_connections, AcceptGuard};
use crate::addresses::free_address;
use crate::endpoint_list::EndpointList;
use crate::message::{ok_response, Message};
use crate::wait::wait_until;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Longest wait of a watch for a newer list; then it gets the same list again.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

struct SharedList {
    current: Mutex<EndpointList>,
    changed: Condvar,
}

impl SharedList {
    /// The list as JSON. A watch that knows the current revision waits for a newer one.
    fn respond(&self, call: &Message) -> String {
        let after = call.after();
        let current = self.current.lock().unwrap();
        let known = current.revision();
        let waits = after == Some(known) && !call.wait().is_zero();
        let timeout = if waits { WATCH_TIMEOUT } else { Duration::ZERO };
        let is_unchanged = |list: &mut EndpointList| list.revision() == known;
        let waited = self.changed.wait_timeout_while(current, timeout, is_unchanged);
        let (current, _) = waited.unwrap();
        current.after(after).to_string()
    }
}

/// A discovery service: it serves one list, and its watches wait until the list changes.
pub struct Discovery {
    /// The address of the discovery service.
    pub address: SocketAddr,
    list: Arc<SharedList>,
    calls: Arc<Mutex<usize>>,
    _accepting: AcceptGuard,
}

impl Discovery {
    /// Starts it with a list at a free address.
    ///
    /// # Panics
    /// The address cannot be bound.
    #[must_use]
    pub fn start(revision: u64, entries: Vec<Value>) -> Self {
        Self::start_at(free_address(), revision, entries)
    }

    /// Starts it with a list at an address that nothing else uses.
    ///
    /// # Panics
    /// The address cannot be bound.
    #[must_use]
    pub fn start_at(address: SocketAddr, revision: u64, entries: Vec<Value>) -> Self {
        let current = Mutex::new(EndpointList::new(revision, entries));
        let list = Arc::new(SharedList { current, changed: Condvar::new() });
        let calls = Arc::new(Mutex::new(0));
        let served = list.clone();
        let counted = calls.clone();
        let accepting = accept_connections(address, move |mut stream| {
            while let Some(call) = Message::read(&mut stream) {
                let list = served.respond(&call);
                *counted.lock().unwrap() += 1;
                if stream.write_all(&ok_response(&list)).is_err() {
                    return;
                }
            }
        });
        Discovery { address, list, calls, _accepting: accepting }
    }

    /// Number of calls answered so far.
    ///
    /// # Panics
    /// A thread of the service panicked.
    #[must_use]
    pub fn call_count(&self) -> usize {
        *self.calls.lock().unwrap()
    }

    /// Waits until a call has been answered, as the first of each sidecar is.
    ///
    /// # Panics
    /// No call comes in time.
    pub fn wait_for_first_call(&self) {
        wait_until("the first call to discovery", || self.call_count() > 0);
    }

    /// Replaces the list and answers the watches that wait.
    ///
    /// # Panics
    /// A thread of the service panicked.
    pub fn set(&self, entries: Vec<Value>) {
        self.list.current.lock().unwrap().replace(entries);
        self.list.changed.notify_all();
    }

    /// Changes the entries with these `uid`s, adds those that are new, and answers the watches
    /// that wait with these alone.
    ///
    /// # Panics
    /// A thread of the service panicked.
    pub fn change(&self, changed: Vec<Value>) {
        self.list.current.lock().unwrap().change(changed);
        self.list.changed.notify_all();
    }
}
