//! A discovery service that responds to its calls by a script.

use mintshelf_test_support::{config, ok_response, Message, Peer};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A poll that knows the current revision waits for a newer one so long, or less if it asks for less.
const UNCHANGED_LIST_DELAY: Duration = Duration::from_millis(300);

/// The response to a call.
#[derive(Clone, Copy, PartialEq)]
pub enum ResponseKind {
    /// The list with this revision; a poll that knows it waits.
    List(u64),
    /// No response: the connection stays open until the caller closes it.
    Silence,
    /// Status 503.
    Unavailable,
    /// The connection is reset.
    Reset,
    /// The connection closes within the response.
    Truncated,
}

/// A discovery service with a script: the responses to its calls, one after the other; the last one
/// is repeated.
pub struct ScriptedDiscovery {
    pub peer: Peer,
    calls: Arc<Mutex<Vec<Instant>>>,
    script: Arc<Mutex<Vec<ResponseKind>>>,
}

impl ScriptedDiscovery {
    /// Starts it; `list` gives the entries of a revision.
    pub fn start(
        script: &[ResponseKind],
        list: impl Fn(u64) -> Vec<Value> + Send + Sync + 'static,
    ) -> Self {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let script = Arc::new(Mutex::new(script.to_vec()));
        let (recorded, remaining) = (calls.clone(), script.clone());
        let peer = Peer::start(move |mut stream| {
            while let Some(call) = Message::read(&mut stream) {
                recorded.lock().unwrap().push(Instant::now());
                let kind = next_response(&mut remaining.lock().unwrap());
                if !respond(kind, &call, &list, &mut stream) {
                    return;
                }
            }
        });
        ScriptedDiscovery { peer, calls, script }
    }

    /// When each of its calls came.
    pub fn calls(&self) -> Vec<Instant> {
        self.calls.lock().unwrap().clone()
    }

    /// Replaces the rest of the script.
    pub fn set_script(&self, script: &[ResponseKind]) {
        *self.script.lock().unwrap() = script.to_vec();
    }

    /// Whether only the response that is repeated is left.
    pub fn is_at_last_response(&self) -> bool {
        self.script.lock().unwrap().len() <= 1
    }
}

fn next_response(remaining: &mut Vec<ResponseKind>) -> ResponseKind {
    if remaining.len() > 1 {
        remaining.remove(0)
    } else {
        remaining[0]
    }
}

/// Responds to a call; whether the connection stays open.
fn respond(
    kind: ResponseKind,
    call: &Message,
    list: &dyn Fn(u64) -> Vec<Value>,
    stream: &mut TcpStream,
) -> bool {
    match kind {
        ResponseKind::List(revision) => {
            if call.after() == Some(revision) {
                thread::sleep(UNCHANGED_LIST_DELAY.min(call.wait()));
            }
            let text = json!({"rev": revision, "all": true, "targets": list(revision)}).to_string();
            stream.write_all(&ok_response(&text)).is_ok()
        }
        ResponseKind::Silence => {
            // Until the other side gives up.
            let _ = stream.read(&mut [0]);
            false
        }
        ResponseKind::Unavailable => {
            stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").is_ok()
        }
        ResponseKind::Reset => {
            let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            false
        }
        ResponseKind::Truncated => {
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"rev\":");
            false
        }
    }
}

/// A configuration that allows the longest time between polls.
pub fn slow_poll_config(discovery: SocketAddr, known: Vec<Value>) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["invariants"]["ask-within"] = json!(60_000_000_000u64);
    config
}
