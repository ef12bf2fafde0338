//! Builds the serving configuration of each listener.

use super::reload_error::ReloadError;
use mintshelf_admission::tenants::TenantResolver;
use mintshelf_config::admission::tenant_resolver;
use mintshelf_config::model::{Listener, OperatorConfig, Route};
use mintshelf_proxy::gateway::admission::AdmissionController;
use mintshelf_proxy::gateway::config::{ClusterHandle, ListenerAdmission, ServingConfig};
use mintshelf_routing::RouteTable;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

/// The routes that apply to one listener.
pub(super) struct ListenerRoutes<'a> {
    pub(super) listener: &'a Listener,
    routes: Vec<Route>,
    table: RouteTable,
}

/// Returns the routes of each listener: those that name it and those that name no listener.
///
/// # Errors
/// Returns an error if routes of a listener conflict.
pub(super) fn listener_routes(
    config: &OperatorConfig,
) -> Result<Vec<ListenerRoutes<'_>>, ReloadError> {
    let mut all = Vec::new();
    for listener in &config.listeners {
        let applies_to_listener =
            |route: &&Route| route.listeners.is_empty() || route.listeners.contains(&listener.name);
        let routes: Vec<Route> =
            config.routes.iter().filter(applies_to_listener).cloned().collect();
        let table = RouteTable::new(routes.iter().map(|route| route.rule.clone()))?;
        all.push(ListenerRoutes { listener, routes, table });
    }
    Ok(all)
}

/// The settings and resources that all listeners of a configuration share.
pub(super) struct SharedSettings<'a> {
    config: &'a OperatorConfig,
    clusters: HashMap<String, Rc<ClusterHandle>>,
    /// Enforces the limits of requests; `None` if the configuration has no limits.
    admission: Option<Rc<AdmissionController>>,
    tenants: Option<Rc<TenantResolver>>,
}

impl<'a> SharedSettings<'a> {
    pub(super) fn new(
        config: &'a OperatorConfig,
        clusters: HashMap<String, Rc<ClusterHandle>>,
        admission: Option<Rc<AdmissionController>>,
    ) -> Self {
        let tenants = tenant_resolver(config).map(Rc::new);
        SharedSettings { config, clusters, admission, tenants }
    }

    /// Returns the serving configuration of a listener.
    pub(super) fn serving_config(&self, listener: ListenerRoutes) -> ServingConfig {
        let ListenerRoutes { listener, routes, table } = listener;
        ServingConfig {
            table,
            listener: listener.name.clone(),
            admission: self
                .admission
                .as_ref()
                .map(|controller| self.listener_admission(controller, &routes)),
            repeat_header: self.config.repeat_header.clone(),
            hits: routes.iter().map(|_| Cell::new(0)).collect(),
            routes,
            clusters: self.clusters.clone(),
            forwarding: self.config.forwarding.clone(),
        }
    }

    fn listener_admission(
        &self,
        controller: &Rc<AdmissionController>,
        routes: &[Route],
    ) -> ListenerAdmission {
        let clusters = self.clusters.keys();
        ListenerAdmission {
            controller: controller.clone(),
            tenants: self.tenants.clone(),
            tenant_header: self.config.tenant_header.clone(),
            route_names: routes.iter().map(|route| Rc::from(route.name.as_str())).collect(),
            cluster_names: clusters.map(|name| (name.clone(), Rc::from(name.as_str()))).collect(),
        }
    }
}
