//! Derives the settings of admission control from an operator's file.

use crate::convert::{truncate_to_u32, truncate_to_u64};
use crate::model::{OperatorConfig, BODY_SHARE};
use mintshelf_admission::admission::AdmissionConfig;
use mintshelf_admission::limit::LimitConfig;
use mintshelf_admission::queue::FairQueueConfig;
use mintshelf_admission::slots::SlotConfig;
use mintshelf_admission::tenants::{TenantResolver, DEFAULT_TENANT};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Share of the file descriptors that the requests of all tenants together may occupy if no
/// concurrency limit is set. It is most of what `UPSTREAM_SHARE` leaves for client connections.
const CLIENT_SHARE: f64 = 0.5;
/// Lower bound of a tenant's memory for request bodies: the size of the largest body that is
/// buffered.
const MIN_BODY_BYTES: u64 = 64 << 10;
/// Share of the default tenant, which has the requests that match no other tenant.
const DEFAULT_TENANT_SHARE: f64 = 1.0;

/// Returns the settings of admission control: the limits of tenants, routes and clusters.
pub fn admission_config(config: &OperatorConfig) -> AdmissionConfig {
    let limited_routes = config.routes.iter().filter(|route| !route.limit.is_unlimited());
    AdmissionConfig {
        tenants: tenant_limits(config),
        routes: limited_routes.map(|route| (route.name.as_str().into(), route.limit)).collect(),
        clusters: cluster_queues(config),
    }
}

/// Returns the limits of tenants. A tenant without explicit limits gets its share of the process's
/// limits.
fn tenant_limits(config: &OperatorConfig) -> BTreeMap<Rc<str>, LimitConfig> {
    if config.tenants.is_empty() {
        return BTreeMap::new();
    }
    let shares: f64 = config.tenants.iter().map(|tenant| tenant.share).sum();
    let total_share = DEFAULT_TENANT_SHARE + shares;
    let limits = |share: f64, stated: LimitConfig| {
        let part = share / total_share;
        let concurrency = config.limits.file_descriptors as f64 * CLIENT_SHARE * part;
        let body_bytes = config.limits.memory_bytes as f64 * BODY_SHARE * part;
        let default_concurrency = truncate_to_u32(concurrency).max(1);
        let default_body_bytes = truncate_to_u64(body_bytes).max(MIN_BODY_BYTES);
        LimitConfig {
            max_concurrency: stated.max_concurrency.or(Some(default_concurrency)),
            max_body_bytes: stated.max_body_bytes.or(Some(default_body_bytes)),
            ..stated
        }
    };
    let others = (DEFAULT_TENANT.into(), limits(DEFAULT_TENANT_SHARE, LimitConfig::default()));
    let named = config.tenants.iter();
    let named =
        named.map(|tenant| (tenant.name.as_str().into(), limits(tenant.share, tenant.limit)));
    std::iter::once(others).chain(named).collect()
}

fn tenant_shares(config: &OperatorConfig) -> BTreeMap<Rc<str>, f64> {
    config.tenants.iter().map(|tenant| (tenant.name.as_str().into(), tenant.share)).collect()
}

/// Returns the queue settings of the clusters that have a concurrency limit, by cluster name.
fn cluster_queues(config: &OperatorConfig) -> BTreeMap<Rc<str>, FairQueueConfig> {
    let shares = tenant_shares(config);
    let limited = config.clusters.iter().filter_map(|(name, cluster)| {
        let limit = cluster.concurrency?;
        let queue = FairQueueConfig {
            max_concurrency: limit.max_concurrency,
            max_queued: limit.max_queued,
            shares: shares.clone(),
        };
        Some((name.as_str().into(), queue))
    });
    limited.collect()
}

/// Returns the maximum numbers of open WebSocket connections per process, tenant, route and
/// cluster.
pub fn slot_config(config: &OperatorConfig) -> SlotConfig {
    let tenants = config.tenants.iter().filter_map(|tenant| {
        let max_sockets = tenant.limit.max_sockets?;
        Some((tenant.name.as_str().into(), max_sockets))
    });
    let routes = config.routes.iter().filter_map(|route| {
        let max_sockets = route.limit.max_sockets?;
        Some((route.name.as_str().into(), max_sockets))
    });
    let clusters = config.clusters.iter().filter_map(|(name, cluster)| {
        let max_sockets = cluster.sockets.total?;
        Some((name.as_str().into(), max_sockets))
    });
    SlotConfig {
        capacity: config.limits.max_websockets,
        shares: tenant_shares(config),
        tenants: tenants.collect(),
        routes: routes.collect(),
        clusters: clusters.collect(),
    }
}

/// Returns the resolver that assigns requests to tenants; `None` if the file has no tenants.
pub fn tenant_resolver(config: &OperatorConfig) -> Option<TenantResolver> {
    if config.tenants.is_empty() {
        return None;
    }
    let mut resolver = TenantResolver::new();
    for tenant in &config.tenants {
        let name: Rc<str> = tenant.name.as_str().into();
        for network in &tenant.networks {
            resolver.add_network(*network, &name);
        }
        for listener in &tenant.listeners {
            resolver.add_listener(listener, &name);
        }
        for value in &tenant.header_values {
            resolver.add_header_value(value, &name);
        }
    }
    Some(resolver)
}
