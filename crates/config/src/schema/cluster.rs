//! Clusters and their endpoints.

use super::one_or_many::OneOrMany;
use super::text::{Address, FormattedDuration, HeaderName};
use schemars::JsonSchema;

/// A group of interchangeable servers.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cluster {
    /// Its servers.
    pub endpoints: OneOrMany<Endpoint>,
    /// The zone of this sidecar.
    pub zone: Option<String>,
    /// Longest wait for a connection. Default: 200ms.
    pub connect_timeout: Option<FormattedDuration>,
    /// How long a connection may be idle before the servers close it. Default: 15s.
    pub idle_timeout: Option<FormattedDuration>,
    /// Maximum number of attempts of a request, unless its class sets another. Default: 3.
    #[schemars(range(min = 1, max = 6))]
    pub max_attempts: Option<u32>,
    /// Budget of retries and hedges.
    pub retry_budget: Option<RetryBudget>,
    /// Whether a request may have two attempts in flight at a time. Default: false.
    pub second_copies: Option<bool>,
    /// Statuses that count as a failure of the endpoint. Default: 500, 502, 503 and 504.
    pub failure_statuses: Option<Vec<FailureStatus>>,
    /// A response header that states, with the value 1, that the server never ran the request.
    pub never_ran_header: Option<HeaderName>,
    /// How long a newly added server warms up. Default: 0s.
    pub warm_up: Option<FormattedDuration>,
    /// The fraction of its capacity at which a server that is warming up starts. Default: 0.3.
    #[schemars(range(min = 0.01, max = 1.0))]
    pub warm_from: Option<f64>,
    /// Maximum number of requests in flight. Default: no limit.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub concurrency: Option<u32>,
    /// Maximum number of queued requests. Default: the value of concurrency.
    #[schemars(range(min = 0, max = 100_000))]
    pub queue: Option<u32>,
    /// Maximum number of connections to all its endpoints. Default: no limit.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub connections: Option<u32>,
    /// Maximum number of connections to each endpoint. Default: no limit.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub endpoint_connections: Option<u32>,
    /// Maximum number of WebSocket connections to all its endpoints.
    /// Default: three quarters of connections.
    #[schemars(range(min = 0, max = 1_000_000))]
    pub sockets: Option<u32>,
    /// Maximum number of WebSocket connections to each endpoint. Default: three quarters of
    /// endpoint-connections.
    #[schemars(range(min = 0, max = 1_000_000))]
    pub endpoint_sockets: Option<u32>,
    /// Load of an open WebSocket connection relative to a request. Default: 0.05.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub socket_weight: Option<f64>,
    /// Time over which WebSocket connections leave a removed endpoint. Default: 5s.
    pub socket_spread: Option<FormattedDuration>,
    /// Longest Retry-After that a client is given. Default: 10s.
    pub max_retry_after: Option<FormattedDuration>,
    /// Shortest time over which traffic returns after an outage. Default: 2s.
    pub return_ramp: Option<FormattedDuration>,
}

/// A failure status.
#[derive(Debug, JsonSchema)]
#[schemars(rename = "Status")]
pub struct FailureStatus(#[schemars(range(min = 400, max = 599))] pub u16);

/// Budget of retries and hedges of one cluster.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetryBudget {
    /// What each request adds to the budget, in attempts. Default: 0.2.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub ratio: Option<f64>,
    /// Maximum of the budget, in attempts. Default: 100.
    #[schemars(range(min = 1, max = 100_000))]
    pub burst: Option<u32>,
}

/// A server: its address, or a table with its settings.
#[derive(Debug, JsonSchema)]
#[schemars(untagged)]
pub enum Endpoint {
    /// The address of the server.
    Address(Address),
    /// A table with the settings of the server.
    Full(FullEndpoint),
}

/// The settings of a server.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FullEndpoint {
    /// The address that it listens on.
    pub address: Address,
    /// Its name, unique in its cluster; the address if absent.
    pub name: Option<String>,
    /// Its capacity relative to the others; 0 for no traffic.
    #[schemars(range(min = 0, max = 1_000_000))]
    pub weight: Option<u32>,
    /// Its zone.
    pub zone: Option<String>,
}
