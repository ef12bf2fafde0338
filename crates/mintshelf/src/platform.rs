//! The platform's sidecar, which is configured by `RELAY_CONFIG` and gets its endpoints from
//! discovery.

mod error;
mod signals;
mod sockets;

use crate::allocator::allocated_bytes;
use crate::log;
use error::{PlatformError, CONFIG_VARIABLE};
use mintshelf_config::platform::PlatformConfig;
use mintshelf_proxy::budget::ResourceBudget;
use mintshelf_proxy::client::connection::{ClientTimeouts, SharedTimeout};
use mintshelf_proxy::client::listener::ClientListener;
use mintshelf_proxy::client::registry::Clients;
use mintshelf_proxy::cluster::peers::PeerGossip;
use mintshelf_proxy::cluster::runtime::ClusterRuntime;
use mintshelf_proxy::cluster::spec::{ClusterSpec, DiscoverySpec};
use mintshelf_proxy::memory::{MemoryBudget, MemoryMonitor, MemoryReport};
use mintshelf_proxy::platform::handler::PlatformHandler;
use mintshelf_proxy::upstream::connection_limits::ClusterLimits;
use mintshelf_proxy::upstream::pool::ConnectionPool;
use mintshelf_proxy::upstream::response::UpstreamProtocol;
use signals::Signals;
use sockets::Sockets;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Longest time from the first byte of a request to its last.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time beyond the longest deadline for which a request may occupy its connection, so that its
/// client can read the response.
const RESPONSE_READ_TIME: Duration = Duration::from_secs(5);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum time of a shutdown beyond the longest deadline. Clients still connect for a while, and
/// each request that they send gets a response.
const MIN_SHUTDOWN_EXTRA: Duration = Duration::from_secs(1);
/// Interval of the checks whether all clients have disconnected.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the sidecar with the configuration that `RELAY_CONFIG` names, until it has shut down.
///
/// # Errors
/// Returns an error if the sidecar cannot start.
pub async fn run() -> Result<(), PlatformError> {
    if log::is_configured() {
        log::init(false)?;
    }
    let file = std::env::var_os(CONFIG_VARIABLE).ok_or(PlatformError::NoConfig)?;
    let file = PathBuf::from(file);
    let config = PlatformConfig::read(&file)?;
    // Registered before any socket is opened, so that an early SIGTERM does not kill the process.
    let mut signals = Signals::register()?;
    let Sockets { peers, listener } = Sockets::bind(&file, &config).await?;
    let memory = MemoryBudget::new(config.memory_bytes, allocated_bytes);
    let budget = ResourceBudget::new(config.file_descriptors, memory);
    let draining = CancellationToken::new();
    let longest_deadline = longest_deadline(&config);
    let runtime = ClusterRuntime::start(cluster_spec(&config, peers), ConnectionPool::new(&budget));
    let PlatformConfig { name, listen, settings, names, .. } = config;
    let handler = PlatformHandler::new(runtime.clone(), settings, names, &budget);
    let clients = Rc::new(Clients::default());
    clients.relieve_shortages(&budget.memory);
    let timeouts = client_timeouts(longest_deadline);
    let client_listener =
        ClientListener::new(handler.clone(), clients.clone(), &budget, timeouts, draining.clone());
    let memory_monitor = MemoryMonitor::new(budget.memory.clone(), clients.clone());
    eprintln!("mintshelf: {name} listening on {listen}");
    let shutdown = async {
        signals.terminate.recv().await;
        draining.cancel();
        shut_down(&handler, &clients, longest_deadline).await;
    };
    tokio::select! {
        () = client_listener.accept(listener) => {}
        () = runtime.run() => {}
        () = warn_of_memory(memory_monitor, &name, config.memory_bytes) => {}
        () = reload_on_signal(&mut signals.hangup, &file, &name, &runtime) => {}
        () = shutdown => {}
    }
    Ok(())
}

/// Prints a warning each time most of the memory is used up; never returns.
async fn warn_of_memory(monitor: MemoryMonitor, name: &str, memory_bytes: usize) {
    let limit_mb = memory_bytes >> 20;
    let warn = |report: &MemoryReport| {
        eprintln!("mintshelf: {name} is short of memory: {report}, limit {limit_mb}M");
    };
    monitor.run(warn).await;
}

/// Completes open requests and serves new ones until all clients have disconnected.
async fn shut_down(handler: &PlatformHandler, clients: &Clients, longest_deadline: Duration) {
    let min_duration = longest_deadline + MIN_SHUTDOWN_EXTRA;
    tokio::join!(handler.shut_down(longest_deadline), sleep(min_duration));
    while !clients.is_empty() {
        sleep(IDLE_CHECK_INTERVAL).await;
    }
}

fn longest_deadline(config: &PlatformConfig) -> Duration {
    let deadlines = config.settings.classes.iter().map(|class| class.deadline);
    Duration::from_nanos(deadlines.max().unwrap_or(0))
}

fn client_timeouts(longest_deadline: Duration) -> ClientTimeouts {
    ClientTimeouts {
        receive: RECEIVE_TIMEOUT,
        idle: IDLE_TIMEOUT,
        busy: SharedTimeout::new(longest_deadline + RESPONSE_READ_TIME),
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

/// Reads the configuration again at each SIGHUP. If it is valid, its discovery address is applied
/// and nothing else.
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
