//! Replicas as processes, with their files and the connections between them.

use mintshelf_test_support::relay::Relay;
use mintshelf_test_support::{free_address, ok_response, wait_until, Daemon, Server};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_mintshelf");

/// A connection, by the indexes of the replicas that dial and listen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub dialer: usize,
    pub listener: usize,
}

pub struct Cluster {
    pub directory: PathBuf,
    /// Where the replicas listen for each other and for members.
    pub addresses: Vec<SocketAddr>,
    /// Where the replicas' processes listen for requests.
    listeners: Vec<SocketAddr>,
    server: Server,
    pub links: BTreeMap<Link, Relay>,
    /// The running processes; `None` for each that was killed.
    pub processes: Vec<Option<Daemon>>,
}

impl Cluster {
    pub fn new(name: &str, replicas: usize) -> Cluster {
        let id = std::process::id();
        let directory = std::env::temp_dir().join(format!("mintshelf-{name}-{id}"));
        std::fs::create_dir_all(&directory).unwrap();
        let addresses: Vec<SocketAddr> = (0..replicas).map(|_| free_address()).collect();
        let mut links = BTreeMap::new();
        for dialer in 1..replicas {
            for (listener, address) in addresses.iter().enumerate().take(dialer) {
                links.insert(Link { dialer, listener }, Relay::start(*address));
            }
        }
        let server = Server::start(|_, _| Some(ok_response("here")));
        let listeners = (0..replicas).map(|_| free_address()).collect();
        let processes = (0..replicas).map(|_| None).collect();
        Cluster { directory, addresses, listeners, server, links, processes }
    }

    pub fn store_directory(&self, index: usize) -> PathBuf {
        self.directory.join(index.to_string())
    }

    /// A replica's file; the connections that it dials go by way of relays.
    fn file_text(&self, index: usize) -> String {
        let voter = |other: usize| {
            let relay = self.links.get(&Link { dialer: index, listener: other });
            let address = relay.map_or(self.addresses[other], |relay| relay.address);
            format!("{{ name = \"v{other}\", address = \"{address}\" }}")
        };
        let voters: Vec<String> = (0..self.addresses.len()).map(voter).collect();
        format!(
            "listen = \"{}\"\n[clusters.a]\nendpoints = [\"{}\"]\n[[routes]]\ncluster = \"a\"\n\
             [fleet]\nfleet = \"f\"\nname = \"v{index}\"\naddress = \"{}\"\ndirectory = {:?}\n\
             voters = [{}]\nelection = \"500ms\"\nlease = \"3s\"\nsession = \"2s\"\n",
            self.listeners[index],
            self.server.address,
            self.addresses[index],
            self.store_directory(index),
            voters.join(", "),
        )
    }

    pub fn file(&self, index: usize) -> PathBuf {
        let file = self.directory.join(format!("{index}.toml"));
        std::fs::write(&file, self.file_text(index)).unwrap();
        file
    }

    pub fn start(&mut self, index: usize) {
        let daemon = Daemon::start(PROGRAM, self.listeners[index], &self.file_text(index), &[]);
        self.processes[index] = Some(daemon);
    }

    /// Initializes and starts all replicas, and waits until one is the leader.
    pub fn initialize(&mut self) {
        for index in 0..self.addresses.len() {
            let output = self.command(index, &["fleet", "init"]);
            assert!(output.status.success(), "{output:?}");
            self.start(index);
        }
        wait_until("a replica leads", || self.leader().is_some());
    }

    pub fn kill(&mut self, index: usize) {
        drop(self.processes[index].take());
    }

    /// Runs the program with a replica's file.
    pub fn command(&self, index: usize, arguments: &[&str]) -> Output {
        let mut command = Command::new(PROGRAM);
        command.args(arguments).arg("--config").arg(self.file(index));
        command.output().unwrap()
    }

    pub fn status(&self) -> Value {
        let output = self.command(0, &["fleet", "status", "--json"]);
        serde_json::from_slice(&output.stdout).unwrap_or_default()
    }

    pub fn leader(&self) -> Option<usize> {
        let status = self.status();
        status["leader"].as_str().and_then(|name| name[1..].parse().ok())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
