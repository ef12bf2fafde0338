//! The current configuration of a listener: routes, clusters and limits.

use super::admission::{AdmissionController, TenantPermit};
use super::rejection::Rejection;
use crate::client::connection::Client;
use crate::cluster::runtime::ClusterRuntime;
use hyper::header::{HeaderMap, HeaderName};
use mintshelf_admission::tenants::{TenantResolver, DEFAULT_TENANT};
use mintshelf_config::balancer::BalancerClass;
use mintshelf_config::model::{Forwarding, Route};
use mintshelf_routing::RouteTable;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// An immutable configuration of one listener. A reload replaces the whole value; a request keeps
/// the configuration with which it started.
pub struct ServingConfig {
    /// Finds the index of the route that matches a request.
    pub table: RouteTable,
    /// The routes, in the order of the table.
    pub routes: Vec<Route>,
    /// The number of requests that have matched each route, in the order of `routes`.
    pub hits: Vec<Cell<u64>>,
    /// The clusters to which routes can forward requests, by their names in the operator's file.
    pub clusters: HashMap<String, Rc<ClusterHandle>>,
    /// The headers that this hop adds to requests.
    pub forwarding: Forwarding,
    /// The name of the listener in the operator's file.
    pub listener: String,
    /// The limits of tenants, routes and clusters; `None` if no limits are configured.
    pub admission: Option<ListenerAdmission>,
    /// The request header that marks a retry by the client.
    pub repeat_header: Option<HeaderName>,
}

impl ServingConfig {
    /// Returns the name of each route and the number of requests that have matched the route.
    pub fn hits(&self) -> impl Iterator<Item = (&str, u64)> {
        let names = self.routes.iter().map(|route| route.name.as_str());
        names.zip(self.hits.iter().map(Cell::get))
    }

    /// Counts a request that matches a route.
    pub(crate) fn count_hit(&self, route_index: usize) {
        let hits = &self.hits[route_index];
        hits.set(hits.get() + 1);
    }
}

/// A cluster with its own instance of the decision module.
pub struct ClusterHandle {
    /// The cluster's runtime. It owns the cluster's balancer, the module that decides to which
    /// server an attempt is sent and whether it is retried.
    pub runtime: Rc<ClusterRuntime>,
    /// The classes of the decision module by their names in the operator's file.
    pub classes: BTreeMap<String, BalancerClass>,
}

/// The limits that apply to the requests of one listener.
pub struct ListenerAdmission {
    /// Admits requests within the limits of their tenant, route and cluster, and rejects the
    /// others.
    pub controller: Rc<AdmissionController>,
    /// Determines the tenant of a request; `None` if no tenants are configured.
    pub tenants: Option<Rc<TenantResolver>>,
    /// The request header with the name of the tenant.
    pub tenant_header: Option<HeaderName>,
    /// The names of the routes, in the order of [`ServingConfig::routes`].
    pub route_names: Vec<Rc<str>>,
    /// The names of the clusters, as shared strings.
    pub cluster_names: HashMap<String, Rc<str>>,
}

impl ListenerAdmission {
    /// Admits a request under the limits of its tenant and route.
    ///
    /// # Errors
    /// The rejection, if one of the limits is exceeded.
    pub(crate) fn admit(
        &self,
        client: &Client,
        listener: &str,
        headers: &HeaderMap,
        route_index: usize,
    ) -> Result<TenantPermit, Rejection> {
        let tenant = self.tenant_of(client, listener, headers);
        self.controller.admit_request(tenant, &self.route_names[route_index])
    }

    fn tenant_of(&self, client: &Client, listener: &str, headers: &HeaderMap) -> Rc<str> {
        let Some(tenants) = &self.tenants else { return DEFAULT_TENANT.into() };
        let value = self.tenant_header.as_ref().and_then(|name| headers.get(name));
        tenants.resolve(client.peer.ip(), listener, value.and_then(|value| value.to_str().ok()))
    }
}

/// The current configuration of one listener, which a reload replaces.
pub struct ActiveConfig(RefCell<Rc<ServingConfig>>);

impl ActiveConfig {
    /// Starts with a first configuration.
    pub fn new(config: Rc<ServingConfig>) -> Rc<Self> {
        Rc::new(ActiveConfig(RefCell::new(config)))
    }

    /// Returns the configuration that applies to new requests of the listener.
    pub fn current(&self) -> Rc<ServingConfig> {
        self.0.borrow().clone()
    }

    /// Identifies the listener within the process while this value exists.
    pub(crate) fn listener_id(self: &Rc<Self>) -> usize {
        Rc::as_ptr(self).addr()
    }

    /// Replaces the configuration and returns the previous one.
    pub(crate) fn replace(&self, config: Rc<ServingConfig>) -> Rc<ServingConfig> {
        self.0.replace(config)
    }
}
