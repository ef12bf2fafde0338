//! The pool of idle connections to servers, and the opening of new ones within the limits.

use super::connection::{ConnectionGuards, PoolKey, Target, UpstreamConnection};
use super::connection_limits::{ClusterLimits, ConnectionCounter, ConnectionUse};
use super::response::UpstreamProtocol;
use super::write_progress::WriteProgress;
use crate::budget::ResourceBudget;
use crate::endpoints::Endpoints;
use crate::headers::HEADERS_MAX;
use crate::memory::MemoryBudget;
use crate::tcp::ObservedStream;
use bytes::Bytes;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use mintshelf_balancer::api::{Outcome, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Waker};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{timeout_at, Instant};

/// Maximum length of a response head, and of the HTTP library's buffer in each direction, in bytes.
const BUFFER_MAX: usize = 32 << 10;
/// Maximum number of idle connections that are closed at once because others wait for memory.
const MAX_MEMORY_EVICTIONS: usize = 8;
/// Fraction of the servers' idle timeout after which this side closes an idle connection, so that
/// no request is sent while the server closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The idle connections to the servers of all clusters, and the budget of descriptors that all
/// upstream connections share.
pub struct ConnectionPool {
    /// Idle connections by server, not by address: requests to a server that took over the address
    /// of another server would otherwise be sent on connections to the previous server.
    idle: RefCell<HashMap<PoolKey, VecDeque<UpstreamConnection>>>,
    descriptors: Arc<Semaphore>,
    memory: Rc<MemoryBudget>,
    last_cluster_number: Cell<u32>,
}

impl ConnectionPool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(budget: &ResourceBudget) -> Rc<Self> {
        let pool = Rc::new(ConnectionPool {
            idle: RefCell::default(),
            descriptors: budget.upstream.clone(),
            memory: budget.memory.clone(),
            last_cluster_number: Cell::new(0),
        });
        let shortage_pool = Rc::downgrade(&pool);
        budget.memory.on_shortage(move || {
            if let Some(pool) = shortage_pool.upgrade() {
                (0..MAX_MEMORY_EVICTIONS).for_each(|_| pool.evict_longest_idle(None));
            }
        });
        pool
    }

    /// Closes the connection that has been idle the longest, of one cluster or of all.
    fn evict_longest_idle(&self, cluster: Option<u32>) {
        let mut idle = self.idle.borrow_mut();
        let in_scope =
            idle.iter_mut().filter(|(key, _)| cluster.is_none_or(|cluster| key.cluster == cluster));
        let queues = in_scope.map(|(_, queue)| queue).filter(|queue| !queue.is_empty());
        if let Some(queue) = queues.min_by_key(|queue| queue[0].idle_since) {
            queue.pop_front();
        }
    }
}

/// Bounds of the connection that a request uses.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ConnectionBounds {
    /// Maximum time to establish a new connection, if shorter than the cluster's connect timeout.
    pub(crate) connect_timeout: Option<Duration>,
    /// A connection that has been idle for longer is not used.
    pub(crate) max_idle: Option<Duration>,
}

/// Settings of the connections to one cluster.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Time after which the servers close idle connections.
    pub idle_timeout: Duration,
    /// The protocol of the servers' responses.
    pub protocol: UpstreamProtocol,
    /// Limits on the number of connections.
    pub limits: ClusterLimits,
}

/// The connections to one cluster's servers.
pub struct Upstream {
    pool: Rc<ConnectionPool>,
    endpoints: Endpoints,
    cluster: u32,
    connect_timeout: Duration,
    idle_timeout: Duration,
    pub(super) protocol: UpstreamProtocol,
    counter: Rc<ConnectionCounter>,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.pool.idle.borrow_mut().retain(|key, _| key.cluster != self.cluster);
    }
}

impl Upstream {
    /// Creates the upstream side of a cluster, whose servers are listed in `endpoints`.
    pub fn new(
        pool: Rc<ConnectionPool>,
        endpoints: Endpoints,
        settings: UpstreamSettings,
    ) -> Rc<Self> {
        let cluster = pool.last_cluster_number.get() + 1;
        pool.last_cluster_number.set(cluster);
        Rc::new(Upstream {
            pool,
            endpoints,
            cluster,
            connect_timeout: settings.connect_timeout,
            idle_timeout: settings.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            protocol: settings.protocol,
            counter: ConnectionCounter::new(settings.limits),
        })
    }

    /// Waits until no endpoint list is arriving, for a bounded time.
    pub(super) async fn wait_for_arriving_list(&self) {
        self.endpoints.arrival().wait_until_applied().await;
    }

    /// Returns whether a server still takes requests, at the same address as when it was chosen.
    pub(super) fn takes_requests(&self, target: Target) -> bool {
        self.endpoints.takes_requests(target.server, target.address)
    }

    /// Returns a server with its address, if it is listed.
    pub fn target(&self, server: ServerId) -> Option<Target> {
        let address = self.endpoints.address(server)?;
        Some(Target { server, address })
    }

    /// Returns the memory budget of the process.
    pub(crate) fn memory(&self) -> &Rc<MemoryBudget> {
        &self.pool.memory
    }

