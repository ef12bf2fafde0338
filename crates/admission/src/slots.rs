//! Slots for long-lived connections, shared fairly between tenants.
//!
//! A request in flight ends by its deadline, but a connection may occupy its slot for hours, so
//! that a tenant that arrives late could find all slots occupied. No tenant keeps more than its
//! fair share while others need slots: a tenant below its share that finds no free slot gets a
//! claim, the caller closes a connection of the tenant that is most over its own share, and the
//! freed slot is reserved for the claimant.

use crate::share::proportional_share;
use mintshelf_time::{Nanos, SECOND};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time after which a claim expires; the rejected client has to retry within this time.
pub const CLAIM_DURATION: Nanos = 10 * SECOND;
/// Maximum number of claims of one tenant at a time, since each one closes a connection.
const MAX_CLAIMS: u32 = 16;

/// The number of slots, the shares of tenants and their limits.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SlotConfig {
    /// Total number of slots.
    pub capacity: u32,
    /// Shares by tenant; 1 for a tenant without an entry.
    pub shares: BTreeMap<Rc<str>, f64>,
    /// Maximum slots by tenant; no limit for a tenant without an entry.
    pub tenants: BTreeMap<Rc<str>, u32>,
    /// Maximum slots by route; no limit for a route without an entry.
    pub routes: BTreeMap<Rc<str>, u32>,
    /// Maximum slots by cluster; no limit for a cluster without an entry.
    pub clusters: BTreeMap<Rc<str>, u32>,
}

/// The tenant, route and cluster of the connection that occupies a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotOwner {
    /// The tenant of the connection.
    pub tenant: Rc<str>,
    /// The route of the connection.
    pub route: Rc<str>,
    /// The cluster of the connection.
    pub cluster: Rc<str>,
}

/// The reason for which no slot is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotUnavailable {
    /// All slots are occupied or claimed.
    Full,
    /// The limit of the tenant is reached.
    Tenant,
    /// The limit of the route is reached.
    Route,
    /// The limit of the cluster is reached.
    Cluster,
}

/// A rejection, and the tenant that has to give up a slot for the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRejected {
    /// The reason for which no slot is available.
    pub reason: SlotUnavailable,
    /// The tenant of which the caller has to close one connection, if any.
    pub reclaim_from: Option<Rc<str>>,
}

/// The occupied and reserved slots of one tenant.
#[derive(Debug, Default)]
struct TenantSlots {
    occupied: u32,
    /// Slots reserved for the tenant, which are free or occupied by a connection that is being
    /// closed.
    claims: u32,
    /// The time at which all claims of the tenant expire, in nanoseconds.
    claims_expire_at: Nanos,
}

/// All slots of the process.
#[derive(Debug, Default)]
pub struct SlotTable {
    config: SlotConfig,
    occupied: u32,
    tenants: BTreeMap<Rc<str>, TenantSlots>,
    routes: BTreeMap<Rc<str>, u32>,
    clusters: BTreeMap<Rc<str>, u32>,
}

fn is_full(occupied: &BTreeMap<Rc<str>, u32>, max: &BTreeMap<Rc<str>, u32>, name: &str) -> bool {
    let occupied = occupied.get(name).copied().unwrap_or(0);
    max.get(name).is_some_and(|max| occupied >= *max)
}

fn decrement(occupied: &mut BTreeMap<Rc<str>, u32>, name: &str) {
    match occupied.get_mut(name) {
        Some(count) if *count > 1 => *count -= 1,
        _ => drop(occupied.remove(name)),
    }
}

impl SlotTable {
    /// Changes the configuration. Occupied slots stay occupied.
    pub fn configure(&mut self, config: SlotConfig) {
        self.config = config;
    }

