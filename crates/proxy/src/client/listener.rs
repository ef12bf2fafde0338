//! Accepts clients' connections, as far as there is capacity for them.

use super::accept_queue::AcceptQueue;
use super::connection::ClientTimeouts;
use super::handler::RequestHandler;
use super::registry::Clients;
use super::serve::ConnectionServer;
use crate::budget::ResourceBudget;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Connections that the kernel holds until they are accepted: clients may arrive by the thousand.
/// The kernel reduces it to its own limit.
const BACKLOG: i32 = 4096;
/// When few connections are left, one that has been idle for this long is closed.
const MIN_EVICTION_AGE: Duration = Duration::from_secs(2);
/// Few connections are left when it is less than one in this many.
const LOW_CAPACITY_DIVISOR: usize = 4;
/// Pause after the kernel has no descriptor or memory for a connection, and between two attempts to
/// evict an idle connection while there is no capacity.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts the connections of one listening socket, and has them served by a handler.
pub struct ClientListener<H> {
    server: Rc<ConnectionServer<H>>,
    /// One permit for each connection that the process may have.
    capacity: Arc<Semaphore>,
}

/// Listens on an address.
///
/// # Errors
/// The system's, where the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restart binds the same address while connections of the old process still close.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

impl<H: RequestHandler> ClientListener<H> {
    /// Ready to accept connections, which are added to `clients`; `draining` announces the
    /// shutdown.
    pub fn new(
        handler: Rc<H>,
        clients: Rc<Clients>,
        budget: &ResourceBudget,
        timeouts: ClientTimeouts,
        draining: CancellationToken,
    ) -> Rc<Self> {
        let server = Rc::new(ConnectionServer { handler, clients, timeouts, draining });
        Rc::new(ClientListener { server, capacity: budget.clients.clone() })
    }

    /// Accepts connections; ends only with the program.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let low_capacity = self.capacity.available_permits() / LOW_CAPACITY_DIVISOR;
        let mut queue = AcceptQueue::new(listener);
        loop {
            if self.capacity.available_permits() < low_capacity {
                self.server.clients.evict_one(MIN_EVICTION_AGE);
            }
            match queue.accept(|| self.server.handler.loop_lag()).await {
                Ok(accepted) => {
                    // Accepted before there is capacity for it, so that it is known when it arrived.
                    let Some(permit) = self.acquire_capacity().await else { return };
                    spawn_local(self.server.clone().serve_connection(accepted, permit));
                }
                // Out of descriptors, accept fails at once and for ever.
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Waits for capacity, and evicts an idle connection where there is none; none at the end of
    /// the program.
    async fn acquire_capacity(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.capacity.available_permits() == 0 {
                // With none to evict all are busy, and the kernel keeps the others.
                self.server.clients.evict_one(Duration::ZERO);
            }
            let permit = self.capacity.clone().acquire_owned();
            if let Ok(permit) = timeout(ACCEPT_RETRY_INTERVAL, permit).await {
                return permit.ok();
            }
        }
    }
}