    /// Returns the number of listed servers.
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the cluster's number, which the pool never assigns again.
    pub fn cluster_number(&self) -> u32 {
        self.cluster
    }

    fn key(&self, server: ServerId) -> PoolKey {
        PoolKey { cluster: self.cluster, server }
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.idle.borrow_mut().remove(&self.key(server));
    }

    /// Closes idle connections that the server has closed or that have reached their idle timeout.
    pub fn close_dead(&self) {
        self.pool.idle.borrow_mut().retain(|key, queue| {
            if key.cluster == self.cluster {
                queue.retain(UpstreamConnection::is_alive);
            }
            !queue.is_empty()
        });
    }

    fn take_idle(&self, target: Target, max_idle: Option<Duration>) -> Option<UpstreamConnection> {
        let mut idle = self.pool.idle.borrow_mut();
        let queue = idle.get_mut(&self.key(target.server))?;
        // The most recently used one, so that connections that are not needed reach their timeout.
        while let Some(connection) = queue.pop_back() {
            if connection.target != target || !connection.is_alive() {
                continue;
            }
            if max_idle.is_none_or(|max| connection.idle_since.elapsed() <= max) {
                return Some(connection);
            }
            // The others have been idle even longer. Classes with a longer bound may still use them.
            queue.push_back(connection);
            return None;
        }
        None
    }

    /// Returns an idle connection, or opens one.
    pub(super) async fn acquire(
        &self,
        target: Target,
        bounds: ConnectionBounds,
    ) -> Result<UpstreamConnection, Outcome> {
        match self.take_idle(target, bounds.max_idle) {
            Some(connection) => Ok(connection),
            None => self.connect(target, bounds.connect_timeout, ConnectionUse::Requests).await,
        }
    }

    /// Returns a connection to the pool after its exchange, if it can carry another request.
    pub(crate) fn release(&self, mut connection: UpstreamConnection) {
        let mut cx = Context::from_waker(Waker::noop());
        connection.claim = None;
        if self.memory().is_low() && connection.progress.has_large_buffers() {
            // An idle connection would keep the buffers.
            return;
        }
        if self.takes_requests(connection.target) && connection.is_reusable(&mut cx) {
            connection.idle_since = Instant::now();
            let mut idle = self.pool.idle.borrow_mut();
            idle.entry(connection.key).or_default().push_back(connection);
        }
    }

    /// Opens a new connection to the server of `target`.
    ///
    /// # Errors
    /// [`Outcome::Unused`] if a limit is reached or no descriptor is free in time, which says nothing
    /// about the server; [`Outcome::ConnectFailed`] if the server does not accept in time.
    pub(super) async fn connect(
        &self,
        target: Target,
        max_wait: Option<Duration>,
        usage: ConnectionUse,
    ) -> Result<UpstreamConnection, Outcome> {
        let wait = max_wait.map_or(self.connect_timeout, |wait| wait.min(self.connect_timeout));
        if self.counter.is_cluster_full(usage) {
            self.pool.evict_longest_idle(Some(self.cluster));
        }
        if self.counter.is_cluster_full(usage)
            || self.counter.is_endpoint_full(target.server, usage)
        {
            // The request has not been sent, and another server may be below its limit.
            return Err(Outcome::Unused);
        }
        let permit = self.counter.acquire(target.server, usage);
        if self.pool.descriptors.available_permits() == 0 {
            self.pool.evict_longest_idle(None);
        }
        // A lack of descriptors on this side must not count as a failure of the server. The wait is
        // bounded, so that the choice of the server is not outdated.
        let deadline = Instant::now() + wait;
        let descriptor = self.pool.descriptors.clone().acquire_owned();
        let Ok(Ok(descriptor)) = timeout_at(deadline, descriptor).await else {
            return Err(Outcome::Unused);
        };
        let guards = ConnectionGuards { _descriptor: descriptor, _connection: permit };
        let connection = timeout_at(deadline, self.open(target, guards)).await.ok().flatten();
        connection.ok_or(Outcome::ConnectFailed)
    }

    async fn open(&self, target: Target, guards: ConnectionGuards) -> Option<UpstreamConnection> {
        let stream = TcpStream::connect(target.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let stream = Rc::new(RefCell::new(stream));
        let progress = Rc::new(WriteProgress::default());
        let observed = ObservedStream::new(stream.clone(), progress.clone(), Bytes::new());
        let observed = observed.admitted_by(self.memory());
        let mut builder = Builder::new();
        builder.max_buf_size(BUFFER_MAX);
        if self.protocol == UpstreamProtocol::Platform {
            builder.max_headers(HEADERS_MAX);
        }
        let (sender, driver) = builder.handshake(TokioIo::new(observed)).await.ok()?;
        Some(UpstreamConnection {
            sender,
            driver: Some(Box::pin(driver)),
            stream,
            progress,
            memory: self.memory().clone(),
            claim: None,
            target,
            key: self.key(target.server),
            idle_since: Instant::now(),
            idle_timeout: self.idle_timeout,
            guards,
        })
    }
}