    /// Returns the number of occupied slots.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        self.occupied
    }

    /// Returns the number of slots occupied by each tenant; tenants without any are omitted.
    pub fn by_tenant(&self) -> impl Iterator<Item = (&Rc<str>, u32)> {
        let tenants = self.tenants.iter().filter(|(_, slots)| slots.occupied > 0);
        tenants.map(|(name, slots)| (name, slots.occupied))
    }

    /// Occupies a slot, which the caller must release with [`SlotTable::release`].
    ///
    /// # Errors
    ///
    /// Returns the reason for which no slot is available. The caller closes a connection of the
    /// tenant in `reclaim_from`; the freed slot stays reserved for [`CLAIM_DURATION`].
    pub fn acquire(&mut self, now: Nanos, owner: &SlotOwner) -> Result<(), SlotRejected> {
        self.expire_claims(now);
        self.check_bounds(owner).map_err(|reason| SlotRejected { reason, reclaim_from: None })?;
        let free = self.config.capacity.saturating_sub(self.occupied);
        if free > self.claimed_by_others(&owner.tenant) {
            self.occupy(owner);
            return Ok(());
        }
        let reclaim_from = self.claim(now, &owner.tenant);
        Err(SlotRejected { reason: SlotUnavailable::Full, reclaim_from })
    }

    /// Releases the slot of a closed connection.
    pub fn release(&mut self, owner: &SlotOwner) {
        self.occupied = self.occupied.saturating_sub(1);
        if let Some(slots) = self.tenants.get_mut(&owner.tenant) {
            slots.occupied = slots.occupied.saturating_sub(1);
        }
        decrement(&mut self.routes, &owner.route);
        decrement(&mut self.clusters, &owner.cluster);
        self.remove_idle_tenants();
    }

    fn check_bounds(&self, owner: &SlotOwner) -> Result<(), SlotUnavailable> {
        let SlotOwner { tenant, route, cluster } = owner;
        let occupied = self.tenants.get(tenant).map_or(0, |slots| slots.occupied);
        if self.config.tenants.get(tenant).is_some_and(|max| occupied >= *max) {
            return Err(SlotUnavailable::Tenant);
        }
        if is_full(&self.routes, &self.config.routes, route) {
            return Err(SlotUnavailable::Route);
        }
        if is_full(&self.clusters, &self.config.clusters, cluster) {
            return Err(SlotUnavailable::Cluster);
        }
        Ok(())
    }

    fn occupy(&mut self, owner: &SlotOwner) {
        let slots = self.tenants.entry(owner.tenant.clone()).or_default();
        slots.occupied += 1;
        slots.claims = slots.claims.saturating_sub(1);
        self.occupied += 1;
        *self.routes.entry(owner.route.clone()).or_default() += 1;
        *self.clusters.entry(owner.cluster.clone()).or_default() += 1;
    }

    fn share(&self, tenant: &str) -> f64 {
        self.config.shares.get(tenant).copied().unwrap_or(1.0)
    }

    /// Returns the number of slots that a tenant may occupy by its share, at least one. The
    /// capacity is divided between `claimant` and all tenants that occupy or claim slots.
    fn fair_share(&self, tenant: &str, claimant: &str) -> u32 {
        let mut total_share: f64 = self.tenants.keys().map(|name| self.share(name)).sum();
        if !self.tenants.contains_key(claimant) {
            total_share += self.share(claimant);
        }
        let capacity = f64::from(self.config.capacity);
        proportional_share(capacity, self.share(tenant), total_share).max(1)
    }

    /// Returns the number of slots claimed by other tenants.
    fn claimed_by_others(&self, tenant: &str) -> u32 {
        let others = self.tenants.iter().filter(|(name, _)| ***name != *tenant);
        others.map(|(_, slots)| slots.claims).sum()
    }

    fn expire_claims(&mut self, now: Nanos) {
        for slots in self.tenants.values_mut() {
            if slots.claims_expire_at <= now {
                slots.claims = 0;
            }
        }
        self.remove_idle_tenants();
    }

    fn remove_idle_tenants(&mut self) {
        self.tenants.retain(|_, slots| slots.occupied > 0 || slots.claims > 0);
    }

    /// Claims a slot for a tenant below its fair share. Returns the tenant of which a connection
    /// has to be closed; `None` if the claim is not granted.
    fn claim(&mut self, now: Nanos, tenant: &Rc<str>) -> Option<Rc<str>> {
        let own = self.tenants.get(tenant);
        let (occupied, claims) = own.map_or((0, 0), |slots| (slots.occupied, slots.claims));
        if occupied + claims >= self.fair_share(tenant, tenant) || claims >= MAX_CLAIMS {
            return None;
        }
        let reclaim_from = self.most_over_share(tenant)?;
        let slots = self.tenants.entry(tenant.clone()).or_default();
        slots.claims += 1;
        slots.claims_expire_at = now.saturating_add(CLAIM_DURATION);
        Some(reclaim_from)
    }

    /// Returns the tenant with the most slots relative to its share, among those over their fair
    /// share. Slots already claimed by others are still counted for the tenant that occupies them.
    fn most_over_share(&self, claimant: &Rc<str>) -> Option<Rc<str>> {
        let relative_load =
            |(name, slots): &(&Rc<str>, &TenantSlots)| f64::from(slots.occupied) / self.share(name);
        self.tenants
            .iter()
            .filter(|(name, _)| *name != claimant)
            .filter(|(name, slots)| slots.occupied > self.fair_share(name, claimant))
            .max_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))
            .map(|(name, _)| name.clone())
    }
}
