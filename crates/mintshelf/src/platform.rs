//! The platform's sidecar: configured by `RELAY_CONFIG`, fed by discovery.

use mintshelf_config::platform::PlatformConfig;
use mintshelf_proxy::budget::ResourceBudget;
use mintshelf_proxy::client::connection::ClientTimeouts;
use mintshelf_proxy::client::listener::{listen, ClientListener};
use mintshelf_proxy::client::registry::Clients;
use mintshelf_proxy::cluster::peers::PeerGossip;
use mintshelf_proxy::cluster::runtime::ClusterRuntime;
use mintshelf_proxy::cluster::spec::{ClusterSpec, DiscoverySpec};
use mintshelf_proxy::platform::handler::PlatformHandler;
use mintshelf_proxy::upstream::connection_limits::ClusterLimits;
use mintshelf_proxy::upstream::pool::ConnectionPool;
use mintshelf_proxy::upstream::response::UpstreamProtocol;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// A request is whole so long after its first byte.
const RECEIVE_LIMIT: Duration = Duration::from_millis(2_500);
/// How much longer than the longest deadline a request may hold its connection:
/// time for its client to take the answer.
const SEND_LIMIT: Duration = Duration::from_secs(5);
/// An idle connection is closed after this.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// How long past the longest deadline a planned end takes at least: clients go
/// on connecting for a while, and every request they send is answered.
const STAY: Duration = Duration::from_secs(1);
/// How often the end looks whether the last client has gone.
const END_CHECK: Duration = Duration::from_millis(50);

/// Runs the sidecar that `RELAY_CONFIG` describes, until its planned end.
pub async fn run() -> Result<(), String> {
    let file = std::env::var_os("RELAY_CONFIG").ok_or("environment: RELAY_CONFIG: is not set")?;
    let file = PathBuf::from(file);
    let config = PlatformConfig::read(&file).map_err(|e| e.to_string())?;
    let unusable = |field: &str, e: std::io::Error| format!("{}: {field}: {e}", file.display());
    // Danger: taken before anything else, so that an early SIGTERM is not deadly.
    let mut terminated = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reload = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    let peers = match config.peer_listen.filter(|_| config.settings.has_peers) {
        None => None,
        Some(address) => {
            let peers =
                PeerGossip::bind(address, config.peers.clone(), config.broadcast_address).await;
            Some(peers.map_err(|e| unusable("peer_listen", e))?)
        }
    };
    let listener = listen(config.listen).map_err(|e| unusable("listen", e))?;
    let limits = ResourceBudget::new(config.file_descriptors, config.memory_bytes);
    let draining = CancellationToken::new();
    let deadlines = config.settings.classes.iter().map(|class| class.deadline);
    let longest = Duration::from_nanos(deadlines.max().unwrap_or(0));
    let stay = longest + STAY;
    let PlatformConfig { name, listen, settings, names, seed, discovery, cached_list, .. } = config;
    let spec = ClusterSpec {
        recovery_ramp: None,
        retry_policies: Vec::new(),
        connection_limits: ClusterLimits::default(),
        socket_weight: 0.0,
        name: None,
        settings: settings.clone(),
        names: names.clone(),
        seed,
        protocol: UpstreamProtocol::Platform,
        peers,
        discovery: Some(DiscoverySpec { address: discovery, cached_list }),
    };
    let driver = ClusterRuntime::start(spec, ConnectionPool::new(&limits));
    let patience = ClientTimeouts {
        receive: RECEIVE_LIMIT,
        idle: IDLE_LIMIT,
        busy: longest + SEND_LIMIT,
        is_extended_by_progress: false,
        allows_half_close: false,
    };
    let front = PlatformHandler::new(driver.clone(), settings, names, &limits);
    let clients = Rc::new(Clients::default());
    let inbound =
        ClientListener::new(front.clone(), clients.clone(), &limits, patience, draining.clone());
    eprintln!("mintshelf: {name} listening on {listen}");
    let reloads = async {
        while reload.recv().await.is_some() {
            match PlatformConfig::read(&file) {
                Ok(new) => {
                    eprintln!("mintshelf: {name} reloads; discovery is {}", new.discovery);
                    driver.set_discovery_address(new.discovery);
                }
                // What was in force stays in force.
                Err(what) => eprintln!("mintshelf: not reloaded: {what}"),
            }
        }
    };
    let end = async {
        terminated.recv().await;
        draining.cancel();
        tokio::join!(front.shut_down(longest), sleep(stay));
        while !clients.is_empty() {
            sleep(END_CHECK).await;
        }
    };
    tokio::select! {
        () = inbound.accept(listener) => {}
        () = driver.run() => {}
        () = reloads => {}
        () = end => {}
    }
    Ok(())
}
