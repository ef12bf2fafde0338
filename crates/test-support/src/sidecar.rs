//! The program as the platform's sidecar, and configurations for it.

use crate::addresses::free_address;
use crate::client::send_request;
use crate::discovery::Discovery;
use crate::message::{get, Message};
use crate::process::{kill, Process};
use crate::server::Server;
use crate::wait::wait_until;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A sidecar; dropping it kills the process and removes its configuration.
pub struct Sidecar {
    /// The address where it listens.
    pub address: SocketAddr,
    /// The running process of the sidecar.
    pub child: Child,
    /// Path of the sidecar's configuration file.
    pub file: PathBuf,
    /// The configuration it was started with.
    pub config: Value,
}

/// A configuration with three classes: `safe`, `keyed` and `unsafe`. `known` is the endpoint list
/// that the sidecar uses until discovery answers.
#[must_use]
pub fn config(discovery: SocketAddr, known: Vec<Value>) -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "semantics": semantics, "goal-time": 4_000_000_000u64,
            "deadline": 8_000_000_000u64, "worth": 1, "memory-span": 20_000_000_000u64})
    };
    json!({
        "name": "n0", "listen": free_address().to_string(), "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"memory_mb": 32, "sockets": 128},
        "known": {"rev": 1, "all": true, "targets": Value::Array(known)},
        "settings": {
            "self-index": 0, "balancers": 1, "tick": 5_000_000, "registry-mode": "subscribe",
            "classes": [class("safe", "pure"), class("keyed", "token"),
                class("unsafe", "side_effect")],
            "tenants": [{"name": "acme", "quota-rps": 1000.0, "share": 1.0}],
            "invariants": {"grace-to-answer": 15_000_000, "stop-sending-within": 250_000_000,
                "ask-within": 1_000_000_000, "cold-from": 0.3, "cold": 0, "fall-multiple": 3,
                "tip-after": 2_000_000_000u64},
            "limits": {"cancel": true, "probes": false, "peers": false, "retry-after": true,
                "parallel-tries": false, "max-attempts": 6, "connect-timeout": 200_000_000,
                "conn-idle": 15_000_000_000u64}
        }
    })
}

/// Sets the deadline of all classes of a configuration.
///
/// # Panics
/// The configuration has no classes, or the deadline is longer than 500 years.
pub fn set_deadlines(config: &mut Value, deadline: Duration) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["deadline"] = json!(u64::try_from(deadline.as_nanos()).unwrap());
    }
}

/// A server, a discovery service that lists it under the name `a`, and a sidecar of the two.
///
/// # Panics
/// As [`Server::start`], [`Discovery::start`] and [`Sidecar::start`].
#[must_use]
pub fn start_with_server(
    program: &str,
    respond: impl Fn(&Message, usize) -> Option<Vec<u8>> + Send + Sync + 'static,
) -> (Server, Discovery, Sidecar) {
    let server = Server::start(respond);
    let discovery = Discovery::start(1, vec![server.entry("a")]);
    let sidecar = Sidecar::start(program, config(discovery.address, vec![server.entry("a")]));
    (server, discovery, sidecar)
}

impl Process for Sidecar {
    fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Sidecar {
    /// Starts the program at this path and waits until it is ready.
    ///
    /// # Panics
    /// The program does not start or is not ready in time.
    #[must_use]
    pub fn start(program: &str, config: Value) -> Self {
        let address: SocketAddr = config["listen"].as_str().unwrap().parse().unwrap();
        let name = address.to_string().replace(':', "-");
        let file = std::env::temp_dir().join(format!("mintshelf-{name}.json"));
        std::fs::write(&file, config.to_string()).unwrap();
        let mut command = Command::new(program);
        let child = command.env("RELAY_CONFIG", &file).stderr(Stdio::null()).spawn().unwrap();
        let sidecar = Sidecar { address, child, file, config };
        wait_until("the sidecar is ready", || sidecar.is_ready());
        sidecar
    }

    fn is_ready(&self) -> bool {
        let response = self.send_request(&get("/-/ready"));
        response.is_some_and(|response| response.status() == 200)
    }

    /// Replaces the configuration file and sends SIGHUP.
    ///
    /// # Panics
    /// The file cannot be written, or the process has ended.
    pub fn reload(&mut self, text: &str) {
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
    }

    /// Whether the process still runs.
    ///
    /// # Panics
    /// Its state cannot be read.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Sends a request on a new connection; its response, or none if the connection closes.
    ///
    /// # Panics
    /// As [`send_request`].
    #[must_use]
    pub fn send_request(&self, request: &[u8]) -> Option<Message> {
        send_request(self.address, request)
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        kill(&mut self.child);
        let _ = std::fs::remove_file(&self.file);
    }
}
