//! All limits of an installation: of tenants and routes, which refuse at once, and of
//! clusters, which let wait. They outlive the files that set them: what is under way counts on.

use crate::queue::{
    FairQueue, FairQueueConfig, QueueDecision, QueueEntry, QueueTicket, QueueTransitions,
};
use crate::rate::{RateConfig, RateLimit};
use mintshelf_balancer::api::Nanos;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a tenant or a route is limited to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitConfig {
    /// Requests in a time.
    pub rate: Option<RateConfig>,
    /// Requests at one time.
    pub most: Option<u32>,
    /// Bytes of requests' bodies that are held.
    pub bytes: Option<u64>,
    /// Open sockets.
    pub sockets: Option<u32>,
}

impl LimitConfig {
    /// Whether it limits nothing.
    pub fn is_none(&self) -> bool {
        *self == LimitConfig::default()
    }
}

/// What a file sets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AdmissionConfig {
    /// By tenant.
    pub tenants: BTreeMap<Rc<str>, LimitConfig>,
    /// By route.
    pub routes: BTreeMap<Rc<str>, LimitConfig>,
    /// By cluster; those without a limit are not in it.
    pub clusters: BTreeMap<Rc<str>, FairQueueConfig>,
}

impl AdmissionConfig {
    /// Whether nothing is limited.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty() && self.routes.is_empty() && self.clusters.is_empty()
    }
}

/// A limit that refused a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitExceeded {
    /// More in a time than the tenant may.
    TenantRate(Nanos),
    /// More at one time than the tenant may.
    TenantConcurrency,
    /// More in a time than the route takes.
    RouteRate(Nanos),
    /// More at one time than the route takes.
    RouteConcurrency,
}

#[derive(Debug, Default)]
struct Limit {
    set: LimitConfig,
    rate: Option<RateLimit>,
    held: u32,
    bytes: u64,
}

impl Limit {
    fn set(&mut self, now: Nanos, set: LimitConfig) {
        // One that stays as it was keeps what it has used up.
        if self.set.rate != set.rate {
            self.rate = set.rate.map(|rate| RateLimit::new(rate, now));
        }
        self.set = set;
    }

    fn is_full(&self) -> bool {
        self.set.most.is_some_and(|most| self.held >= most)
    }

    fn take(&self, now: Nanos) -> Result<(), Nanos> {
        self.rate.as_ref().map_or(Ok(()), |rate| rate.take(now))
    }
}

/// How much is under way, for the figures.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LimitUsage {
    /// Requests by tenant.
    pub tenants: Vec<(String, u32)>,
    /// At each cluster, those that have a place, and those that wait for one.
    pub clusters: Vec<(String, [usize; 2])>,
}

/// Every limit, with what counts against it.
#[derive(Debug, Default)]
pub struct Admission {
    tenants: BTreeMap<Rc<str>, Limit>,
    routes: BTreeMap<Rc<str>, Limit>,
    clusters: BTreeMap<Rc<str>, FairQueue>,
}

fn apply(limits: &mut BTreeMap<Rc<str>, Limit>, now: Nanos, sets: &BTreeMap<Rc<str>, LimitConfig>) {
    limits.retain(|name, limit| sets.contains_key(name) || limit.held > 0);
    for (_, limit) in limits.iter_mut().filter(|(name, _)| !sets.contains_key(*name)) {
        limit.set(now, LimitConfig::default());
    }
    for (name, set) in sets {
        limits.entry(name.clone()).or_default().set(now, *set);
    }
}

