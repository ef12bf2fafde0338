//! All admission limits of a process. Limits of tenants and routes reject a request immediately;
//! limits of clusters queue it. The state outlives the configuration that set the limits: requests
//! in flight still count after a reload.

use crate::limit::{Limit, LimitConfig};
use crate::queue::{
    Enqueued, FairQueue, FairQueueConfig, QueueEntry, QueueTicket, QueueTransitions, QueueUsage,
};
use mintshelf_time::Nanos;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The limits set by a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdmissionConfig {
    /// The limits of tenants, by tenant name; a tenant without an entry is not limited.
    pub tenants: BTreeMap<Rc<str>, LimitConfig>,
    /// The limits of routes, by route name; a route without an entry is not limited.
    pub routes: BTreeMap<Rc<str>, LimitConfig>,
    /// Queues by cluster name; a cluster without an entry is not limited.
    pub clusters: BTreeMap<Rc<str>, FairQueueConfig>,
}

impl AdmissionConfig {
    /// Returns whether no limit is configured.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty() && self.routes.is_empty() && self.clusters.is_empty()
    }
}

/// The limit that rejected a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitExceeded {
    /// The rate of the tenant is exceeded; holds the time until the next request is allowed, in
    /// nanoseconds.
    TenantRate(Nanos),
    /// The tenant has its maximum number of requests in flight.
    TenantConcurrency,
    /// The rate of the route is exceeded; holds the time until the next request is allowed, in
    /// nanoseconds.
    RouteRate(Nanos),
    /// The route has its maximum number of requests in flight.
    RouteConcurrency,
}

/// Current use of the limits, for metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimitUsage {
    /// The use of each tenant's limits, sorted by name.
    pub tenants: Vec<TenantUsage>,
    /// The use of each cluster's limits, sorted by name.
    pub clusters: Vec<ClusterUsage>,
}

/// The requests of one tenant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TenantUsage {
    /// Name by which the tenant is configured.
    pub tenant: String,
    /// The number of the tenant's requests in flight.
    pub in_flight: u32,
}

/// The requests at one cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterUsage {
    /// The name of the cluster.
    pub cluster: String,
    /// The numbers of the cluster's requests in flight and waiting in its queue.
    pub queue: QueueUsage,
}

/// The limits of all tenants, routes and clusters, and the requests that count against them.
///
/// ```
/// use mintshelf_admission::admission::{Admission, AdmissionConfig};
/// use mintshelf_admission::queue::{FairQueueConfig, QueueDecision, QueueEntry};
///
/// let queue = FairQueueConfig { max_concurrency: 1, max_queued: 1, ..Default::default() };
/// let clusters = [("web".into(), queue)].into();
/// let mut admission = Admission::default();
/// let transitions = admission.configure(0, &AdmissionConfig { clusters, ..Default::default() });
/// assert!(transitions.is_empty(), "no request waits yet");
/// let entry = QueueEntry {
///     tenant: "others".into(),
///     is_repeat: false,
///     priority_weight: 1.0,
///     deadline: 1_000_000_000,
///     expected_latency: 0,
/// };
/// let first = admission.enqueue(0, "web", entry.clone()).unwrap();
/// assert_eq!(first.decision, QueueDecision::Admit);
/// let second = admission.enqueue(0, "web", entry.clone()).unwrap();
/// let QueueDecision::Wait(ticket) = second.decision else { panic!("max_concurrency is 1") };
/// let transitions = admission.complete(1_000_000, "web", &entry.tenant);
/// assert_eq!(transitions.admitted, [ticket]);
/// ```
#[derive(Debug, Default)]
pub struct Admission {
    tenants: BTreeMap<Rc<str>, Limit>,
    routes: BTreeMap<Rc<str>, Limit>,
    clusters: BTreeMap<Rc<str>, FairQueue>,
}

fn configure_limits(
    limits: &mut BTreeMap<Rc<str>, Limit>,
    now: Nanos,
    configs: &BTreeMap<Rc<str>, LimitConfig>,
) {
    limits.retain(|name, limit| configs.contains_key(name) || limit.in_flight() > 0);
    for (name, limit) in limits.iter_mut() {
        if !configs.contains_key(name) {
            limit.configure(now, LimitConfig::default());
        }
    }
    for (name, config) in configs {
        limits.entry(name.clone()).or_default().configure(now, *config);
    }
}

