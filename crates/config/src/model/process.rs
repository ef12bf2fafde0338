//! The process: its listeners, limits and tenants, and the headers that disclose it to the next
//! hop.

use http::HeaderName;
use ipnet::IpNet;
use mintshelf_admission::limit::LimitConfig;
use std::net::SocketAddr;
use std::time::Duration;

/// Share of the file descriptors that is reserved for connections to servers. A request needs a
/// client connection and a server connection, but most client connections are idle.
pub const UPSTREAM_SHARE: f64 = 0.4;
/// Share of the memory limit that the queues of WebSocket connections may fill.
pub const SOCKET_QUEUE_SHARE: f64 = 0.2;
/// Share of the memory limit that request bodies may fill. The rest is for the libraries' buffers
/// (at most 32 KiB per connection and direction) and for responses.
pub const BODY_SHARE: f64 = 0.3;

/// An address that accepts clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listener {
    /// The name by which routes and tenants refer to the listener.
    pub name: String,
    /// The local address on which connections are accepted.
    pub address: SocketAddr,
}

/// A tenant that shares the installation.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The name of the tenant.
    pub name: String,
    /// The share of the tenant, relative to those of other tenants.
    pub share: f64,
    /// The networks of the clients whose requests belong to the tenant.
    pub networks: Vec<IpNet>,
    /// The names of the listeners whose requests belong to the tenant.
    pub listeners: Vec<String>,
    /// Values of the tenant header that name the tenant.
    pub header_values: Vec<String>,
    /// The limits of the tenant's requests and WebSocket connections.
    pub limit: LimitConfig,
}

/// The limits of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory limit of the process, in bytes; bodies and WebSocket queues each get a share.
    pub memory_bytes: usize,
    /// The maximum number of file descriptors of the process.
    pub file_descriptors: usize,
    /// The longest time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// The time after which an idle client connection is closed.
    pub idle_timeout: Duration,
    /// The time without progress, in either direction, after which a body is aborted.
    pub stream_timeout: Duration,
    /// Whether a client counts as disconnected if it closes its sending direction before it has its
    /// response.
    pub abort_on_close: bool,
    /// Upper bound of the open WebSocket connections.
    pub max_websockets: u32,
    /// The time over which WebSocket connections are closed when the process or their listener
    /// shuts down.
    pub websocket_drain: Duration,
}

/// The settings of `Via`, `Forwarded` and the request ID in forwarded requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Forwarding {
    /// The name in `Via` (RFC 9110 7.6.3); no `Via` if absent.
    pub via: Option<String>,
    /// Whether `Forwarded` (RFC 7239) names the client.
    pub adds_forwarded: bool,
    /// The header with a request's id; a request without one is given one.
    pub request_id: Option<HeaderName>,
}
