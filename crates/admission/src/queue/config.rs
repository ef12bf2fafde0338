//! Configuration of a fair queue.

use std::collections::BTreeMap;
use std::rc::Rc;

/// Share of a tenant without a configured share.
const DEFAULT_SHARE: f64 = 1.0;

/// The limits of a queue and the shares of its tenants.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FairQueueConfig {
    /// Maximum number of requests in flight.
    pub max_concurrency: u32,
    /// Maximum number of waiting requests.
    pub max_queued: u32,
    /// Shares by tenant; 1 for a tenant without an entry.
    pub shares: BTreeMap<Rc<str>, f64>,
}

impl FairQueueConfig {
    /// Returns settings that limit nothing.
    pub(crate) fn unlimited() -> Self {
        FairQueueConfig { max_concurrency: u32::MAX, max_queued: u32::MAX, ..Self::default() }
    }

    /// Returns the share of a tenant, always positive.
    pub(super) fn share(&self, tenant: &str) -> f64 {
        let share = self.shares.get(tenant).copied().unwrap_or(DEFAULT_SHARE);
        share.max(f64::MIN_POSITIVE)
    }
}
