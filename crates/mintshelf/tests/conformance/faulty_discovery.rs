//! A discovery service with a fault that a test switches on and off.

use super::rows::DiscoveryFault;
use mintshelf_test_support::{ok_response, reset_connection, Message, Peer, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two checks whether the list or the fault has changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait of a watch for a newer list.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// An endpoint list.
#[derive(Clone)]
struct List {
    revision: u64,
    entries: Vec<Value>,
}

/// What the connections share with the test.
struct State {
    fault: DiscoveryFault,
    is_faulty: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    list: Mutex<List>,
}

/// A discovery service that has a fault while that is switched on.
pub struct FaultyDiscovery {
    pub peer: Peer,
    state: Arc<State>,
}

impl FaultyDiscovery {
    /// Starts it with a list at revision 1, and without the fault.
    pub fn start(fault: DiscoveryFault, entries: Vec<Value>) -> Self {
        let state = Arc::new(State {
            fault,
            is_faulty: AtomicBool::new(false),
            connections: Mutex::default(),
            list: Mutex::new(List { revision: 1, entries }),
        });
        let served = state.clone();
        let peer = Peer::start(move |stream| served.serve(stream));
        FaultyDiscovery { peer, state }
    }

    /// Switches the fault on or off.
    pub fn set_faulty(&self, is_faulty: bool) {
        self.state.is_faulty.store(is_faulty, Ordering::SeqCst);
    }

    /// Replaces the list under the next revision.
    pub fn set_list(&self, entries: Vec<Value>) {
        let mut list = self.state.list.lock().unwrap();
        let revision = list.revision + 1;
        *list = List { revision, entries };
    }

    /// Whether it has been called.
    pub fn is_called(&self) -> bool {
        !self.state.connections.lock().unwrap().is_empty()
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.state.connections.lock().unwrap().drain(..).for_each(reset_connection);
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) {
        let was_faulty_at_start = self.is_faulty();
        self.connections.lock().unwrap().push(stream.try_clone().unwrap());
        while let Some(call) = Message::read(&mut stream) {
            self.wait_for_change(&call);
            let is_faulty = self.is_faulty();
            match self.fault {
                // A watch that has fallen silent stays silent; a new connection is served.
                DiscoveryFault::Silent if is_faulty && !was_faulty_at_start => {
                    return thread::sleep(TEST_TIMEOUT);
                }
                DiscoveryFault::Unavailable if is_faulty => {
                    let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                DiscoveryFault::AgentOutage if is_faulty => self.wait_for_recovery(),
                _ => {}
            }
            if stream.write_all(&ok_response(&self.response())).is_err() {
                return;
            }
        }
    }

    fn is_faulty(&self) -> bool {
        self.is_faulty.load(Ordering::SeqCst)
    }

    /// A watch that knows the current revision waits for a newer one; an agent does not.
    fn wait_for_change(&self, call: &Message) {
        let after = call.after();
        let wait_end = Instant::now() + WATCH_TIMEOUT;
        let is_current = || after == Some(self.list.lock().unwrap().revision);
        while self.fault != DiscoveryFault::AgentOutage && is_current() && Instant::now() < wait_end
        {
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn wait_for_recovery(&self) {
        while self.is_faulty() {
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn response(&self) -> String {
        let List { revision, entries } = self.list.lock().unwrap().clone();
        json!({"rev": revision, "all": true, "targets": entries}).to_string()
    }
}
