//! Listeners, limits, forwarding, the admin listener, the fleet and tenants.

use super::one_or_many::OneOrMany;
use super::text::{Address, FormattedDuration, HeaderName, Network, Rate, Size};
use schemars::JsonSchema;

/// An address that accepts clients.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Listener {
    /// The name by which routes and tenants refer to it.
    pub name: Option<String>,
    /// The address to listen on.
    pub address: Address,
}

/// Resource limits and client timeouts of the process.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Limits {
    /// Memory limit. Default: 64MiB.
    pub memory: Option<Size>,
    /// Maximum number of file descriptors. Default: 1024.
    #[schemars(range(min = 64, max = 1_048_576))]
    pub sockets: Option<u32>,
    /// Longest time from the first byte of a request to the end of its head. Default: 2.5s.
    pub head_timeout: Option<FormattedDuration>,
    /// How long a client connection may be idle before it is closed. Default: 20s.
    pub idle_timeout: Option<FormattedDuration>,
    /// How long a body may make no progress before it is aborted. Default: 30s.
    pub stream_timeout: Option<FormattedDuration>,
    /// Whether a client that closes its sending direction before its response counts as
    /// disconnected. Default: false.
    pub abort_on_close: Option<bool>,
    /// Maximum number of WebSocket connections. Default: a fifth of the file descriptors.
    #[schemars(range(min = 0, max = 1_048_576))]
    pub websockets: Option<u32>,
    /// Time over which they are closed when the process or their listener shuts down. Default: 5s.
    pub websocket_drain: Option<FormattedDuration>,
}

/// What this hop discloses about itself.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Forwarding {
    /// The name of this hop in Via (RFC 9110 7.6.3); no Via if absent.
    pub via: Option<HeaderName>,
    /// Whether Forwarded (RFC 7239) is added. Default: false.
    pub forwarded: Option<bool>,
    /// The header with the ID of a request, which is added if absent.
    pub request_id: Option<HeaderName>,
}

/// The admin listener.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Admin {
    /// The address to listen on.
    pub address: Address,
}

/// The fleet that agrees on leases, and the role of this process in it.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Fleet {
    /// The name of the fleet; processes of other fleets are rejected.
    #[schemars(length(min = 1, max = 128))]
    pub fleet: String,
    /// The name of this process: that of a voter, or any other for a member.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// The address at which this process listens for the others, if it is a voter.
    pub address: Option<Address>,
    /// The directory for the log of a voter; required for voters.
    pub directory: Option<String>,
    /// All voters, usually three or five; the same list in the file of each process.
    #[schemars(length(min = 1, max = 7))]
    pub voters: Vec<FleetVoter>,
    /// Whether one voter or an even number of voters is accepted. Default: false.
    pub allow_single: Option<bool>,
    /// How long voters wait for a heartbeat before they elect another leader. Default: 1s.
    pub election: Option<FormattedDuration>,
    /// Interval of the heartbeats of a leader. Default: 100ms.
    pub heartbeat: Option<FormattedDuration>,
    /// How long a member may be silent before it counts as gone. Default: 5s.
    pub session: Option<FormattedDuration>,
    /// Duration of a lease that sets none. Default: 10s.
    pub lease: Option<FormattedDuration>,
    /// Largest error of the rate of any clock, in parts per million. Default: 1000.
    #[schemars(range(min = 0, max = 100_000))]
    pub clock_error_ppm: Option<u32>,
}

/// A voter of the fleet.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct FleetVoter {
    /// Its name.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// The address at which it listens for the others.
    pub address: Address,
}

/// A tenant that shares the installation with others.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Tenant {
    /// Its share relative to the other tenants. Default: 1.
    #[schemars(range(min = 0.001, max = 1e6))]
    pub share: Option<f64>,
    /// The networks of its clients.
    pub networks: Option<OneOrMany<Network>>,
    /// The names of the listeners that belong to it.
    pub listeners: Option<OneOrMany<String>>,
    /// Values of the tenant header that identify it.
    pub header_values: Option<OneOrMany<String>>,
    /// The tenant whose networks contain those of this one.
    pub within: Option<String>,
    /// Its limits.
    #[schemars(flatten)]
    pub limit: Limit,
}

/// The limits of a tenant or a route.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Limit {
    /// Maximum rate of requests.
    pub rate: Option<Rate>,
    /// Maximum burst of requests. Default: the number of requests in rate.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub burst: Option<u32>,
    /// Maximum number of requests in flight.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub concurrency: Option<u32>,
    /// Maximum number of open WebSocket connections.
    #[schemars(range(min = 0, max = 1_000_000))]
    pub sockets: Option<u32>,
}
