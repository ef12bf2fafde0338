//! Accepts client connections while there is capacity, and evicts idle ones when there is none.

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

/// Length of the kernel's accept queue: thousands of clients may connect at once. The kernel caps
/// the length at its own limit.
const BACKLOG: i32 = 4096;
/// Minimum time in its current phase after which a connection may be evicted while capacity is low.
const MIN_EVICTION_AGE: Duration = Duration::from_secs(2);
/// Capacity is low when less than one in this many connections is left.
const LOW_CAPACITY_DIVISOR: usize = 4;
/// Delay after a failed accept, for example for lack of descriptors or memory, and between two
/// attempts to evict an idle connection while there is no capacity.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts the connections of one listening socket and serves them with a handler.
pub struct ClientListener<H> {
    server: Rc<ConnectionServer<H>>,
    /// One permit for each client connection that the process may have.
    capacity: Arc<Semaphore>,
}

/// Opens a listening socket.
///
/// # Errors
/// The error of the system call that failed, for example if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // After a restart, connections of the old process may still be closing on this address.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

impl<H: RequestHandler> ClientListener<H> {
    /// Creates a listener that adds its connections to `clients`. `draining` is cancelled to
    /// announce the shutdown.
    pub fn new(
        handler: Rc<H>,
        clients: Rc<Clients>,
        budget: &ResourceBudget,
        timeouts: ClientTimeouts,
        draining: CancellationToken,
    ) -> Rc<Self> {
        let memory = budget.memory.clone();
        let server = Rc::new(ConnectionServer { handler, clients, timeouts, memory, draining });
        Rc::new(ClientListener { server, capacity: budget.clients.clone() })
    }

    /// Accepts connections until the process ends.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener) {
        let low_capacity = self.capacity.available_permits() / LOW_CAPACITY_DIVISOR;
        let mut queue = AcceptQueue::new(listener);
        loop {
            if self.capacity.available_permits() < low_capacity {
                self.server.clients.evict_one(MIN_EVICTION_AGE);
            }
            match queue.accept(|| self.server.handler.loop_lag()).await {
                Ok(accepted) => {
                    // The connection is accepted before there is capacity, to know its time of
                    // arrival.
                    let Some(permit) = self.acquire_capacity().await else { return };
                    spawn_local(self.server.clone().serve_connection(accepted, permit));
                }
                // While no descriptor is left, accept keeps failing immediately.
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Waits for capacity, and evicts idle connections while there is none. Returns `None` if the
    /// semaphore is closed.
    async fn acquire_capacity(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            if self.capacity.available_permits() == 0 {
                self.server.clients.make_room();
            }
            let permit = self.capacity.clone().acquire_owned();
            if let Ok(permit) = timeout(ACCEPT_RETRY_INTERVAL, permit).await {
                return permit.ok();
            }
        }
    }
}
