//! The daemon, which serves requests as configured by an operator's file and applies each valid
//! reload of it.

mod acceptor;
mod applied_config;
mod clusters;
mod listeners;
mod reload_counts;
mod reload_error;
mod running_cluster;
mod serving;
mod startup_settings;

use crate::allocator::allocated_bytes;
use crate::config_file;
use crate::random::random_u64;
use acceptor::ClientAcceptor;
use applied_config::AppliedConfig;
use clusters::{ClusterSet, IDLE_CHECK_INTERVAL};
use listeners::{HandlerResources, ListenerSet, OpenListener, LISTENER_CLOSE_DELAY};
use mintshelf_admission::slots::SlotConfig;
use mintshelf_balancer::api::ServerId;
use mintshelf_config::admission::{admission_config, slot_config};
use mintshelf_config::model::OperatorConfig;
use mintshelf_proxy::budget::ResourceBudget;
use mintshelf_proxy::client::handler::RequestHandler;
use mintshelf_proxy::client::registry::Clients;
use mintshelf_proxy::gateway::admission::AdmissionController;
use mintshelf_proxy::gateway::stats::ProxyStats;
use mintshelf_proxy::memory::{MemoryBudget, MemoryMonitor, MemoryReport};
use mintshelf_proxy::upstream::pool::ConnectionPool;
use mintshelf_proxy::websocket::registry::SocketRegistry;
use mintshelf_time::from_duration;
use reload_counts::ReloadCounts;
pub use reload_error::ReloadError;
pub use running_cluster::{ClusterAttempts, ClusterUsage};
use serde_json::Value;
use serving::{listener_routes, SharedSettings};
use startup_settings::StartupSettings;
use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The daemon: owns the listeners and clusters of the applied configuration, and the state that is
/// kept across reloads.
pub struct Daemon {
    /// Path of the operator's file.
    path: PathBuf,
    /// `None` until the first configuration is applied.
    applied: RefCell<Option<AppliedConfig>>,
    clusters: RefCell<ClusterSet>,
    listeners: RefCell<ListenerSet>,
    acceptor: ClientAcceptor,
    startup: StartupSettings,
    reloads: ReloadCounts,
    /// Cancelled when the daemon shuts down.
    shutdown: CancellationToken,
    /// Enforces the limits of tenants, routes and clusters, and counts their usage.
    pub admission: Rc<AdmissionController>,
    /// The registry of the open WebSocket connections of all listeners.
    pub sockets: Rc<SocketRegistry>,
    /// The registry of the open client connections of all listeners.
    pub clients: Rc<Clients>,
    /// The memory that the process may allocate.
    pub memory: Rc<MemoryBudget>,
    /// Counters of requests and responses of all listeners, for the metrics.
    pub stats: Rc<ProxyStats>,
}

impl Daemon {
    /// Starts the daemon with an initial configuration, which was read from `path`.
    ///
    /// # Errors
    /// Returns an error if the configuration cannot be applied.
    pub fn start(path: PathBuf, config: OperatorConfig) -> Result<Rc<Self>, ReloadError> {
        let daemon = Rc::new(Daemon::new(path, &config));
        daemon.apply(config)?;
        Ok(daemon)
    }

    fn new(path: PathBuf, config: &OperatorConfig) -> Self {
        let startup = StartupSettings::of(config);
        let limits = &startup.limits;
        let memory = MemoryBudget::new(limits.memory_bytes, allocated_bytes);
        let budget = Rc::new(ResourceBudget::new(limits.file_descriptors, memory));
        let clients: Rc<Clients> = Rc::default();
        clients.relieve_shortages(&budget.memory);
        let stats: Rc<ProxyStats> = Rc::default();
        let sockets = SocketRegistry::new(startup.socket_queue_bytes(), random_u64());
        let connections = ConnectionPool::new(&budget);
        let seed = random_u64();
        let acceptor = ClientAcceptor::new(config, clients.clone(), budget.clone());
        let clusters = ClusterSet::new(connections, sockets.clone(), limits.stream_timeout, seed);
        let listeners = ListenerSet::new(HandlerResources {
            acceptor: acceptor.clone(),
            body_budgets: budget.for_bodies(),
            stats: stats.clone(),
            sockets: sockets.clone(),
            socket_drain: limits.websocket_drain,
            seed,
        });
        Daemon {
            path,
            applied: RefCell::default(),
            clusters: RefCell::new(clusters),
            listeners: RefCell::new(listeners),
            acceptor,
            startup,
            reloads: ReloadCounts::default(),
            shutdown: CancellationToken::new(),
            admission: Rc::default(),
            sockets,
            clients,
            memory: budget.memory.clone(),
            stats,
        }
    }

    /// Returns what the allocated memory is used for.
    pub fn memory_report(&self) -> MemoryReport {
        MemoryReport::read(&self.memory, &self.clients)
    }

    /// Logs a warning each time most of the memory is used up; never returns.
    pub async fn warn_of_memory(&self) {
        let monitor = MemoryMonitor::new(self.memory.clone(), self.clients.clone());
        let limit_bytes = self.memory.limit();
        monitor.run(|report| tracing::warn!(%report, limit_bytes, "memory is short")).await;
    }

