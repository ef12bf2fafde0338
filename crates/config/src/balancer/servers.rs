//! The servers of a cluster and their zones.

use crate::model::{Cluster, Endpoint};
use mintshelf_balancer::api::{ListedServer, ServerId};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64;

/// The zones of a cluster, in the order of their indices in the decision module.
pub(super) struct Zones<'config>(Vec<&'config str>);

impl<'config> Zones<'config> {
    pub(super) fn of(cluster: &'config Cluster) -> Self {
        let endpoints = cluster.endpoints.iter().map(|endpoint| endpoint.zone.as_str());
        let zones: BTreeSet<&str> =
            std::iter::once(cluster.zone.as_str()).chain(endpoints).collect();
        Zones(zones.into_iter().collect())
    }

    /// Returns the index of a zone in the decision module; 0 for an unknown zone.
    pub(super) fn index(&self, name: &str) -> u32 {
        let index = self.0.iter().position(|zone| *zone == name).unwrap_or(0);
        u32::try_from(index).unwrap_or(u32::MAX)
    }

    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }
}

/// A server of a cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct ClusterServer {
    /// The server's entry in the decision module's endpoint list.
    pub listed: ListedServer,
    /// The address that the server listens on.
    pub address: SocketAddr,
}

/// Returns the servers of a cluster with a nonzero weight.
pub(super) fn cluster_servers(cluster: &Cluster, zones: &Zones) -> Vec<ClusterServer> {
    let weighted = cluster.endpoints.iter().filter(|endpoint| endpoint.weight > 0);
    let servers = weighted.map(|endpoint| ClusterServer {
        listed: ListedServer {
            id: server_id(endpoint),
            zone: zones.index(&endpoint.zone),
            size: f64::from(endpoint.weight),
            ..ListedServer::default()
        },
        address: endpoint.address,
    });
    servers.collect()
}

/// Returns an ID derived from name and address: an endpoint with another address is another server,
/// even under the same name.
fn server_id(endpoint: &Endpoint) -> ServerId {
    let hash = xxh3_64(format!("{} {}", endpoint.name, endpoint.address).as_bytes());
    let folded = (hash ^ (hash >> u32::BITS)) & u64::from(u32::MAX);
    u32::try_from(folded).unwrap_or(u32::MAX)
}
