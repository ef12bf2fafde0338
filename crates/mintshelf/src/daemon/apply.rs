//! Applying a configuration: completely or not at all, and at once for all requests.

use super::{Daemon, ReloadError, StartupSettings, State};
use mintshelf_admission::admission::AdmissionConfig;
use mintshelf_admission::slots::SlotConfig;
use mintshelf_admission::tenants::TenantResolver;
use mintshelf_config::admission::{admission_config, slot_config, tenant_resolver};
use mintshelf_config::model::{Listener, OperatorConfig, Route};
use mintshelf_proxy::gateway::config::{ClusterHandle, ListenerAdmission, ServingConfig};
use mintshelf_routing::RouteTable;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::SystemTime;

/// The routes of one listener.
struct ListenerRoutes<'a> {
    listener: &'a Listener,
    routes: Vec<Route>,
    table: RouteTable,
}

/// What all listeners of a configuration share.
struct SharedSettings<'a> {
    config: &'a OperatorConfig,
    clusters: HashMap<String, Rc<ClusterHandle>>,
    has_admission_limits: bool,
    tenants: Option<Rc<TenantResolver>>,
}

impl Daemon {
    /// Applies a configuration. It happens in one turn of the event loop, so that no request sees a
    /// part of it.
    pub(super) fn apply(&self, config: OperatorConfig) -> Result<(), ReloadError> {
        let listeners = listener_routes(&config)?;
        let mut sockets = self.open_new_sockets(&config)?;
        // Nothing below can fail: a configuration is applied completely or not at all.
        let state = &mut *self.state.borrow_mut();
        self.apply_clusters(state, &config);
        self.close_removed_listeners(state, &config);
        let admission = self.apply_limits(&config);
        let shared = SharedSettings::new(&config, state, &admission);
        for listener_routes in listeners {
            let listener = listener_routes.listener;
            let serving = Rc::new(self.serving(&shared, listener_routes));
            let socket = sockets.remove(&listener.address);
            self.apply_listener(state, listener, serving, socket);
        }
        if self.startup != StartupSettings::of(&config) {
            tracing::warn!("limits, admin and fleet are in force from the next start on");
        }
        state.config = Some(config);
        state.applied_at = Some(SystemTime::now());
        Ok(())
    }

    fn apply_limits(&self, config: &OperatorConfig) -> AdmissionConfig {
        let admission = admission_config(config);
        self.admission.configure(&admission);
        let capacity = self.startup.limits.max_websockets;
        self.sockets.configure(SlotConfig { capacity, ..slot_config(config) });
        admission
    }

    /// What a listener serves by.
    fn serving(&self, shared: &SharedSettings, listener: ListenerRoutes) -> ServingConfig {
        let ListenerRoutes { listener, routes, table } = listener;
        ServingConfig {
            table,
            listener: listener.name.clone(),
            admission: shared
                .has_admission_limits
                .then(|| self.listener_admission(shared, &routes)),
            repeat_header: shared.config.repeat_header.clone(),
            hits: routes.iter().map(|_| Cell::new(0)).collect(),
            routes,
            clusters: shared.clusters.clone(),
            forwarding: shared.config.forwarding.clone(),
        }
    }

    fn listener_admission(&self, shared: &SharedSettings, routes: &[Route]) -> ListenerAdmission {
        let clusters = shared.clusters.keys();
        ListenerAdmission {
            controller: self.admission.clone(),
            tenants: shared.tenants.clone(),
            tenant_header: shared.config.tenant_header.clone(),
            route_names: routes.iter().map(|route| Rc::from(route.name.as_str())).collect(),
            cluster_names: clusters.map(|name| (name.clone(), Rc::from(name.as_str()))).collect(),
        }
    }
}

impl<'a> SharedSettings<'a> {
    fn new(config: &'a OperatorConfig, state: &State, admission: &AdmissionConfig) -> Self {
        let clusters = state.clusters.iter();
        SharedSettings {
            config,
            clusters: clusters.map(|(name, running)| (name.clone(), running.handle())).collect(),
            has_admission_limits: !admission.is_empty(),
            tenants: tenant_resolver(config).map(Rc::new),
        }
    }
}

/// The routes of each listener: those that name it, and those that name none.
fn listener_routes(config: &OperatorConfig) -> Result<Vec<ListenerRoutes<'_>>, ReloadError> {
    let mut all = Vec::new();
    for listener in &config.listeners {
        let is_served =
            |route: &&Route| route.listeners.is_empty() || route.listeners.contains(&listener.name);
        let routes: Vec<Route> = config.routes.iter().filter(is_served).cloned().collect();
        let table = RouteTable::new(routes.iter().map(|route| route.rule.clone()))?;
        all.push(ListenerRoutes { listener, routes, table });
    }
    Ok(all)
}