    /// Reads the file again and applies it. If it is rejected, the previous configuration stays
    /// applied.
    pub fn reload(&self) {
        let read = config_file::read(&self.path).map_err(ReloadError::from);
        let file = self.path.display();
        match read.and_then(|config| self.apply(config)) {
            Ok(()) => {
                self.reloads.count_applied();
                tracing::info!(%file, "configuration applied");
            }
            Err(error) => {
                self.reloads.count_rejected();
                let lines = error.lines();
                lines.iter().for_each(|line| tracing::error!("{line}"));
                tracing::error!(%file, errors = lines.len(), "configuration rejected");
            }
        }
    }

    /// Applies a configuration completely or not at all, without an await, so that no request is
    /// served by a partly applied configuration.
    fn apply(&self, config: OperatorConfig) -> Result<(), ReloadError> {
        let routes = listener_routes(&config)?;
        let mut sockets = self.listeners.borrow().open_new_sockets(&config)?;
        // Nothing fails after this point.
        self.clusters.borrow_mut().apply(&config);
        self.acceptor.reload(&config, self.startup.limits.stream_timeout);
        let listeners = &mut *self.listeners.borrow_mut();
        listeners.close_removed(&config);
        let admission = self.apply_limits(&config);
        let handles = self.clusters.borrow().handles();
        let shared = SharedSettings::new(&config, handles, admission);
        for listener_routes in routes {
            let listener = listener_routes.listener;
            let serving = Rc::new(shared.serving_config(listener_routes));
            let socket = sockets.remove(&listener.address);
            listeners.apply(listener, serving, socket);
        }
        if self.startup != StartupSettings::of(&config) {
            tracing::warn!("changes of limits, admin and fleet take effect at the next start");
        }
        self.applied.replace(Some(AppliedConfig::new(config)));
        Ok(())
    }

    /// Applies the limits of a configuration. Returns the admission controller if there are any.
    fn apply_limits(&self, config: &OperatorConfig) -> Option<Rc<AdmissionController>> {
        let admission = admission_config(config);
        self.admission.configure(&admission);
        let capacity = self.startup.limits.max_websockets;
        self.sockets.configure(SlotConfig { capacity, ..slot_config(config) });
        (!admission.is_empty()).then(|| self.admission.clone())
    }

    /// Serves a listener that is not part of the configuration, until the shutdown.
    pub fn serve(&self, handler: Rc<impl RequestHandler>, listener: TcpListener) {
        self.acceptor.accept(handler, listener, self.shutdown.clone());
    }

    /// Shuts down gracefully: stops accepting connections and completes the open requests.
    pub async fn shut_down(&self) {
        self.shutdown.cancel();
        let listeners = self.listeners.borrow_mut().drain_all();
        self.drain_sockets();
        sleep(LISTENER_CLOSE_DELAY).await;
        // Drains the WebSocket connections whose handshake was in progress at the first call.
        self.drain_sockets();
        listeners.iter().for_each(OpenListener::stop_accepting);
        let all_idle = async {
            while !self.is_idle() {
                sleep(IDLE_CHECK_INTERVAL).await;
            }
        };
        // Clients that neither send nor disconnect are waited for no longer than their timeouts.
        let max_wait =
            self.acceptor.max_connection_close_time() + self.startup.limits.websocket_drain;
        if timeout(max_wait, all_idle).await.is_err() {
            tracing::debug!("shutdown complete with connections open");
        }
    }

    fn drain_sockets(&self) {
        self.sockets.drain(None, from_duration(self.startup.limits.websocket_drain));
    }

    /// Returns whether no request and no client connection is open.
    fn is_idle(&self) -> bool {
        self.clusters.borrow().is_idle() && self.clients.is_empty()
    }

    /// Returns the metric label of each reload result, and its count.
    pub fn reloads(&self) -> [(&'static str, u64); 2] {
        self.reloads.by_label()
    }

    /// Returns the number of requests by route since the start, including routes of earlier
    /// configurations.
    pub fn requests_by_route(&self) -> Vec<(String, u64)> {
        self.listeners.borrow().requests_by_route()
    }

    /// Returns the open requests, timers, endpoints and recovery state of each cluster.
    pub fn cluster_usage(&self) -> Vec<ClusterUsage> {
        self.clusters.borrow().usage()
    }

    /// Returns the attempt counters of each cluster.
    pub fn cluster_attempts(&self) -> Vec<ClusterAttempts> {
        self.clusters.borrow().attempts()
    }

    /// Returns the address of a cluster's endpoint, or an empty string if it is no longer listed.
    pub fn endpoint_address(&self, cluster: &str, server: ServerId) -> String {
        let address = self.clusters.borrow().endpoint_address(cluster, server);
        address.map_or(String::new(), |address| address.to_string())
    }

    /// Returns the applied configuration as shown at `/-/config`.
    pub fn applied_config(&self) -> Value {
        let applied = self.applied.borrow();
        let Some(applied) = &*applied else { return Value::Null };
        applied.to_json(&self.path, &self.listeners.borrow(), &self.clusters.borrow())
    }
}
