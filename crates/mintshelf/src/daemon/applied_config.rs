//! The applied configuration and its JSON representation for `/-/config`.

use super::clusters::ClusterSet;
use super::listeners::ListenerSet;
use mintshelf_config::balancer::ClusterServer;
use mintshelf_config::model::{OperatorConfig, Route, RouteAction};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// The configuration that the daemon serves with, and the time since when.
pub(super) struct AppliedConfig {
    config: OperatorConfig,
    applied_at: SystemTime,
}

impl AppliedConfig {
    /// Records a configuration as applied now.
    pub(super) fn new(config: OperatorConfig) -> Self {
        AppliedConfig { config, applied_at: SystemTime::now() }
    }

    /// Returns the content of the page `/-/config`.
    pub(super) fn to_json(
        &self,
        path: &Path,
        listeners: &ListenerSet,
        clusters: &ClusterSet,
    ) -> Value {
        let applied_at = self.applied_at.duration_since(UNIX_EPOCH).ok();
        json!({
            "file": path.display().to_string(),
            "hash": format!("{:016x}", self.config.hash),
            "taken_unix_ms": applied_at.and_then(|at| u64::try_from(at.as_millis()).ok()),
            "listeners": listeners_json(listeners),
            "routes": self.config.routes.iter().map(route_json).collect::<Vec<Value>>(),
            "clusters": clusters_json(clusters),
        })
    }
}

fn listeners_json(listeners: &ListenerSet) -> Vec<Value> {
    let listeners = listeners
        .names()
        .map(|(name, address)| json!({"name": name, "address": address.to_string()}));
    listeners.collect()
}

fn route_json(route: &Route) -> Value {
    let clusters: Vec<&str> = match &route.action {
        RouteAction::Forward(forward) => forward.split.clusters().collect(),
        _ => Vec::new(),
    };
    json!({
        "name": route.name, "line": route.line, "class": route.class, "clusters": clusters,
    })
}

fn clusters_json(clusters: &ClusterSet) -> BTreeMap<&str, Vec<Value>> {
    let clusters = clusters
        .endpoints()
        .map(|(name, servers)| (name, servers.iter().map(endpoint_json).collect()));
    clusters.collect()
}

fn endpoint_json(server: &ClusterServer) -> Value {
    json!({"address": server.address.to_string(), "weight": server.listed.size})
}
