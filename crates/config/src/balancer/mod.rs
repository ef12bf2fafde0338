//! Derives the configuration of the decision module from a cluster of the operator's file.

mod class;
mod schedule;
mod servers;
mod settings;
mod severity;

pub use class::BalancerClass;
pub use schedule::{attempt_schedule, effective_timeout};
pub use servers::ClusterServer;
pub(crate) use severity::severity;

use crate::model::{Cluster, ConnectionLimits, OperatorConfig};
use class::cluster_classes;
use mintshelf_balancer::api::Settings;
use mintshelf_retry::policy::RetryPolicy;
use mintshelf_time::{from_duration, Nanos};
use servers::{cluster_servers, Zones};
use settings::module_settings;
use std::collections::BTreeMap;

/// The configuration with which a cluster's instance of the decision module is started.
#[derive(Debug, Clone, PartialEq)]
pub struct BalancerConfig {
    /// The settings of the decision module for this cluster.
    pub settings: Settings,
    /// The classes of the routes that forward to the cluster, by name.
    pub classes: BTreeMap<String, BalancerClass>,
    /// The cluster's servers with a nonzero weight.
    pub servers: Vec<ClusterServer>,
    /// Upper bounds of the connections to the cluster and to each endpoint.
    pub connections: ConnectionLimits,
    /// Upper bounds of the WebSocket connections to the cluster and to each endpoint.
    pub sockets: ConnectionLimits,
    /// The load of an open WebSocket connection relative to that of a request.
    pub socket_weight: f64,
    /// The time over which WebSocket connections leave a removed endpoint.
    pub socket_spread: Nanos,
    /// The time over which traffic returns after an outage of the whole cluster.
    pub recovery_ramp: Nanos,
    /// The retry policy of each class, in the order of the classes in `settings`.
    pub retry_policies: Vec<RetryPolicy>,
}

impl BalancerConfig {
    /// Returns whether the two configurations differ only in their servers. A running instance
    /// applies such a change like any endpoint list.
    #[must_use]
    pub fn differs_in_servers_only(&self, other: &BalancerConfig) -> bool {
        *other == BalancerConfig { servers: other.servers.clone(), ..self.clone() }
    }
}

/// Returns the configuration of the cluster that the file names `name`.
#[must_use]
pub fn balancer_config(config: &OperatorConfig, name: &str, cluster: &Cluster) -> BalancerConfig {
    let classes = cluster_classes(config, name, cluster);
    let zones = Zones::of(cluster);
    BalancerConfig {
        settings: module_settings(cluster, &zones, classes.settings),
        classes: classes.by_name,
        servers: cluster_servers(cluster, &zones),
        connections: cluster.connections,
        sockets: cluster.sockets,
        socket_weight: cluster.socket_weight,
        socket_spread: from_duration(cluster.socket_spread),
        recovery_ramp: from_duration(cluster.recovery_ramp),
        retry_policies: classes.retry_policies,
    }
}
