//! The bounds of a queue and the shares of its tenants.

use std::collections::BTreeMap;
use std::rc::Rc;

/// Share of a tenant that the configuration does not name.
const DEFAULT_SHARE: f64 = 1.0;

/// The bounds of a queue and the shares of its tenants.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FairQueueConfig {
    /// Upper bound of the requests in flight.
    pub max_concurrency: u32,
    /// Upper bound of the requests that wait.
    pub max_queued: u32,
    /// Shares of tenants; 1 for one that is not named.
    pub shares: BTreeMap<Rc<str>, f64>,
}

impl FairQueueConfig {
    /// Without bounds.
    pub(crate) fn unlimited() -> Self {
        FairQueueConfig { max_concurrency: u32::MAX, max_queued: u32::MAX, ..Self::default() }
    }

    /// The share of a tenant, which is positive.
    pub(super) fn share(&self, tenant: &str) -> f64 {
        let share = self.shares.get(tenant).copied().unwrap_or(DEFAULT_SHARE);
        share.max(f64::MIN_POSITIVE)
    }
}
