//! Barriers between the sidecar and its stand-ins.

use mintshelf_test_support::{
    config, entry, full_listener, get, wait_until, Message, Process as _, Server, Sidecar,
};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A server to which no connection comes up until it serves.
pub struct Unreached {
    listener: TcpListener,
    _filling: Vec<TcpStream>,
}

impl Unreached {
    pub fn start() -> Self {
        let (listener, filling) = full_listener();
        Unreached { listener, _filling: filling }
    }

    /// Serves from now on: what connects comes up late. Back come the requests, as they come.
    pub fn accept(self, serve: impl Fn(Message) -> Vec<u8> + Send + Sync + 'static) -> RequestLog {
        let log = RequestLog::default();
        let (recorded, serve) = (log.clone(), Arc::new(serve));
        thread::spawn(move || {
            for stream in self.listener.incoming().flatten() {
                let (recorded, serve) = (recorded.clone(), serve.clone());
                thread::spawn(move || recorded.serve(stream, &*serve));
            }
        });
        log
    }

    pub fn entry(&self, uid: &str) -> Value {
        entry(uid, self.listener.local_addr().unwrap())
    }
}

/// The requests that have come to a stand-in.
#[derive(Clone, Default)]
pub struct RequestLog(Arc<Mutex<Vec<Message>>>);

impl RequestLog {
    fn serve(&self, mut stream: TcpStream, serve: &dyn Fn(Message) -> Vec<u8>) {
        use std::io::Write;
        while let Some(request) = Message::read(&mut stream) {
            self.0.lock().unwrap().push(request.clone());
            if stream.write_all(&serve(request)).is_err() {
                return;
            }
        }
    }

    pub fn ids(&self) -> Vec<String> {
        ids_of(&self.0.lock().unwrap())
    }
}

/// Ids of what a server has seen.
pub fn ids(server: &Server) -> Vec<String> {
    ids_of(&server.requests())
}

fn ids_of(requests: &[Message]) -> Vec<String> {
    let id = |request: &Message| request.header("x-txn").unwrap_or_default().to_string();
    requests.iter().map(id).collect()
}

/// A configuration in which a connection may take long to come up.
pub fn slow_connects(discovery: SocketAddr, known: Vec<Value>) -> Value {
    let mut config = config(discovery, known);
    config["settings"]["limits"]["connect-timeout"] = json!(5_000_000_000u64);
    config
}

/// Stops a process until the closure has run: what happens meanwhile meets it at one moment.
pub fn while_stopped<T>(sidecar: &Sidecar, act: impl FnOnce() -> T) -> T {
    sidecar.signal("STOP");
    let stat = format!("/proc/{}/stat", sidecar.pid());
    wait_until("the process is stopped", || {
        let stat = std::fs::read_to_string(&stat).unwrap();
        stat.rsplit(") ").next().unwrap().starts_with('T')
    });
    let result = act();
    // What was written is with the other side's kernel: loopback delivers at once.
    sidecar.signal("CONT");
    result
}

/// Waits until a sidecar that has something to do has surely done it: a request of another
/// client passes through it, twice the time in which a break would show.
pub fn settle(sidecar: &Sidecar, name: &str) {
    for number in 0..2 {
        thread::sleep(Duration::from_millis(150));
        let got = sidecar.send_request(&get("/-/ready")).unwrap();
        assert_eq!(got.status(), 200, "{name} {number}");
    }
}
