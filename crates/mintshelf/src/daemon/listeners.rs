//! Listeners: accepting clients, and closing listeners that a configuration no longer has.

use super::{Daemon, ReloadError, State, LISTENER_LINGER};
use mintshelf_config::model::{Listener, OperatorConfig};
use mintshelf_proxy::client::handler::RequestHandler;
use mintshelf_proxy::client::listener::{listen, ClientListener};
use mintshelf_proxy::gateway::config::ServingConfig;
use mintshelf_proxy::gateway::handler::{GatewayHandler, GatewaySettings};
use mintshelf_time::from_duration;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// A listener of the applied configuration.
pub(super) struct OpenListener {
    /// Serves its requests.
    pub(super) handler: Rc<GatewayHandler>,
    /// Its name in the configuration.
    pub(super) name: String,
    /// The task that accepts connections.
    pub(super) accepting: AbortHandle,
    /// Cancelled when its connections have to close.
    pub(super) draining: CancellationToken,
}

impl Daemon {
    /// Serves a handler at a listener that is not of the configuration, until the shutdown.
    pub fn serve(&self, handler: Rc<impl RequestHandler>, listener: TcpListener) {
        self.accept(handler, listener, self.shutdown.clone());
    }

    fn accept<H: RequestHandler>(
        &self,
        handler: Rc<H>,
        listener: TcpListener,
        draining: CancellationToken,
    ) -> AbortHandle {
        let clients = self.clients.clone();
        let timeouts = self.client_timeouts;
        let inbound = ClientListener::new(handler, clients, &self.budget, timeouts, draining);
        spawn_local(async move { inbound.accept(listener).await }).abort_handle()
    }

    /// Opens the sockets of listeners that are not open yet.
    pub(super) fn open_new_sockets(
        &self,
        config: &OperatorConfig,
    ) -> Result<HashMap<SocketAddr, TcpListener>, ReloadError> {
        let state = self.state.borrow();
        let is_new = |listener: &&Listener| !state.listeners.contains_key(&listener.address);
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

    /// Closes the listeners that a configuration no longer has: what is open at them is answered.
    pub(super) fn close_removed_listeners(&self, state: &mut State, config: &OperatorConfig) {
        let is_removed = |address: &SocketAddr| {
            config.listeners.iter().all(|listener| listener.address != *address)
        };
        let removed: Vec<_> = state.listeners.keys().copied().filter(is_removed).collect();
        for address in removed {
            if let Some(listener) = state.listeners.remove(&address) {
                self.close_listener(listener);
            }
        }
    }

    fn close_listener(&self, listener: OpenListener) {
        listener.draining.cancel();
        let listener_id = listener.handler.listener_id();
        self.sockets.drain(Some(listener_id), self.socket_drain_ns());
        spawn_local(async move {
            sleep(LISTENER_LINGER).await;
            listener.accepting.abort();
        });
    }

    /// Serves requests at a listener with these settings from now on, at a socket that was opened
    /// for it if it is new.
    pub(super) fn apply_listener(
        &self,
        state: &mut State,
        listener: &Listener,
        serving: Rc<ServingConfig>,
        socket: Option<TcpListener>,
    ) {
        if let Some(open) = state.listeners.get_mut(&listener.address) {
            open.handler.replace_config(serving);
            open.name = listener.name.clone();
        } else if let Some(socket) = socket {
            let open = self.start_listener(listener, serving, socket);
            state.listeners.insert(listener.address, open);
        }
    }

    fn start_listener(
        &self,
        listener: &Listener,
        serving: Rc<ServingConfig>,
        socket: TcpListener,
    ) -> OpenListener {
        let handler = GatewayHandler::new(GatewaySettings {
            config: serving,
            body_budget: self.budget.bodies.clone(),
            stats: self.stats.clone(),
            sockets: self.sockets.clone(),
            seed: self.seed,
        });
        let draining = CancellationToken::new();
        let accepting = self.accept(handler.clone(), socket, draining.clone());
        OpenListener { handler, name: listener.name.clone(), accepting, draining }
    }

    /// Time within which WebSocket connections are closed at a shutdown, in nanoseconds.
    pub(super) fn socket_drain_ns(&self) -> u64 {
        from_duration(self.startup.limits.websocket_drain)
    }
}
