//! The active tenants of a fair queue and their reserved concurrency.
//!
//! A fraction of each tenant's share of the concurrency limit is reserved for it while it is
//! active. The rest is available to all tenants, first come, first served.

use super::config::FairQueueConfig;
use super::rank::Rank;
use super::tenant::ActiveTenant;
use crate::share::proportional_share;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time after its last request during which a tenant stays active.
const ACTIVE_PERIOD: Nanos = SECOND;
/// Interval at which inactive tenants are removed.
const SWEEP_INTERVAL: Nanos = 100 * MILLISECOND;
/// Fraction of a tenant's share of the concurrency that is reserved for the tenant. A larger
/// fraction would leave capacity unused while other tenants wait, and waiting tenants are served by
/// their shares in any case.
const RESERVED_FRACTION: f64 = 0.25;

/// A request that was removed from the queue.
pub(super) struct Dequeued {
    pub(super) rank: Rank,
    pub(super) expected_latency: Nanos,
}

/// Owns the active tenants: their requests in flight and waiting, and their reservations.
#[derive(Debug, Default)]
pub(super) struct ActiveTenants {
    tenants: BTreeMap<Rc<str>, ActiveTenant>,
    /// Total number of requests in flight of all tenants.
    in_flight: u32,
    /// Sum of the unused reservations of all tenants.
    unused_reservations: u32,
    swept_at: Nanos,
}

impl ActiveTenants {
    /// Returns the number of requests in flight of all tenants.
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests of a tenant that are in flight or waiting.
    pub(super) fn load(&self, tenant: &str) -> u32 {
        self.tenants.get(tenant).map_or(0, ActiveTenant::load)
    }

    /// Records that a tenant is active. A new tenant gets its reservation.
    pub(super) fn record_activity(
        &mut self,
        now: Nanos,
        tenant: &Rc<str>,
        config: &FairQueueConfig,
    ) {
        let is_known = self.tenants.contains_key(tenant);
        self.tenants.entry(tenant.clone()).or_default().last_seen = now;
        let has_divided = self.sweep(now, config);
        if !is_known && !has_divided {
            self.divide_reservations(config);
        }
    }

    /// Removes inactive tenants and recomputes the reservations once per [`SWEEP_INTERVAL`].
    /// Returns whether this call did so.
    pub(super) fn sweep(&mut self, now: Nanos, config: &FairQueueConfig) -> bool {
        if now.saturating_sub(self.swept_at) < SWEEP_INTERVAL {
            return false;
        }
        self.swept_at = now;
        self.tenants.retain(|_, tenant| {
            tenant.load() > 0 || now.saturating_sub(tenant.last_seen) < ACTIVE_PERIOD
        });
        self.divide_reservations(config);
        true
    }

    /// Recomputes the reservations of the active tenants from their shares.
    pub(super) fn divide_reservations(&mut self, config: &FairQueueConfig) {
        for (name, tenant) in &mut self.tenants {
            tenant.share = config.share(name);
        }
        let total_share: f64 = self.tenants.values().map(|tenant| tenant.share).sum();
        let reservable = f64::from(config.max_concurrency) * RESERVED_FRACTION;
        self.unused_reservations = 0;
        for tenant in self.tenants.values_mut() {
            tenant.reserved = proportional_share(reservable, tenant.share, total_share);
            self.unused_reservations += tenant.unused_reservation();
        }
    }

    /// Returns whether a request of this tenant can be admitted without waiting.
    pub(super) fn can_admit_immediately(&self, tenant: &str, config: &FairQueueConfig) -> bool {
        self.tenants
            .get(tenant)
            .is_some_and(|tenant| !tenant.is_waiting() && self.has_capacity_for(tenant, config))
    }

    fn has_capacity_for(&self, tenant: &ActiveTenant, config: &FairQueueConfig) -> bool {
        let free = config.max_concurrency.saturating_sub(self.in_flight);
        free > 0 && (tenant.has_unused_reservation() || free > self.unused_reservations)
    }

    /// Counts a request of an active tenant as in flight.
    pub(super) fn begin(&mut self, tenant: &str) {
        let Some(tenant) = self.tenants.get_mut(tenant) else { return };
        if tenant.has_unused_reservation() {
            self.unused_reservations -= 1;
        }
        tenant.in_flight += 1;
        self.in_flight += 1;
    }

    /// Records that a request of a tenant is no longer in flight.
    pub(super) fn end(&mut self, tenant: &str) {
        let tenant = self.tenants.get_mut(tenant);
        let Some(tenant) = tenant.filter(|tenant| tenant.in_flight > 0) else { return };
        tenant.in_flight -= 1;
        if tenant.has_unused_reservation() {
            self.unused_reservations += 1;
        }
        self.in_flight -= 1;
    }

    /// Returns the tenant whose request is admitted next: among tenants with a waiting request that
    /// can be admitted, the one with the fewest requests in flight relative to its share.
    pub(super) fn next_to_admit(&self, config: &FairQueueConfig) -> Option<Rc<str>> {
        self.tenants
            .iter()
            .filter(|(_, tenant)| tenant.is_waiting() && self.has_capacity_for(tenant, config))
            .map(|(name, tenant)| (name, tenant.relative_load_after_admission()))
            .min_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(name, _)| name.clone())
    }

    /// Returns the tenant with the highest load relative to its share, among those with waiting
    /// requests.
    pub(super) fn most_loaded_waiting(&self) -> Option<Rc<str>> {
        self.tenants
            .iter()
            .filter(|(_, tenant)| tenant.is_waiting())
            .map(|(name, tenant)| (name, tenant.relative_load()))
            .max_by(|left, right| left.1.total_cmp(&right.1))
            .map(|(name, _)| name.clone())
    }

    /// Adds a waiting request.
    pub(super) fn push(&mut self, tenant: &Rc<str>, rank: Rank, expected_latency: Nanos) {
        let tenant = self.tenants.entry(tenant.clone()).or_default();
        tenant.waiting.insert(rank, expected_latency);
    }

    /// Removes a waiting request.
    pub(super) fn remove(&mut self, tenant: &str, rank: &Rank) {
        if let Some(tenant) = self.tenants.get_mut(tenant) {
            tenant.waiting.remove(rank);
        }
    }

    /// Removes and returns the first waiting request of a tenant.
    pub(super) fn pop_first(&mut self, tenant: &str) -> Option<Dequeued> {
        let (rank, expected_latency) = self.tenants.get_mut(tenant)?.waiting.pop_first()?;
        Some(Dequeued { rank, expected_latency })
    }

    /// Removes and returns the last waiting request of a tenant.
    pub(super) fn pop_last(&mut self, tenant: &str) -> Option<Rank> {
        let (rank, _) = self.tenants.get_mut(tenant)?.waiting.pop_last()?;
        Some(rank)
    }

    /// Returns the rank of the waiting request of a tenant that would be admitted last.
    pub(super) fn last_rank(&self, tenant: &str) -> Option<&Rank> {
        let (rank, _) = self.tenants.get(tenant)?.waiting.last_key_value()?;
        Some(rank)
    }
}
