//! The daemon: serves by an operator's file until the next valid version is applied.

mod apply;
mod clusters;
mod listeners;
mod reload_error;
mod status;

use crate::config_file;
use clusters::RunningCluster;
use listeners::OpenListener;
use mintshelf_config::model::{FleetConfig, OperatorConfig, ProcessLimits, SOCKET_QUEUE_SHARE};
use mintshelf_proxy::budget::ResourceBudget;
use mintshelf_proxy::client::connection::ClientTimeouts;
use mintshelf_proxy::client::registry::Clients;
use mintshelf_proxy::gateway::admission::AdmissionController;
use mintshelf_proxy::gateway::stats::ProxyStats;
use mintshelf_proxy::upstream::pool::ConnectionPool;
use mintshelf_proxy::websocket::registry::SocketRegistry;
pub use reload_error::ReloadError;
pub use status::ClusterUsage;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Time for which a listener that is closed goes on accepting: connections on their way are
/// answered, and told to close.
const LISTENER_LINGER: Duration = Duration::from_millis(500);
/// Time between two checks whether the last request has ended.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The daemon: the applied configuration, and what outlives a reload.
pub struct Daemon {
    /// The operator's file.
    path: PathBuf,
    state: RefCell<State>,
    budget: ResourceBudget,
    /// Limits of tenants, routes and clusters, and their usage.
    pub admission: Rc<AdmissionController>,
    connections: Rc<ConnectionPool>,
    client_timeouts: ClientTimeouts,
    startup: StartupSettings,
    /// Cancelled when the daemon shuts down.
    shutdown: CancellationToken,
    /// All open WebSocket connections.
    pub sockets: Rc<SocketRegistry>,
    /// All connections of clients.
    pub clients: Rc<Clients>,
    /// Counters of requests and responses.
    pub stats: Rc<ProxyStats>,
    reloads: ReloadCounts,
    /// Keeps the ids of two runs apart.
    seed: u64,
}

/// What a configuration in force consists of.
#[derive(Default)]
struct State {
    config: Option<OperatorConfig>,
    applied_at: Option<SystemTime>,
    listeners: BTreeMap<SocketAddr, OpenListener>,
    clusters: BTreeMap<String, RunningCluster>,
}

/// Settings that cannot change while the program runs, as the first configuration has them.
#[derive(PartialEq)]
struct StartupSettings {
    limits: ProcessLimits,
    admin: Option<SocketAddr>,
    fleet: Option<FleetConfig>,
}

impl StartupSettings {
    fn of(config: &OperatorConfig) -> Self {
        StartupSettings {
            limits: config.limits.clone(),
            admin: config.admin,
            fleet: config.fleet.clone(),
        }
    }
}

/// Reloads by their result.
#[derive(Default)]
struct ReloadCounts {
    applied: Cell<u64>,
    rejected: Cell<u64>,
}

/// A number from the random numbers of the operating system.
fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Daemon {
    /// Applies a first configuration, which was read from `path`.
    ///
    /// # Errors
    /// The configuration cannot be applied.
    pub fn start(path: PathBuf, config: OperatorConfig) -> Result<Rc<Self>, ReloadError> {
        let budget =
            ResourceBudget::new(config.limits.file_descriptors, config.limits.memory_bytes);
        let socket_queue_bytes = config.limits.memory_bytes as f64 * SOCKET_QUEUE_SHARE;
        let daemon = Rc::new(Daemon {
            path,
            state: RefCell::default(),
            connections: ConnectionPool::new(&budget),
            budget,
            admission: Rc::default(),
            client_timeouts: client_timeouts(&config),
            sockets: SocketRegistry::new(socket_queue_bytes as usize, random_number()),
            startup: StartupSettings::of(&config),
            shutdown: CancellationToken::new(),
            clients: Rc::default(),
            stats: Rc::default(),
            reloads: ReloadCounts::default(),
            seed: random_number(),
        });
        daemon.apply(config)?;
        Ok(daemon)
    }

    /// Reads the file again and applies it; one that is rejected changes nothing.
    pub fn reload(&self) {
        let read = config_file::read(&self.path).map_err(ReloadError::from);
        let file = self.path.display();
        match read.and_then(|config| self.apply(config)) {
            Ok(()) => {
                increment(&self.reloads.applied);
                tracing::info!(%file, "configuration applied");
            }
            Err(error) => {
                increment(&self.reloads.rejected);
                let lines = error.lines();
                lines.iter().for_each(|line| tracing::error!("{line}"));
                tracing::error!(%file, errors = lines.len(), "configuration rejected");
            }
        }
    }

    /// Shuts down gracefully: no further client is accepted, and open requests are answered.
    pub async fn shut_down(&self) {
        self.shutdown.cancel();
        let listeners = std::mem::take(&mut self.state.borrow_mut().listeners);
        listeners.values().for_each(|listener| listener.draining.cancel());
        self.sockets.drain(None, self.socket_drain_ns());
        sleep(LISTENER_LINGER).await;
        // Those whose handshake was under way.
        self.sockets.drain(None, self.socket_drain_ns());
        listeners.values().for_each(|listener| listener.accepting.abort());
        let all_idle = async {
            while !self.is_idle() {
                sleep(IDLE_CHECK_INTERVAL).await;
            }
        };
        // Clients that neither send nor leave are not waited for beyond their timeouts.
        let timeouts = &self.client_timeouts;
        let max_wait = timeouts.busy + timeouts.idle + self.startup.limits.websocket_drain;
        let _ = timeout(max_wait, all_idle).await;
    }

    /// Whether no request and no connection of a client is open.
    fn is_idle(&self) -> bool {
        let clusters = &self.state.borrow().clusters;
        clusters.values().all(RunningCluster::is_idle) && self.clients.is_empty()
    }
}

fn client_timeouts(config: &OperatorConfig) -> ClientTimeouts {
    let limits = &config.limits;
    let longest_deadline = config.classes.values().map(|class| class.deadline).max();
    ClientTimeouts {
        receive: limits.head_timeout,
        idle: limits.idle_timeout,
        // Each byte that passes starts it again, so that it bounds silence and not size.
        busy: longest_deadline.unwrap_or_default() + limits.stream_timeout,
        is_extended_by_progress: true,
        allows_half_close: !limits.abort_on_close,
    }
}
