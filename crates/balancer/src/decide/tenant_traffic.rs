//! Traffic of tenants over all instances, and the share of it that exceeds their quotas.

use super::traffic::{RATE_HALF_LIFE, RATE_TIME_CONSTANT_SECONDS};
use crate::api::{Settings, TenantId};
use crate::decay::DecayingCounter;
use mintshelf_time::Nanos;

/// Lower bound of the weight of the traffic counts, in instances.
const MIN_WEIGHT: f64 = 1e-3;
/// Lower bound of rates used as divisors, in requests per second.
const MIN_RATE: f64 = 1e-9;

/// Decaying counts of the requests of each tenant, at this instance and received from peers.
#[derive(Debug, Default)]
pub(crate) struct TenantTraffic {
    by_tenant: Vec<DecayingCounter>,
    /// Number of instances whose traffic `by_tenant` represents.
    weight: DecayingCounter,
}

/// Half of one instance's counts of the tenants' traffic.
#[derive(Debug, PartialEq)]
pub(crate) struct TenantTrafficHalf {
    /// Number of instances whose traffic the counts represent.
    pub(crate) weight: f64,
    /// Half of the decayed number of requests of each tenant, indexed by tenant.
    pub(crate) by_tenant: Vec<f64>,
}

impl TenantTraffic {
    /// Creates the counts of an instance that starts at `now`.
    pub(crate) fn new(settings: &Settings, now: Nanos) -> Self {
        let mut weight = DecayingCounter::default();
        weight.add(now, RATE_HALF_LIFE, 1.0 / RATE_TIME_CONSTANT_SECONDS);
        let by_tenant = vec![DecayingCounter::default(); settings.tenants.len()];
        TenantTraffic { by_tenant, weight }
    }

    /// Counts a request of a tenant, if there are tenants. The weight moves towards that of one
    /// instance: if it were only halved by each message sent, lost messages would inflate the
    /// estimated traffic.
    pub(crate) fn count(&mut self, now: Nanos, tenant: TenantId) {
        self.weight.approach_one(now, RATE_HALF_LIFE);
        if let Some(counter) = self.by_tenant.get_mut(tenant.index()) {
            counter.add(now, RATE_HALF_LIFE, 1.0);
        }
    }

    /// Removes half of the counts and returns it, to be sent to a peer.
    pub(crate) fn take_half(&mut self, now: Nanos) -> TenantTrafficHalf {
        let halve = |counter: &mut DecayingCounter| {
            counter.sum /= 2.0;
            counter.get(now, RATE_HALF_LIFE)
        };
        let weight = halve(&mut self.weight);
        TenantTrafficHalf { weight, by_tenant: self.by_tenant.iter_mut().map(halve).collect() }
    }

    /// Adds counts received from a peer.
    pub(crate) fn merge(&mut self, now: Nanos, half: &TenantTrafficHalf) {
        self.weight.approach_one(now, RATE_HALF_LIFE);
        self.weight.add(now, RATE_HALF_LIFE, half.weight);
        for (counter, sum) in self.by_tenant.iter_mut().zip(&half.by_tenant) {
            counter.add(now, RATE_HALF_LIFE, *sum);
        }
    }

    /// Returns the share of a tenant's traffic that exceeds its quota, which is 0 or less if none
    /// does. Without peers, a busy instance would overestimate the traffic of all instances from
    /// its own; there the total is limited to the sum of the quotas, and only the mix of tenants
    /// counts.
    pub(crate) fn over_quota_share(
        &self,
        settings: &Settings,
        now: Nanos,
        tenant: TenantId,
    ) -> f64 {
        let tenant = tenant.index();
        let Some(quota) = settings.tenants.get(tenant) else { return 0.0 };
        let weight = self.weight.get(now, RATE_HALF_LIFE).max(MIN_WEIGHT);
        let scale = f64::from(settings.instances) / RATE_TIME_CONSTANT_SECONDS / weight;
        let fleet_rate = |counter: &DecayingCounter| counter.get(now, RATE_HALF_LIFE) * scale;
        let mut rate = fleet_rate(&self.by_tenant[tenant]);
        if !settings.has_peers {
            let total_quota: f64 =
                settings.tenants.iter().map(|other| other.quota_per_second).sum();
            let total_rate: f64 = self.by_tenant.iter().map(fleet_rate).sum();
            rate *= (total_quota / total_rate.max(MIN_RATE)).min(1.0);
        }
        1.0 - quota.quota_per_second / rate.max(MIN_RATE)
    }
}