impl Admission {
    /// Applies a configuration. Requests in flight still count under the names of their tenant,
    /// route and cluster. Requests waiting for a cluster that is no longer limited are admitted.
    /// Returns the transitions by cluster; the caller notifies the requests that were waiting.
    #[must_use = "requests that wait never learn that they are admitted or rejected"]
    pub fn configure(
        &mut self,
        now: Nanos,
        config: &AdmissionConfig,
    ) -> BTreeMap<Rc<str>, QueueTransitions> {
        configure_limits(&mut self.tenants, now, &config.tenants);
        configure_limits(&mut self.routes, now, &config.routes);
        let mut transitions = BTreeMap::new();
        for (name, queue) in &mut self.clusters {
            let config = config.clusters.get(name).cloned();
            let config = config.unwrap_or_else(FairQueueConfig::unlimited);
            transitions.insert(name.clone(), queue.configure(now, config));
        }
        let configs = &config.clusters;
        self.clusters
            .retain(|name, queue| configs.contains_key(name) || queue.usage().in_flight > 0);
        for (name, config) in configs {
            self.clusters.entry(name.clone()).or_insert_with(|| FairQueue::new(config.clone()));
        }
        transitions
    }

    /// Admits a request by the limits of its tenant and its route. The caller must end an admitted
    /// request with [`Admission::end_request`].
    ///
    /// # Errors
    ///
    /// Returns the first limit that is exceeded. The request then counts against no limit, except
    /// that it has used the tenant's rate if the route's rate is exceeded.
    pub fn begin_request(
        &mut self,
        now: Nanos,
        tenant: &str,
        route: &str,
    ) -> Result<(), LimitExceeded> {
        let tenant = self.tenants.get_mut(tenant);
        let route = self.routes.get_mut(route);
        // Concurrency is checked first, so that a request rejected by it does not use the rate.
        if tenant.as_ref().is_some_and(|limit| limit.is_concurrency_full()) {
            return Err(LimitExceeded::TenantConcurrency);
        }
        if route.as_ref().is_some_and(|limit| limit.is_concurrency_full()) {
            return Err(LimitExceeded::RouteConcurrency);
        }
        if let Some(limit) = &tenant {
            limit.try_acquire_rate(now).map_err(LimitExceeded::TenantRate)?;
        }
        if let Some(limit) = &route {
            limit.try_acquire_rate(now).map_err(LimitExceeded::RouteRate)?;
        }
        [tenant, route].into_iter().flatten().for_each(Limit::begin_request);
        Ok(())
    }

    /// Ends a request that [`Admission::begin_request`] admitted, which no longer counts as in
    /// flight.
    pub fn end_request(&mut self, tenant: &str, route: &str) {
        let limits = [self.tenants.get_mut(tenant), self.routes.get_mut(route)];
        limits.into_iter().flatten().for_each(Limit::end_request);
    }

    /// Reserves memory for a tenant's request body and returns whether enough was available. The
    /// caller must release reserved bytes with [`Admission::release_body`].
    #[must_use]
    pub fn try_reserve_body(&mut self, tenant: &str, bytes: u64) -> bool {
        self.tenants.get_mut(tenant).is_none_or(|limit| limit.try_reserve_bytes(bytes))
    }

    /// Releases memory reserved for a request body.
    pub fn release_body(&mut self, tenant: &str, bytes: u64) {
        if let Some(limit) = self.tenants.get_mut(tenant) {
            limit.release_bytes(bytes);
        }
    }

    /// Submits a request to a cluster's queue; `None` if the cluster has no limit.
    pub fn enqueue(&mut self, now: Nanos, cluster: &str, entry: QueueEntry) -> Option<Enqueued> {
        self.clusters.get_mut(cluster).map(|queue| queue.enqueue(now, entry))
    }

    /// Ends a request that was admitted by a cluster's queue.
    #[must_use = "requests that wait never learn that they are admitted or rejected"]
    pub fn complete(&mut self, now: Nanos, cluster: &str, tenant: &Rc<str>) -> QueueTransitions {
        match self.clusters.get_mut(cluster) {
            Some(queue) => queue.complete(now, tenant),
            None => QueueTransitions::default(),
        }
    }

    /// Removes a waiting request from a cluster's queue.
    pub fn cancel(&mut self, cluster: &str, ticket: QueueTicket) {
        if let Some(queue) = self.clusters.get_mut(cluster) {
            queue.cancel(ticket);
        }
    }

    /// Returns the current use of the limits.
    #[must_use]
    pub fn usage(&self) -> LimitUsage {
        let tenants = self.tenants.iter().map(|(name, limit)| TenantUsage {
            tenant: name.to_string(),
            in_flight: limit.in_flight(),
        });
        let clusters = self
            .clusters
            .iter()
            .map(|(name, queue)| ClusterUsage { cluster: name.to_string(), queue: queue.usage() });
        LimitUsage { tenants: tenants.collect(), clusters: clusters.collect() }
    }
}