impl Admission {
    /// Puts a file's limits in force. Those under way count on, by their names; what waits at
    /// a cluster that is limited no longer goes.
    pub fn set(
        &mut self,
        now: Nanos,
        set: &AdmissionConfig,
    ) -> BTreeMap<Rc<str>, QueueTransitions> {
        apply(&mut self.tenants, now, &set.tenants);
        apply(&mut self.routes, now, &set.routes);
        let unlimited =
            FairQueueConfig { most: u32::MAX, queue: u32::MAX, ..FairQueueConfig::default() };
        let mut moves = BTreeMap::new();
        for (name, gate) in &mut self.clusters {
            let set = set.clusters.get(name).unwrap_or(&unlimited);
            moves.insert(name.clone(), gate.set(now, set.clone()));
        }
        self.clusters.retain(|name, gate| set.clusters.contains_key(name) || gate.levels()[0] > 0);
        for (name, gate) in &set.clusters {
            self.clusters.entry(name.clone()).or_insert_with(|| FairQueue::new(gate.clone()));
        }
        moves
    }

    /// A request has come. [`Admission::leave`] is owed if it may go on.
    pub fn enter(&mut self, now: Nanos, tenant: &str, route: &str) -> Result<(), LimitExceeded> {
        let (tenants, routes) = (&mut self.tenants, &mut self.routes);
        let (mut of, mut at) = (tenants.get_mut(tenant), routes.get_mut(route));
        // What takes nothing away is asked first: a request refused has used up no rate.
        if of.as_ref().is_some_and(|limit| limit.is_full()) {
            return Err(LimitExceeded::TenantConcurrency);
        }
        if at.as_ref().is_some_and(|limit| limit.is_full()) {
            return Err(LimitExceeded::RouteConcurrency);
        }
        if let Some(limit) = &of {
            limit.take(now).map_err(LimitExceeded::TenantRate)?;
        }
        if let Some(limit) = &at {
            limit.take(now).map_err(LimitExceeded::RouteRate)?;
        }
        for limit in [&mut of, &mut at].into_iter().flatten() {
            limit.held += 1;
        }
        Ok(())
    }

    /// A request that entered is over.
    pub fn leave(&mut self, tenant: &str, route: &str) {
        let limits = [self.tenants.get_mut(tenant), self.routes.get_mut(route)];
        for limit in limits.into_iter().flatten() {
            limit.held = limit.held.saturating_sub(1);
        }
    }

    /// Takes so many bytes for a tenant's body; whether they are there. [`Admission::empty`]
    /// is owed if so.
    pub fn fill(&mut self, tenant: &str, bytes: u64) -> bool {
        let Some(limit) = self.tenants.get_mut(tenant) else { return true };
        let after = limit.bytes.saturating_add(bytes);
        if limit.set.bytes.is_some_and(|most| after > most) {
            return false;
        }
        limit.bytes = after;
        true
    }

    /// A body is no longer held.
    pub fn empty(&mut self, tenant: &str, bytes: u64) {
        if let Some(limit) = self.tenants.get_mut(tenant) {
            limit.bytes = limit.bytes.saturating_sub(bytes);
        }
    }

    /// A request wants to go to a cluster; none if that has no limit.
    pub fn offer(
        &mut self,
        now: Nanos,
        cluster: &str,
        offer: QueueEntry,
    ) -> Option<(QueueDecision, QueueTransitions)> {
        self.clusters.get_mut(cluster).map(|gate| gate.offer(now, offer))
    }

    /// One that went to a cluster is over.
    pub fn done(&mut self, now: Nanos, cluster: &str, tenant: &Rc<str>) -> QueueTransitions {
        self.clusters
            .get_mut(cluster)
            .map_or_else(QueueTransitions::default, |gate| gate.done(now, tenant))
    }

    /// One that waited for a cluster does so no longer.
    pub fn give_up(&mut self, cluster: &str, ticket: QueueTicket) {
        if let Some(gate) = self.clusters.get_mut(cluster) {
            gate.leave(ticket);
        }
    }

    /// How much is under way.
    pub fn levels(&self) -> LimitUsage {
        let tenants = self.tenants.iter().map(|(name, limit)| (name.to_string(), limit.held));
        let clusters = self.clusters.iter().map(|(name, gate)| (name.to_string(), gate.levels()));
        LimitUsage { tenants: tenants.collect(), clusters: clusters.collect() }
    }
}
