//! The discovery service: its endpoints, who watches them, and the limit on its calls.

use crate::fleet::DiscoveryConfig;
use mintshelf_balancer::api::{EndpointState, ListedServer, ServerId};
use mintshelf_time::{as_float, from_float, Nanos, SECOND};
use std::collections::BTreeMap;

/// The discovery service of the simulated site.
pub(crate) struct DiscoveryService {
    config: DiscoveryConfig,
    endpoints: BTreeMap<ServerId, ListedServer>,
    /// Whether each sidecar watches, by its number.
    watches: Vec<bool>,
    /// Time at which the service can begin the next call, in nanoseconds.
    free_at: Nanos,
}

/// The result of a call.
pub(crate) struct CallResult {
    pub(crate) ends_at: Nanos,
    pub(crate) is_answered: bool,
}

/// A sidecar that is to be notified of a change.
pub(crate) struct Notification {
    pub(crate) sidecar: usize,
    pub(crate) delay: Nanos,
}

impl DiscoveryService {
    /// Creates a service with the initial servers, without watches.
    pub(crate) fn new(
        config: DiscoveryConfig,
        sidecars: usize,
        endpoints: &[ListedServer],
    ) -> Self {
        let endpoints = endpoints.iter().map(|entry| (entry.id, entry.clone())).collect();
        DiscoveryService { config, endpoints, watches: vec![false; sidecars], free_at: 0 }
    }

    /// Returns the delay between a change and its entry in the endpoint list. `uniform` is a random
    /// number in [0, 1).
    pub(crate) fn notice_delay(&self, uniform: f64) -> Nanos {
        let DiscoveryConfig { min_notice, max_notice, .. } = self.config;
        min_notice + from_float(uniform * as_float(max_notice.saturating_sub(min_notice)))
    }

    /// Accepts a call, which fails if it would wait longer than the timeout.
    pub(crate) fn call(&mut self, now: Nanos) -> CallResult {
        let begins_at = self.free_at.max(now);
        if begins_at - now > self.config.timeout {
            return CallResult { ends_at: now + self.config.timeout, is_answered: false };
        }
        self.free_at = begins_at + from_float(as_float(SECOND) / self.config.calls_per_second);
        CallResult { ends_at: self.free_at, is_answered: true }
    }

    /// Sets whether a sidecar watches.
    pub(crate) fn set_watch(&mut self, sidecar: usize, is_watching: bool) {
        self.watches[sidecar] = is_watching;
    }

    /// Applies a change and returns the sidecars to notify. The delay of a sidecar is the same for
    /// all changes, so that no notification overtakes an earlier one.
    pub(crate) fn apply(&mut self, entry: ListedServer) -> Vec<Notification> {
        if entry.state == EndpointState::Removed {
            self.endpoints.remove(&entry.id);
        } else {
            self.endpoints.insert(entry.id, entry);
        }
        let sidecars = self.watches.len().max(1) as u64;
        let watching = self.watches.iter().enumerate().filter(|(_, is_watching)| **is_watching);
        let notification = |(sidecar, _)| {
            let delay = self.config.spread * sidecar as u64 / sidecars;
            Notification { sidecar, delay }
        };
        watching.map(notification).collect()
    }

    /// Returns the complete endpoint list.
    pub(crate) fn endpoint_list(&self) -> Vec<ListedServer> {
        self.endpoints.values().cloned().collect()
    }
}
