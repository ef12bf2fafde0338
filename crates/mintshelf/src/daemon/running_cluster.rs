//! A running cluster of the applied configuration.

use mintshelf_config::balancer::BalancerConfig;
use mintshelf_proxy::cluster::runtime::ClusterRuntime;
use mintshelf_proxy::gateway::config::ClusterHandle;
use mintshelf_proxy::upstream::response::UpstreamProtocol;
use mintshelf_recovery::Phase;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Current usage and state of a cluster.
pub struct ClusterUsage {
    /// Name of the cluster.
    pub cluster: String,
    /// Number of requests at the cluster that have no response yet.
    pub open_requests: usize,
    /// Number of timers that the cluster's decision module has set.
    pub timers: usize,
    /// Number of endpoints in the configured list.
    pub endpoints: usize,
    /// Whether the cluster works normally, is in an outage or recovers from one.
    pub phase: Phase,
    /// Number of rejected clients whose `Retry-After` time has not passed yet.
    pub expected_clients: u64,
}

/// Attempt counters of a cluster.
pub struct ClusterAttempts {
    /// Name of the cluster.
    pub cluster: String,
    /// Number of attempts that were ended by the per-attempt timeout.
    pub timed_out: u64,
    /// Number of hedges (second, parallel attempts of a request) that were sent.
    pub hedged: u64,
}

/// A running cluster of the applied configuration.
pub(super) struct RunningCluster {
    /// The handle that requests hold while they use the cluster.
    pub(super) handle: Rc<ClusterHandle>,
    /// The balancer settings that the running cluster uses.
    pub(super) config: BalancerConfig,
    pub(super) protocol: UpstreamProtocol,
    /// The task that runs [`ClusterRuntime::run`], which runs timers, closes dead connections
    /// and receives gossip.
    pub(super) background_task: AbortHandle,
}

impl RunningCluster {
    /// Returns the runtime of the cluster.
    pub(super) fn runtime(&self) -> &Rc<ClusterRuntime> {
        &self.handle.runtime
    }

    /// Returns whether the cluster has no open request.
    pub(super) fn is_idle(&self) -> bool {
        self.runtime().is_idle()
    }

    /// Returns the current usage under the given cluster name.
    pub(super) fn usage(&self, name: &str) -> ClusterUsage {
        let usage = self.runtime().usage();
        let recovery = self.runtime().recovery_status();
        ClusterUsage {
            cluster: name.to_string(),
            open_requests: usage.requests,
            timers: usage.timers,
            endpoints: self.config.servers.len(),
            phase: recovery.map_or(Phase::Normal, |recovery| recovery.phase),
            expected_clients: recovery.map_or(0, |recovery| recovery.expected_clients),
        }
    }

    /// Returns the attempt counters under the given cluster name.
    pub(super) fn attempts(&self, name: &str) -> ClusterAttempts {
        let counts = self.runtime().attempt_counts();
        ClusterAttempts {
            cluster: name.to_string(),
            timed_out: counts.timed_out,
            hedged: counts.hedged,
        }
    }

    /// Returns whether the running cluster can adopt a configuration, which is the case if nothing
    /// but the endpoints differs.
    pub(super) fn can_apply_in_place(
        &self,
        config: &BalancerConfig,
        protocol: &UpstreamProtocol,
    ) -> bool {
        self.config.differs_in_servers_only(config) && self.protocol == *protocol
    }
}
