//! The clusters of the applied configuration, each with its own instance of the balancer.

use super::running_cluster::{ClusterAttempts, ClusterUsage, RunningCluster};
use mintshelf_balancer::api::ServerId;
use mintshelf_config::balancer::{balancer_config, BalancerConfig, ClusterServer};
use mintshelf_config::model::{Cluster, OperatorConfig};
use mintshelf_config::platform::Names;
use mintshelf_proxy::cluster::runtime::ClusterRuntime;
use mintshelf_proxy::cluster::spec::ClusterSpec;
use mintshelf_proxy::gateway::config::ClusterHandle;
use mintshelf_proxy::upstream::connection_limits::ClusterLimits;
use mintshelf_proxy::upstream::pool::ConnectionPool;
use mintshelf_proxy::upstream::response::{PlainProtocol, UpstreamProtocol};
use mintshelf_proxy::websocket::registry::SocketRegistry;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval of the checks whether all requests have ended.
pub(super) const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The clusters of the applied configuration and their shared resources.
pub(super) struct ClusterSet {
    clusters: BTreeMap<String, RunningCluster>,
    connections: Rc<ConnectionPool>,
    sockets: Rc<SocketRegistry>,
    /// Longest time without a byte within a response.
    stream_timeout: Duration,
    /// Random number that makes the ids of this process differ from the ids of other processes.
    seed: u64,
}

impl ClusterSet {
    /// Creates an empty set.
    pub(super) fn new(
        connections: Rc<ConnectionPool>,
        sockets: Rc<SocketRegistry>,
        stream_timeout: Duration,
        seed: u64,
    ) -> Self {
        ClusterSet { clusters: BTreeMap::new(), connections, sockets, stream_timeout, seed }
    }

    /// Returns a handle to each cluster, by name.
    pub(super) fn handles(&self) -> HashMap<String, Rc<ClusterHandle>> {
        let clusters = self.clusters.iter();
        clusters.map(|(name, running)| (name.clone(), running.handle.clone())).collect()
    }

    /// Returns whether no cluster has an open request.
    pub(super) fn is_idle(&self) -> bool {
        self.clusters.values().all(RunningCluster::is_idle)
    }

    /// Returns the current usage of each cluster.
    pub(super) fn usage(&self) -> Vec<ClusterUsage> {
        self.clusters.iter().map(|(name, running)| running.usage(name)).collect()
    }

    /// Returns the attempt counters of each cluster.
    pub(super) fn attempts(&self) -> Vec<ClusterAttempts> {
        self.clusters.iter().map(|(name, running)| running.attempts(name)).collect()
    }

    /// Returns the address of a cluster's endpoint, if it is listed.
    pub(super) fn endpoint_address(&self, cluster: &str, server: ServerId) -> Option<SocketAddr> {
        self.clusters.get(cluster)?.runtime().address(server)
    }

    /// Returns the name and the endpoints of each cluster.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = (&str, &[ClusterServer])> {
        let clusters = self.clusters.iter();
        clusters.map(|(name, running)| (name.as_str(), running.config.servers.as_slice()))
    }

    /// Applies the clusters of a configuration. A cluster whose settings are unchanged keeps its
    /// learned state and gets changed endpoints as a new endpoint list.
    pub(super) fn apply(&mut self, config: &OperatorConfig) {
        let mut previous = std::mem::take(&mut self.clusters);
        for (name, cluster) in &config.clusters {
            let balancer = balancer_config(config, name, cluster);
            let protocol = self.protocol(cluster);
            let running = match previous.remove(name) {
                Some(running) if running.can_apply_in_place(&balancer, &protocol) => {
                    self.update_endpoints(running, balancer)
                }
                changed => {
                    changed.into_iter().for_each(|running| self.retire(running));
                    self.start_cluster(name, balancer, protocol)
                }
            };
            self.clusters.insert(name.clone(), running);
        }
        previous.into_values().for_each(|running| self.retire(running));
    }

    fn protocol(&self, cluster: &Cluster) -> UpstreamProtocol {
        UpstreamProtocol::Plain(PlainProtocol {
            failure_statuses: cluster.failure_statuses.clone(),
            never_ran_header: cluster.never_ran_header.clone(),
            stall_timeout: self.stream_timeout,
        })
    }

    fn update_endpoints(
        &self,
        mut running: RunningCluster,
        config: BalancerConfig,
    ) -> RunningCluster {
        if running.config.servers != config.servers {
            let runtime = running.runtime();
            runtime.set_endpoints(config.servers.clone());
            let servers = config.servers.iter().map(|server| server.listed.id).collect();
            let reason = "its server leaves the cluster";
            self.sockets.retain_servers(runtime.number(), &servers, reason);
            running.config = config;
        }
        running
    }

    fn start_cluster(
        &self,
        name: &str,
        config: BalancerConfig,
        protocol: UpstreamProtocol,
    ) -> RunningCluster {
        let spec = self.cluster_spec(name, &config, &protocol);
        let runtime = ClusterRuntime::start(spec, self.connections.clone());
        let number = runtime.number();
        runtime.set_endpoints(config.servers.clone());
        self.sockets.set_migration_window(number, config.socket_spread);
        let sockets = self.sockets.clone();
        runtime.on_suspected_failure(move |server| {
            sockets.probe_server(number, server);
        });
        let classes = config.classes.clone();
        let handle = Rc::new(ClusterHandle { runtime: runtime.clone(), classes });
        let background_task = spawn_local(async move { runtime.run().await }).abort_handle();
        RunningCluster { handle, config, protocol, background_task }
    }

    fn cluster_spec(
        &self,
        name: &str,
        config: &BalancerConfig,
        protocol: &UpstreamProtocol,
    ) -> ClusterSpec {
        ClusterSpec {
            settings: config.settings.clone(),
            names: Names::default(),
            seed: self.seed,
            protocol: protocol.clone(),
            peers: None,
            discovery: None,
            recovery_ramp: Some(config.recovery_ramp),
            retry_policies: config.retry_policies.clone(),
            connection_limits: ClusterLimits {
                connections: config.connections,
                sockets: config.sockets,
            },
            socket_weight: config.socket_weight,
            name: Some(name.to_string()),
        }
    }

    /// Stops a cluster that is no longer configured, once its requests have ended. Its WebSocket
    /// connections migrate to the cluster that replaces it if their routes allow that; otherwise
    /// they are closed.
    fn retire(&self, running: RunningCluster) {
        let sockets = self.sockets.clone();
        let number = running.runtime().number();
        sockets.retain_servers(number, &HashSet::new(), "its cluster has changed");
        spawn_local(async move {
            // A request that still uses the earlier configuration holds the handle, and may begin
            // yet.
            while !running.is_idle() || Rc::strong_count(&running.handle) > 1 {
                sleep(IDLE_CHECK_INTERVAL).await;
            }
            sockets.remove_cluster(number);
            running.background_task.abort();
        });
    }
}
