//! Limits on the connections of a cluster, and counts of its open connections.

use mintshelf_balancer::api::ServerId;
use mintshelf_config::model::ConnectionLimits;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Limits on the connections of a cluster.
#[derive(Debug, Clone, Copy, Default)]
pub struct ClusterLimits {
    /// Limits on all connections.
    pub connections: ConnectionLimits,
    /// Limits on those connections that carry a WebSocket.
    pub sockets: ConnectionLimits,
}

/// The use of a connection, which determines the limits that apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionUse {
    /// HTTP requests, one after another.
    Requests,
    /// A single WebSocket, for the lifetime of the connection.
    Socket,
}

/// Open connections of a cluster or of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct OpenConnections {
    connections: u32,
    sockets: u32,
}

impl OpenConnections {
    fn add(&mut self, usage: ConnectionUse) {
        self.connections += 1;
        match usage {
            ConnectionUse::Requests => {}
            ConnectionUse::Socket => self.sockets += 1,
        }
    }

    fn remove(&mut self, usage: ConnectionUse) {
        self.connections = self.connections.saturating_sub(1);
        match usage {
            ConnectionUse::Requests => {}
            ConnectionUse::Socket => self.sockets = self.sockets.saturating_sub(1),
        }
    }
}

/// Counts the connections of one cluster against its limits.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCounter {
    limits: ClusterLimits,
    cluster: Cell<OpenConnections>,
    endpoints: RefCell<HashMap<ServerId, OpenConnections>>,
}

/// Counts as an open connection until dropped.
#[derive(Debug)]
#[must_use = "the connection counts for as long as this lives"]
pub(crate) struct ConnectionPermit {
    counter: Rc<ConnectionCounter>,
    server: ServerId,
    usage: ConnectionUse,
}

impl ConnectionCounter {
    /// Creates the counter of a cluster without connections.
    pub(crate) fn new(limits: ClusterLimits) -> Rc<Self> {
        Rc::new(ConnectionCounter { limits, ..ConnectionCounter::default() })
    }

    /// Returns whether the cluster has reached its limit for this use.
    pub(crate) fn is_cluster_full(&self, usage: ConnectionUse) -> bool {
        let limits = &self.limits;
        is_full(self.cluster.get(), usage, limits.connections.total, limits.sockets.total)
    }

    /// Returns whether an endpoint has reached its limit for this use.
    pub(crate) fn is_endpoint_full(&self, server: ServerId, usage: ConnectionUse) -> bool {
        let open = self.endpoints.borrow().get(&server).copied().unwrap_or_default();
        let limits = &self.limits;
        is_full(open, usage, limits.connections.per_endpoint, limits.sockets.per_endpoint)
    }

    /// Counts a new connection. The caller has checked the limits.
    pub(crate) fn acquire(
        self: &Rc<Self>,
        server: ServerId,
        usage: ConnectionUse,
    ) -> ConnectionPermit {
        let mut cluster = self.cluster.get();
        cluster.add(usage);
        self.cluster.set(cluster);
        self.endpoints.borrow_mut().entry(server).or_default().add(usage);
        ConnectionPermit { counter: self.clone(), server, usage }
    }
}

/// Returns whether the open connections have reached a limit that applies to this use.
fn is_full(
    open: OpenConnections,
    usage: ConnectionUse,
    max_connections: Option<u32>,
    max_sockets: Option<u32>,
) -> bool {
    let reached = |open: u32, max: Option<u32>| max.is_some_and(|max| open >= max);
    reached(open.connections, max_connections)
        || usage == ConnectionUse::Socket && reached(open.sockets, max_sockets)
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut cluster = self.counter.cluster.get();
        cluster.remove(self.usage);
        self.counter.cluster.set(cluster);
        let mut endpoints = self.counter.endpoints.borrow_mut();
        match endpoints.get_mut(&self.server) {
            Some(open) if open.connections > 1 => open.remove(self.usage),
            _ => drop(endpoints.remove(&self.server)),
        }
    }
}
