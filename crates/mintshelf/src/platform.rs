//! The platform's sidecar: configured by `RELAY_CONFIG`, with its endpoints from discovery.

use crate::log::{self, LevelsError};
use mintshelf_config::platform::{ConfigError, PlatformConfig};
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
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Environment variable with the path of the configuration.
const CONFIG_VARIABLE: &str = "RELAY_CONFIG";
/// Time from the first byte of a request to its last.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time beyond the longest deadline for which a request may hold its connection: its client reads
/// the response in it.
const RESPONSE_READ_TIME: Duration = Duration::from_secs(5);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time beyond the longest deadline that a shutdown takes at least: clients go on connecting for a
/// while, and every request that they send is answered.
const MIN_SHUTDOWN_EXTRA: Duration = Duration::from_secs(1);
/// Time between two checks whether the last client has left.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why the sidecar did not start.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// The environment variable is not set.
    #[error("environment: {}: is not set", CONFIG_VARIABLE)]
    NoConfig,
    /// The log levels cannot be parsed.
    #[error("environment: {0}")]
    Levels(#[from] LevelsError),
    /// The configuration cannot be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// An address of the configuration cannot be bound.
    #[error("{}: {field}: {source}", file.display())]
    Address {
        /// The configuration's file.
        file: PathBuf,
        /// The field with the address.
        field: &'static str,
        /// Why.
        source: io::Error,
    },
    /// A signal cannot be received.
    #[error("{name}: {source}")]
    Signal {
        /// Its name.
        name: &'static str,
        /// Why.
        source: io::Error,
    },
}

/// The signals that the sidecar handles.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn register() -> Result<Self, PlatformError> {
        let register =
            |kind, name| signal(kind).map_err(|source| PlatformError::Signal { name, source });
        Ok(Signals {
            terminate: register(SignalKind::terminate(), "SIGTERM")?,
            hangup: register(SignalKind::hangup(), "SIGHUP")?,
        })
    }
}

/// The sockets that the configuration names.
struct Sockets {
    peers: Option<PeerGossip>,
    listener: TcpListener,
}

impl Sockets {
    async fn bind(file: &Path, config: &PlatformConfig) -> Result<Self, PlatformError> {
        let failed = |field| {
            let file = file.to_path_buf();
            move |source| PlatformError::Address { file, field, source }
        };
        let peers = match config.peer_listen.filter(|_| config.settings.has_peers) {
            None => None,
            Some(address) => {
                let peers = config.peers.clone();
                let bound = PeerGossip::bind(address, peers, config.broadcast_address).await;
                Some(bound.map_err(failed("peer_listen"))?)
            }
        };
        let listener = listen(config.listen).map_err(failed("listen"))?;
        Ok(Sockets { peers, listener })
    }
}

/// Runs the sidecar that `RELAY_CONFIG` describes, until it has shut down.
///
/// # Errors
/// The sidecar cannot start.
pub async fn run() -> Result<(), PlatformError> {
    if log::is_requested() {
        log::start(false)?;
    }
    let file = std::env::var_os(CONFIG_VARIABLE).ok_or(PlatformError::NoConfig)?;
    let file = PathBuf::from(file);
    let config = PlatformConfig::read(&file)?;
    // Registered before anything is opened, so that an early SIGTERM does not kill the process.
    let mut signals = Signals::register()?;
    let Sockets { peers, listener } = Sockets::bind(&file, &config).await?;
    let budget = ResourceBudget::new(config.file_descriptors, config.memory_bytes);
    let draining = CancellationToken::new();
    let longest_deadline = longest_deadline(&config);
    let runtime = ClusterRuntime::start(cluster_spec(&config, peers), ConnectionPool::new(&budget));
    let PlatformConfig { name, listen, settings, names, .. } = config;
    let handler = PlatformHandler::new(runtime.clone(), settings, names, &budget);
    let clients = Rc::new(Clients::default());
    let timeouts = client_timeouts(longest_deadline);
    let inbound =
        ClientListener::new(handler.clone(), clients.clone(), &budget, timeouts, draining.clone());
    eprintln!("mintshelf: {name} listening on {listen}");
    let shutdown = async {
        signals.terminate.recv().await;
        draining.cancel();
        let min_duration = longest_deadline + MIN_SHUTDOWN_EXTRA;
        tokio::join!(handler.shut_down(longest_deadline), sleep(min_duration));
        while !clients.is_empty() {
            sleep(IDLE_CHECK_INTERVAL).await;
        }
    };
    tokio::select! {
        () = inbound.accept(listener) => {}
        () = runtime.run() => {}
        () = reload_on_signal(&mut signals.hangup, &file, &name, &runtime) => {}
        () = shutdown => {}
    }
    Ok(())
}

fn longest_deadline(config: &PlatformConfig) -> Duration {
    let deadlines = config.settings.classes.iter().map(|class| class.deadline);
    Duration::from_nanos(deadlines.max().unwrap_or(0))
}

fn client_timeouts(longest_deadline: Duration) -> ClientTimeouts {
    ClientTimeouts {
        receive: RECEIVE_TIMEOUT,
        idle: IDLE_TIMEOUT,
        busy: longest_deadline + RESPONSE_READ_TIME,
        is_extended_by_progress: false,
        allows_half_close: false,
    }
}

fn cluster_spec(config: &PlatformConfig, peers: Option<PeerGossip>) -> ClusterSpec {
    ClusterSpec {
        recovery_ramp: None,
        retry_policies: Vec::new(),
        connection_limits: ClusterLimits::default(),
        socket_weight: 0.0,
        name: None,
        settings: config.settings.clone(),
        names: config.names.clone(),
        seed: config.seed,
        protocol: UpstreamProtocol::Platform,
        peers,
        discovery: Some(DiscoverySpec {
            address: config.discovery,
            cached_list: config.cached_list.clone(),
        }),
    }
}

/// Reads the configuration again at each SIGHUP; of a valid one the address of discovery is applied.
async fn reload_on_signal(
    hangup: &mut Signal,
    file: &Path,
    name: &str,
    runtime: &Rc<ClusterRuntime>,
) {
    while hangup.recv().await.is_some() {
        match PlatformConfig::read(file) {
            Ok(config) => {
                eprintln!("mintshelf: {name} reloads; discovery is {}", config.discovery);
                runtime.set_discovery_address(config.discovery);
            }
            Err(error) => eprintln!("mintshelf: not reloaded: {error}"),
        }
    }
}
