//! Servers that connect late, processes that are stopped, and records of requests.

use mintshelf_test_support::{
    config, entry, full_listener, get, wait_until, Message, Process as _, Server, Sidecar,
};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A server whose accept queue is full: connections to it are established only once it accepts.
pub struct LateServer {
    listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl LateServer {
    pub fn start() -> Self {
        let (listener, queued) = full_listener();
        LateServer { listener, _queued: queued }
    }

    /// Accepts connections from now on and serves their requests, which the log records.
    pub fn accept_requests(
        self,
        respond: impl Fn(Message) -> Vec<u8> + Send + Sync + 'static,
    ) -> RequestLog {
        let log = RequestLog::default();
        let (recorded, respond) = (log.clone(), Arc::new(respond));
        thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                let (recorded, respond) = (recorded.clone(), respond.clone());
                thread::spawn(move || recorded.serve(stream, &*respond));
            }
        });
        log
    }

    pub fn entry(&self, uid: &str) -> Value {
        entry(uid, self.listener.local_addr().unwrap())
    }
}

/// The requests that a server has received.
#[derive(Clone, Default)]
pub struct RequestLog(Arc<Mutex<Vec<Message>>>);

impl RequestLog {
    fn serve(&self, mut stream: TcpStream, respond: &dyn Fn(Message) -> Vec<u8>) {
        while let Some(request) = Message::read(&mut stream) {
            self.0.lock().unwrap().push(request.clone());
            if stream.write_all(&respond(request)).is_err() {
                return;
            }
        }
    }

    pub fn ids(&self) -> Vec<String> {
        ids_of(&self.0.lock().unwrap())
    }
}

/// The ids of the requests that a server has received.
pub fn ids(server: &Server) -> Vec<String> {
    ids_of(&server.requests())
}

fn ids_of(requests: &[Message]) -> Vec<String> {
    let id = |request: &Message| request.header("x-txn").unwrap_or_default().to_string();
    requests.iter().map(id).collect()
}

/// A configuration with a connect timeout of 5 s.
pub fn slow_connect_config(discovery: SocketAddr, known: Vec<Value>) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["limits"]["connect-timeout"] = json!(5_000_000_000u64);
    config
}

/// Stops a process until the closure has run: the process finds all that happened meanwhile at once.
pub fn while_stopped<T>(sidecar: &Sidecar, act: impl FnOnce() -> T) -> T {
    sidecar.signal("STOP");
    let stat = format!("/proc/{}/stat", sidecar.pid());
    wait_until("the process is stopped", || {
        let stat = std::fs::read_to_string(&stat).unwrap();
        stat.rsplit(") ").next().unwrap().starts_with('T')
    });
    let result = act();
    // Loopback delivers at once: what was written is in the receiver's kernel buffer by now.
    sidecar.signal("CONT");
    result
}

/// Waits until a sidecar has surely done what it has to do: requests of another client are
/// answered twice, 150 ms apart.
pub fn wait_until_settled(sidecar: &Sidecar, step: &str) {
    for round in 0..2 {
        thread::sleep(Duration::from_millis(150));
        let response = sidecar.send_request(&get("/-/ready")).unwrap();
        assert_eq!(response.status(), 200, "{step} {round}");
    }
}
