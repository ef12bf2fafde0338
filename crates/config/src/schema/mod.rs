//! JSON schema of the operator's file, for editors. Rules that a schema cannot express (references
//! between names, schedules) are checked only by the parser.
//!
//! The doc comments of the types and fields are the descriptions in the schema.

pub mod class;
pub mod cluster;
mod one_or_many;
pub mod process;
pub mod route;
pub mod text;

pub use one_or_many::OneOrMany;

use class::{AttemptSettings, Class};
use cluster::Cluster;
use process::{Admin, Fleet, Forwarding, Limits, Listener, Tenant};
use route::Route;
use schemars::JsonSchema;
use std::collections::BTreeMap;
use text::{Address, HeaderName};

/// The schema of an operator's file (JSON Schema 2020-12).
#[must_use]
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(File).to_value()
}

/// Configuration of mintshelf run --config FILE.
#[derive(Debug, JsonSchema)]
#[schemars(rename_all = "kebab-case", deny_unknown_fields)]
pub struct File {
    /// Addresses to listen on; short for listeners without a name.
    pub listen: Option<OneOrMany<Address>>,
    /// Addresses that clients connect to.
    pub listeners: Option<OneOrMany<Listener>>,
    /// Resource limits and client timeouts of the process.
    pub limits: Option<Limits>,
    /// What this hop discloses about itself.
    pub forwarding: Option<Forwarding>,
    /// Admin listener, which serves metrics and the configuration in force; off if absent.
    pub admin: Option<Admin>,
    /// Fleet of processes that agree on leases; off if absent.
    pub fleet: Option<Fleet>,
    /// The header that names a request's tenant.
    pub tenant_header: Option<HeaderName>,
    /// The header by which a client marks a request as its own retry, with any value but 0.
    pub repeat_header: Option<HeaderName>,
    /// Tenants that share the installation.
    pub tenants: Option<BTreeMap<String, Tenant>>,
    /// Default attempt settings for all classes.
    pub defaults: Option<AttemptSettings>,
    /// Request classes.
    pub classes: Option<BTreeMap<String, Class>>,
    /// Clusters of servers.
    pub clusters: Option<BTreeMap<String, Cluster>>,
    /// Routes, which match requests and define what is done with them.
    pub routes: OneOrMany<Route>,
}
