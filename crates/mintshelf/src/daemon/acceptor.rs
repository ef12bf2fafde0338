//! Accepts client connections at all listeners of the daemon.

use mintshelf_config::model::OperatorConfig;
use mintshelf_proxy::budget::ResourceBudget;
use mintshelf_proxy::client::connection::{ClientTimeouts, SharedTimeout};
use mintshelf_proxy::client::handler::RequestHandler;
use mintshelf_proxy::client::listener::ClientListener;
use mintshelf_proxy::client::registry::Clients;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, AbortHandle};
use tokio_util::sync::CancellationToken;

/// Accepts connections for all listeners, which share a connection budget, a client registry and
/// timeouts.
#[derive(Clone)]
pub(super) struct ClientAcceptor {
    clients: Rc<Clients>,
    budget: Rc<ResourceBudget>,
    timeouts: ClientTimeouts,
}

impl ClientAcceptor {
    /// Creates an acceptor with the timeouts of the configuration.
    pub(super) fn new(
        config: &OperatorConfig,
        clients: Rc<Clients>,
        budget: Rc<ResourceBudget>,
    ) -> Self {
        ClientAcceptor { clients, budget, timeouts: client_timeouts(config) }
    }

    /// Applies the deadlines of a reloaded configuration to the time that a request may take, also on
    /// open connections. The time is never shortened, as requests in flight keep their deadlines.
    pub(super) fn reload(&self, config: &OperatorConfig, stream_timeout: Duration) {
        self.timeouts.busy.raise(busy_timeout(config, stream_timeout));
    }

    /// Spawns a task that accepts the connections of a listener and serves them with a handler.
    /// Once `draining` is cancelled, connections are closed after their open requests.
    pub(super) fn accept<H: RequestHandler>(
        &self,
        handler: Rc<H>,
        listener: TcpListener,
        draining: CancellationToken,
    ) -> AbortHandle {
        let clients = self.clients.clone();
        let timeouts = self.timeouts.clone();
        let client_listener =
            ClientListener::new(handler, clients, &self.budget, timeouts, draining);
        spawn_local(async move { client_listener.accept(listener).await }).abort_handle()
    }

    /// Returns the longest time for which a connection stays open if its client neither sends nor
    /// reads.
    pub(super) fn max_connection_close_time(&self) -> Duration {
        self.timeouts.busy.get() + self.timeouts.idle
    }
}

fn client_timeouts(config: &OperatorConfig) -> ClientTimeouts {
    let limits = &config.limits;
    ClientTimeouts {
        receive: limits.head_timeout,
        idle: limits.idle_timeout,
        busy: SharedTimeout::new(busy_timeout(config, limits.stream_timeout)),
        is_extended_by_progress: true,
        allows_half_close: !limits.abort_on_close,
    }
}

/// Returns the maximum time of a request without progress. It is restarted by each byte that is
/// transferred, so that it limits inactivity and not the size of a request or response.
fn busy_timeout(config: &OperatorConfig, stream_timeout: Duration) -> Duration {
    let longest_deadline = config.classes.values().map(|class| class.deadline).max();
    longest_deadline.unwrap_or_default() + stream_timeout
}
