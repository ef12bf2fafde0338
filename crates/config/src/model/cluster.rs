//! Clusters: their endpoints, connections, retry budget and limits.

use http::HeaderName;
use std::net::SocketAddr;
use std::time::Duration;

/// A group of interchangeable servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Cluster {
    /// The servers of the cluster.
    pub endpoints: Vec<Endpoint>,
    /// The zone of this sidecar as seen by this cluster; empty if none is set.
    pub zone: String,
    /// Longest time for which an attempt waits for a connection.
    pub connect_timeout: Duration,
    /// The time after which servers close idle connections.
    pub idle_timeout: Duration,
    /// Upper bound of the attempts of one request, unless its class sets another.
    pub max_attempts: u32,
    /// The budget of retries and hedges.
    pub retry_budget: RetryBudgetConfig,
    /// Whether two attempts of one request may be in flight at a time.
    pub allows_parallel_attempts: bool,
    /// Statuses that count as a failure of the endpoint.
    pub failure_statuses: Vec<u16>,
    /// The header by which a server declares that it did not run the request; `None` if there is no
    /// such header.
    pub never_ran_header: Option<HeaderName>,
    /// The time during which a newly added server warms up.
    pub warm_up: Duration,
    /// The fraction of a server's capacity at which the warm-up starts.
    pub warm_up_start: f64,
    /// The concurrency limit of the cluster; unlimited if absent.
    pub concurrency: Option<ConcurrencyLimit>,
    /// Upper bounds of the connections.
    pub connections: ConnectionLimits,
    /// Upper bounds of the WebSocket connections.
    pub sockets: ConnectionLimits,
    /// The load of an open WebSocket connection relative to that of a request.
    pub socket_weight: f64,
    /// The time over which WebSocket connections leave a removed endpoint.
    pub socket_spread: Duration,
    /// Longest `Retry-After` that a client is given.
    pub max_retry_after: Duration,
    /// Shortest time over which traffic returns after an outage of the whole cluster; 0 disables
    /// the ramp.
    pub recovery_ramp: Duration,
}

/// The budget of retries and hedges of one cluster.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// The number of attempts that each request adds to the budget.
    pub ratio: f64,
    /// Maximum number of retries and hedges that the budget can hold.
    pub burst: u32,
}

/// The concurrency limit of a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConcurrencyLimit {
    /// Upper bound of the requests in flight.
    pub max_concurrency: u32,
    /// Upper bound of the requests that wait.
    pub max_queued: u32,
}

/// Upper bounds of the connections of one kind; unbounded if absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Upper bound of the connections to all endpoints of a cluster together.
    pub total: Option<u32>,
    /// Upper bound of the connections to each endpoint.
    pub per_endpoint: Option<u32>,
}

/// One server of a cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Name of the server, unique in its cluster.
    pub name: String,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// The capacity of the server relative to that of the cluster's others; 0 for no traffic.
    pub weight: u32,
    /// The zone of the server; empty if it has none.
    pub zone: String,
}
