//! The configuration of a cluster's runtime.

use super::peers::PeerGossip;
use super::recovery::RecoveryTracker;
use crate::upstream::connection_limits::ClusterLimits;
use crate::upstream::pool::UpstreamSettings;
use crate::upstream::response::UpstreamProtocol;
use mintshelf_balancer::api::{ReportMode, Settings};
use mintshelf_config::platform::Names;
use mintshelf_retry::policy::RetryPolicy;
use mintshelf_time::Nanos;
use std::net::SocketAddr;
use std::time::Duration;

/// The discovery service of a cluster.
pub struct DiscoverySpec {
    /// The address that the discovery service listens on.
    pub address: SocketAddr,
    /// The cached list of the configuration, in the format of the service.
    pub cached_list: Option<String>,
}

/// The configuration of a cluster's runtime.
pub struct ClusterSpec {
    /// The decision module's settings.
    pub settings: Settings,
    /// Names of classes, tenants, zones, hardware models and load report fields in the settings.
    pub names: Names,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The protocol by which the servers' responses are interpreted.
    pub protocol: UpstreamProtocol,
    /// Gossip with other sidecars, if there is any.
    pub peers: Option<PeerGossip>,
    /// `None` if the endpoints are set by [`super::runtime::ClusterRuntime::set_endpoints`].
    pub discovery: Option<DiscoverySpec>,
    /// Length of the recovery ramp after an outage of the cluster, in nanoseconds, 0 for none; `None`
    /// on the platform, which limits the traffic during a recovery itself.
    pub recovery_ramp: Option<Nanos>,
    /// The retry policy of each class; empty on the platform, whose configuration covers retries.
    pub retry_policies: Vec<RetryPolicy>,
    /// Limits on the connections to the cluster.
    pub connection_limits: ClusterLimits,
    /// Load of an open WebSocket relative to a request in flight, 0 to 1.
    pub socket_weight: f64,
    /// The cluster's name in the log; `None` if single requests are not logged.
    pub name: Option<String>,
}

impl ClusterSpec {
    /// Returns the settings of the connections to the cluster's servers.
    pub(super) fn upstream_settings(&self) -> UpstreamSettings {
        UpstreamSettings {
            connect_timeout: Duration::from_nanos(self.settings.connect_timeout),
            idle_timeout: Duration::from_nanos(self.settings.idle_timeout),
            protocol: self.protocol.clone(),
            limits: self.connection_limits,
        }
    }

    /// Creates the tracker of the cluster's outages, if the cluster has a recovery ramp.
    pub(super) fn recovery_tracker(&self) -> Option<RecoveryTracker> {
        let ramp = self.recovery_ramp?;
        Some(RecoveryTracker::new(self.seed, ramp, self.settings.max_retry_after))
    }

    /// Returns the fields of the load reports in responses; `None` if responses carry no reports.
    pub(super) fn response_report_fields(&self) -> Option<Vec<String>> {
        let carries_reports = self.settings.report_mode == ReportMode::WithResponses;
        carries_reports.then(|| self.names.report_fields.clone())
    }

    /// Returns the fields of the load reports that health checks request; empty if there are none.
    pub(super) fn health_report_fields(&self) -> Vec<String> {
        match self.settings.report_mode {
            ReportMode::Never => Vec::new(),
            _ => self.names.report_fields.clone(),
        }
    }
}
