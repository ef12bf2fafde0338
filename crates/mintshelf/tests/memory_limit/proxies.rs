//! The two programs under test, with limits.

use crate::limits::Limits;
use crate::PROGRAM;
use mintshelf_test_support::{config, Daemon, Discovery, Process, Sidecar};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// A process under test, by its two programs.
pub(crate) trait Proxy: Process {
    fn listen_address(&self) -> SocketAddr;
}

impl Proxy for Sidecar {
    fn listen_address(&self) -> SocketAddr {
        self.address
    }
}

impl Proxy for Daemon {
    fn listen_address(&self) -> SocketAddr {
        self.address
    }
}

/// A platform sidecar with these limits, and discovery that lists the servers.
pub(crate) fn start_sidecar(servers: &[SocketAddr], limits: Limits) -> (Discovery, Sidecar) {
    start_sidecar_with(servers, limits, |_| {})
}

/// A platform sidecar that asks two servers for their load before each attempt.
pub(crate) fn start_checking_sidecar(
    servers: &[SocketAddr],
    limits: Limits,
) -> (Discovery, Sidecar) {
    start_sidecar_with(servers, limits, |settings| {
        settings["limits"]["probes"] = json!(true);
        settings["report"] = json!({"fields": ["queue", "inflight"], "how": "pull"});
        settings["prices"] = json!({"probe": 0.002});
    })
}

fn start_sidecar_with(
    servers: &[SocketAddr],
    limits: Limits,
    change_settings: impl FnOnce(&mut Value),
) -> (Discovery, Sidecar) {
    let entries: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(index, address)| mintshelf_test_support::entry(&format!("s{index}"), *address))
        .collect();
    let discovery = Discovery::start(1, entries.clone());
    let mut config = config(discovery.address, entries);
    change_settings(&mut config["settings"]);
    config["limits"] = json!({"memory_mb": limits.memory_mb, "sockets": limits.descriptors});
    (discovery, Sidecar::start(PROGRAM, config))
}

/// The daemon with these limits, which forwards everything to the servers.
pub(crate) fn start_daemon(servers: &[SocketAddr], limits: Limits) -> Daemon {
    let address = mintshelf_test_support::free_address();
    let endpoints: Vec<_> = servers.iter().map(|address| format!("\"{address}\"")).collect();
    let text = format!(
        "listen = \"{address}\"\n[limits]\nmemory = \"{}MiB\"\nsockets = {}\n\
         [clusters.all]\nendpoints = [{}]\n[[routes]]\nname = \"all\"\ncluster = \"all\"\n",
        limits.memory_mb,
        limits.descriptors,
        endpoints.join(", ")
    );
    Daemon::start(PROGRAM, address, &text, &[])
}
