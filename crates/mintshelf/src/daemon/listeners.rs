//! Opens, reconfigures and closes the listeners of the applied configuration.

use super::acceptor::ClientAcceptor;
use super::reload_error::ReloadError;
use mintshelf_config::model::{Listener, OperatorConfig};
use mintshelf_proxy::budget::BodyBudgets;
use mintshelf_proxy::client::listener::listen;
use mintshelf_proxy::gateway::config::ServingConfig;
use mintshelf_proxy::gateway::handler::{GatewayHandler, GatewaySettings};
use mintshelf_proxy::gateway::stats::ProxyStats;
use mintshelf_proxy::websocket::registry::SocketRegistry;
use mintshelf_time::from_duration;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time for which a closed listener still accepts connections. Clients that are just connecting get
/// a response that asks them to close the connection.
pub(super) const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(500);

/// A listener of the applied configuration.
pub(super) struct OpenListener {
    handler: Rc<GatewayHandler>,
    /// Name of the listener in the configuration.
    name: String,
    /// The task that accepts connections.
    accept_task: AbortHandle,
    /// Cancelled when the connections of the listener must be closed.
    draining: CancellationToken,
}

impl OpenListener {
    /// Aborts the task that accepts new connections; those already accepted stay open.
    pub(super) fn stop_accepting(&self) {
        self.accept_task.abort();
    }
}

/// The listeners of the applied configuration and the shared resources of their handlers.
pub(super) struct ListenerSet {
    listeners: BTreeMap<SocketAddr, OpenListener>,
    handlers: HandlerResources,
}

/// The resources that the handlers of all listeners share.
pub(super) struct HandlerResources {
    pub(super) acceptor: ClientAcceptor,
    /// Limits the request bodies in memory.
    pub(super) body_budgets: BodyBudgets,
    pub(super) stats: Rc<ProxyStats>,
    pub(super) sockets: Rc<SocketRegistry>,
    /// Time within which the WebSocket connections of a closed listener are drained.
    pub(super) socket_drain: Duration,
    /// Random number that makes the ids of this process differ from the ids of other processes.
    pub(super) seed: u64,
}

impl ListenerSet {
    /// Creates an empty set.
    pub(super) fn new(handlers: HandlerResources) -> Self {
        ListenerSet { listeners: BTreeMap::new(), handlers }
    }

    /// Returns the name and address of each listener.
    pub(super) fn names(&self) -> impl Iterator<Item = (&str, &SocketAddr)> {
        let listeners = self.listeners.iter();
        listeners.map(|(address, listener)| (listener.name.as_str(), address))
    }

    /// Returns the number of requests by route since the start, including routes of earlier
    /// configurations.
    pub(super) fn requests_by_route(&self) -> Vec<(String, u64)> {
        let mut requests = self.handlers.stats.routes.borrow().clone();
        for listener in self.listeners.values() {
            for (route, count) in listener.handler.config().hits() {
                *requests.entry(route.to_string()).or_default() += count;
            }
        }
        requests.into_iter().collect()
    }

    /// Removes all listeners; their connections are closed after their open requests. They still
    /// accept connections until [`OpenListener::stop_accepting`].
    pub(super) fn drain_all(&mut self) -> Vec<OpenListener> {
        let listeners: Vec<_> = std::mem::take(&mut self.listeners).into_values().collect();
        listeners.iter().for_each(|listener| listener.draining.cancel());
        listeners
    }

    /// Opens sockets for the listeners of a configuration that are not open yet.
    pub(super) fn open_new_sockets(
        &self,
        config: &OperatorConfig,
    ) -> Result<HashMap<SocketAddr, TcpListener>, ReloadError> {
        let is_new = |listener: &&Listener| !self.listeners.contains_key(&listener.address);
        let mut sockets = HashMap::new();
        for Listener { name, address, .. } in config.listeners.iter().filter(is_new) {
            let socket = listen(*address).map_err(|source| ReloadError::Listener {
                name: name.clone(),
                address: *address,
                source,
            })?;
            sockets.insert(*address, socket);
        }
        Ok(sockets)
    }

    /// Closes the listeners that a configuration no longer has, after their open requests.
    pub(super) fn close_removed(&mut self, config: &OperatorConfig) {
        let is_removed = |address: &SocketAddr| {
            config.listeners.iter().all(|listener| listener.address != *address)
        };
        let removed: Vec<_> = self.listeners.keys().copied().filter(is_removed).collect();
        for address in removed {
            if let Some(listener) = self.listeners.remove(&address) {
                self.close(listener);
            }
        }
    }

    fn close(&self, listener: OpenListener) {
        listener.draining.cancel();
        let listener_id = listener.handler.listener_id();
        self.handlers.sockets.drain(Some(listener_id), from_duration(self.handlers.socket_drain));
        spawn_local(async move {
            sleep(LISTENER_CLOSE_DELAY).await;
            listener.stop_accepting();
        });
    }

    /// Applies the settings of a listener. A new listener is started on `socket`, which was opened
    /// for it.
    pub(super) fn apply(
        &mut self,
        listener: &Listener,
        serving: Rc<ServingConfig>,
        socket: Option<TcpListener>,
    ) {
        if let Some(open) = self.listeners.get_mut(&listener.address) {
            open.handler.replace_config(serving);
            open.name = listener.name.clone();
        } else if let Some(socket) = socket {
            let open = self.start(listener, serving, socket);
            self.listeners.insert(listener.address, open);
        }
    }

    fn start(
        &self,
        listener: &Listener,
        serving: Rc<ServingConfig>,
        socket: TcpListener,
    ) -> OpenListener {
        let HandlerResources { acceptor, body_budgets, stats, sockets, seed, .. } = &self.handlers;
        let handler = GatewayHandler::new(GatewaySettings {
            config: serving,
            body_budgets: body_budgets.clone(),
            stats: stats.clone(),
            sockets: sockets.clone(),
            seed: *seed,
        });
        let draining = CancellationToken::new();
        let accept_task = acceptor.accept(handler.clone(), socket, draining.clone());
        OpenListener { handler, name: listener.name.clone(), accept_task, draining }
    }
}
