//! The fully parsed and validated operator's file.

mod class;
mod cluster;
mod fleet;
mod process;
mod route;

pub use class::{AttemptSettings, Class, HedgeSetting, SocketSettings};
pub use cluster::{Cluster, ConcurrencyLimit, ConnectionLimits, Endpoint, RetryBudgetConfig};
pub use fleet::{FleetConfig, FleetVoter};
pub use process::{
    Forwarding, Listener, ProcessLimits, Tenant, BODY_SHARE, SOCKET_QUEUE_SHARE, UPSTREAM_SHARE,
};
pub use route::{Forward, HeaderEdits, Redirect, Respond, Route, RouteAction, Sticky, WebSocket};

use http::HeaderName;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The validated settings of an operator's file.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorConfig {
    /// The addresses that accept clients.
    pub listeners: Vec<Listener>,
    /// The routes, in the order of the file.
    pub routes: Vec<Route>,
    /// The request classes by name. A route with overrides has a class of its own here, see
    /// [`Route::effective_class`].
    pub classes: BTreeMap<String, Class>,
    /// The clusters by name.
    pub clusters: BTreeMap<String, Cluster>,
    /// The limits of the process.
    pub limits: ProcessLimits,
    /// The tenants that share the installation, in the order of the file.
    pub tenants: Vec<Tenant>,
    /// The header that names a request's tenant; `None` if no header does.
    pub tenant_header: Option<HeaderName>,
    /// The header by which a client marks a request as its own retry; `None` if no header does.
    pub repeat_header: Option<HeaderName>,
    /// The settings of `Via`, `Forwarded` and the request ID in forwarded requests.
    pub forwarding: Forwarding,
    /// The address of the admin listener; off if absent.
    pub admin: Option<SocketAddr>,
    /// The fleet that this process belongs to, if any.
    pub fleet: Option<FleetConfig>,
    /// A hash of the text: the same file has the same hash.
    pub hash: u64,
    /// The line of every field that the file sets explicitly, by the path of the field; all other
    /// fields have defaults.
    pub explicit_lines: BTreeMap<String, usize>,
}
