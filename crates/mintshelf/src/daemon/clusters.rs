//! Clusters: each runs its own instance of the decision module.

use super::{Daemon, State, IDLE_CHECK_INTERVAL};
use mintshelf_config::balancer::{balancer_config, BalancerConfig};
use mintshelf_config::model::{Cluster, OperatorConfig};
use mintshelf_config::platform::Names;
use mintshelf_proxy::cluster::runtime::ClusterRuntime;
use mintshelf_proxy::cluster::spec::ClusterSpec;
use mintshelf_proxy::gateway::config::ClusterHandle;
use mintshelf_proxy::upstream::connection_limits::ClusterLimits;
use mintshelf_proxy::upstream::response::{PlainProtocol, UpstreamProtocol};
use std::collections::HashSet;
use std::rc::Rc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

/// A cluster of the applied configuration.
pub(super) struct RunningCluster {
    handle: Rc<ClusterHandle>,
    config: BalancerConfig,
    protocol: UpstreamProtocol,
    /// The task that runs what goes by the clock.
    task: AbortHandle,
}

impl RunningCluster {
    /// What requests hold of the cluster.
    pub(super) fn handle(&self) -> Rc<ClusterHandle> {
        self.handle.clone()
    }

    /// The cluster's runtime.
    pub(super) fn runtime(&self) -> &Rc<ClusterRuntime> {
        &self.handle.runtime
    }

    /// The settings that the cluster runs with.
    pub(super) fn config(&self) -> &BalancerConfig {
        &self.config
    }

    /// Whether no request is open at the cluster.
    pub(super) fn is_idle(&self) -> bool {
        self.runtime().is_idle()
    }

    /// Whether the cluster can go on with this configuration, with its endpoints at most changed.
    fn can_continue(&self, config: &BalancerConfig, protocol: &UpstreamProtocol) -> bool {
        self.config.differs_in_servers_only(config) && self.protocol == *protocol
    }
}

impl Daemon {
    /// Applies the clusters of a configuration. One whose settings have not changed goes on with all
    /// that it has learned; changed endpoints reach it like any other list.
    pub(super) fn apply_clusters(&self, state: &mut State, config: &OperatorConfig) {
        let mut previous = std::mem::take(&mut state.clusters);
        for (name, cluster) in &config.clusters {
            let balancer = balancer_config(config, name, cluster);
            let protocol = self.protocol(cluster);
            let running = match previous.remove(name) {
                Some(running) if running.can_continue(&balancer, &protocol) => {
                    self.update_endpoints(running, balancer)
                }
                changed => {
                    changed.into_iter().for_each(|running| self.retire(running));
                    self.start_cluster(name, balancer, protocol)
                }
            };
            state.clusters.insert(name.clone(), running);
        }
        previous.into_values().for_each(|running| self.retire(running));
    }

    fn protocol(&self, cluster: &Cluster) -> UpstreamProtocol {
        UpstreamProtocol::Plain(PlainProtocol {
            failure_statuses: cluster.failure_statuses.clone(),
            never_ran_header: cluster.never_ran_header.clone(),
            stall_timeout: self.startup.limits.stream_timeout,
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
        runtime.on_suspicion(move |server| {
            sockets.probe_server(number, server);
        });
        let classes = config.classes.clone();
        let handle = Rc::new(ClusterHandle { runtime: runtime.clone(), classes });
        let task = spawn_local(async move { runtime.run().await }).abort_handle();
        RunningCluster { handle, config, protocol, task }
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

    /// Lets a cluster that is no longer in force end its requests, then stops it. Its WebSocket connections
    /// migrate to the cluster that replaces it, where their routes allow that, or are closed.
    fn retire(&self, running: RunningCluster) {
        let sockets = self.sockets.clone();
        let number = running.runtime().number();
        sockets.retain_servers(number, &HashSet::new(), "its cluster has changed");
        spawn_local(async move {
            // A request that holds the earlier configuration may still begin: it holds the handle.
            while !running.is_idle() || Rc::strong_count(&running.handle) > 1 {
                sleep(IDLE_CHECK_INTERVAL).await;
            }
            sockets.remove_cluster(number);
            running.task.abort();
        });
    }
}
