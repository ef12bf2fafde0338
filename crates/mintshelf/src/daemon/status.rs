//! What the admin listener shows of the daemon.

use super::{Daemon, State};
use mintshelf_balancer::api::ServerId;
use mintshelf_config::balancer::ClusterServer;
use mintshelf_config::model::{OperatorConfig, Route, RouteAction};
use mintshelf_recovery::Phase;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::UNIX_EPOCH;

/// Levels of one cluster.
pub struct ClusterUsage {
    /// Its name.
    pub cluster: String,
    /// Requests that have no response yet.
    pub open_requests: usize,
    /// Timers that are set for them.
    pub timers: usize,
    /// Endpoints in its list.
    pub endpoints: usize,
    /// Whether it is out or recovers.
    pub phase: Phase,
    /// Clients that were given a time to come back that has not passed yet.
    pub expected_clients: u64,
}

/// Counts of one cluster's attempts.
pub struct ClusterAttempts {
    /// Its name.
    pub cluster: String,
    /// Attempts that were ended by their own timeout.
    pub timed_out: u64,
    /// Hedges that were sent.
    pub hedged: u64,
}

impl Daemon {
    /// Reloads by their result: as the metric's label and the count.
    pub fn reloads(&self) -> [(&'static str, u64); 2] {
        [("taken", self.reloads.applied.get()), ("refused", self.reloads.rejected.get())]
    }

    /// Requests by route since the start, also of routes that are no longer in force.
    pub fn requests_by_route(&self) -> Vec<(String, u64)> {
        let mut requests = self.stats.routes.borrow().clone();
        for listener in self.state.borrow().listeners.values() {
            for (route, count) in listener.handler.config().hits() {
                *requests.entry(route.to_string()).or_default() += count;
            }
        }
        requests.into_iter().collect()
    }

    /// The levels of each cluster.
    pub fn cluster_usage(&self) -> Vec<ClusterUsage> {
        let state = self.state.borrow();
        let usage = state.clusters.iter().map(|(name, running)| {
            let runtime = running.runtime();
            let usage = runtime.usage();
            let recovery = runtime.recovery_status();
            ClusterUsage {
                cluster: name.clone(),
                open_requests: usage.requests,
                timers: usage.timers,
                endpoints: running.config().servers.len(),
                phase: recovery.map_or(Phase::Normal, |recovery| recovery.phase),
                expected_clients: recovery.map_or(0, |recovery| recovery.expected_clients),
            }
        });
        usage.collect()
    }

    /// The counts of each cluster's attempts.
    pub fn cluster_attempts(&self) -> Vec<ClusterAttempts> {
        let state = self.state.borrow();
        let attempts = state.clusters.iter().map(|(name, running)| {
            let counts = running.runtime().attempt_counts();
            ClusterAttempts {
                cluster: name.clone(),
                timed_out: counts.timed_out,
                hedged: counts.hedged,
            }
        });
        attempts.collect()
    }

    /// The address of a cluster's endpoint; empty if it is no longer listed.
    pub fn endpoint_address(&self, cluster: &str, server: ServerId) -> String {
        let state = self.state.borrow();
        let running = state.clusters.get(cluster);
        let address = running.and_then(|running| running.runtime().address(server));
        address.map_or(String::new(), |address| address.to_string())
    }

    /// The applied configuration, for `/-/config`.
    pub fn applied_config(&self) -> Value {
        let state = self.state.borrow();
        let Some(config) = &state.config else { return Value::Null };
        let applied_at = state.applied_at.and_then(|at| at.duration_since(UNIX_EPOCH).ok());
        json!({
            "file": self.path.display().to_string(),
            "hash": format!("{:016x}", config.hash),
            "taken_unix_ms": applied_at.map(|at| at.as_millis() as u64),
            "listeners": listeners(&state), "routes": routes(config), "clusters": clusters(&state),
        })
    }
}

fn listeners(state: &State) -> Vec<Value> {
    let listeners = state.listeners.iter();
    let shown = listeners
        .map(|(address, listener)| json!({"name": listener.name, "address": address.to_string()}));
    shown.collect()
}

fn routes(config: &OperatorConfig) -> Vec<Value> {
    config.routes.iter().map(route).collect()
}

fn route(route: &Route) -> Value {
    let clusters: Vec<&str> = match &route.action {
        RouteAction::Forward(forward) => forward.split.clusters().collect(),
        _ => Vec::new(),
    };
    json!({
        "name": route.name, "line": route.line, "class": route.class, "clusters": clusters,
    })
}

fn clusters(state: &State) -> BTreeMap<&String, Vec<Value>> {
    let clusters = state.clusters.iter();
    let shown = clusters.map(|(name, running)| {
        let endpoints = running.config().servers.iter().map(endpoint);
        (name, endpoints.collect())
    });
    shown.collect()
}

fn endpoint(server: &ClusterServer) -> Value {
    json!({"address": server.address.to_string(), "weight": server.listed.size})
}
