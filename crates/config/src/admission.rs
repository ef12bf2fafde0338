//! The limits of an operator's file as the package of limits takes them.

use crate::model::{File, BODY_SHARE};
use mintshelf_admission::admission::{AdmissionConfig, LimitConfig};
use mintshelf_admission::queue::FairQueueConfig;
use mintshelf_admission::slots::SlotConfig;
use mintshelf_admission::tenants::{Tenants, OTHER_TENANTS};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Part of the descriptors that the requests of all tenants may hold, where the file sets no
/// number: most of what is left for clients.
const CLIENTS_SHARE: f64 = 0.5;
/// A tenant may always hold one body of the longest kind that is held.
const BODY: u64 = 64 << 10;

/// All limits of a file.
pub fn admission(file: &File) -> AdmissionConfig {
    let mut shares: BTreeMap<Rc<str>, f64> = BTreeMap::new();
    let mut tenants = BTreeMap::new();
    if !file.tenants.is_empty() {
        let all: f64 = 1.0 + file.tenants.iter().map(|tenant| tenant.share).sum::<f64>();
        let limited = |share: f64, limit: LimitConfig| {
            let part = share / all;
            let most = (file.limits.sockets as f64 * CLIENTS_SHARE * part) as u32;
            let bytes = (file.limits.memory as f64 * BODY_SHARE * part) as u64;
            LimitConfig {
                most: limit.most.or(Some(most.max(1))),
                bytes: limit.bytes.or(Some(bytes.max(BODY))),
                ..limit
            }
        };
        tenants.insert(OTHER_TENANTS.into(), limited(1.0, LimitConfig::default()));
        for tenant in &file.tenants {
            let name: Rc<str> = tenant.name.as_str().into();
            shares.insert(name.clone(), tenant.share);
            tenants.insert(name, limited(tenant.share, tenant.limit));
        }
    }
    let limited = file.routes.iter().filter(|route| !route.limit.is_none());
    let routes = limited.map(|route| (route.name.as_str().into(), route.limit)).collect();
    let gate = |(name, (most, queue)): (&String, (u32, u32))| {
        (name.as_str().into(), FairQueueConfig { most, queue, shares: shares.clone() })
    };
    let clusters = file.clusters.iter().filter_map(|(name, c)| Some((name, c.concurrency?)));
    let clusters = clusters.map(gate).collect();
    AdmissionConfig { tenants, routes, clusters }
}

/// The seats of a file's sockets.
pub fn seats(file: &File) -> SlotConfig {
    let name = |name: &String| Rc::<str>::from(name.as_str());
    let tenants = file.tenants.iter();
    let routes = file.routes.iter().filter_map(|r| Some((name(&r.name), r.limit.sockets?)));
    let clusters = file.clusters.iter().filter_map(|(of, c)| Some((name(of), c.sockets[0]?)));
    SlotConfig {
        most: file.limits.websockets,
        shares: tenants.clone().map(|t| (name(&t.name), t.share)).collect(),
        tenants: tenants.filter_map(|t| Some((name(&t.name), t.limit.sockets?))).collect(),
        routes: routes.collect(),
        clusters: clusters.collect(),
    }
}

/// How a file tells its tenants apart; none if it has none.
pub fn tenants(file: &File) -> Option<Tenants> {
    if file.tenants.is_empty() {
        return None;
    }
    let mut tenants = Tenants::new();
    for tenant in &file.tenants {
        let name: Rc<str> = tenant.name.as_str().into();
        tenant.networks.iter().for_each(|network| tenants.network(*network, &name));
        tenant.listeners.iter().for_each(|listener| tenants.listener(listener, &name));
        tenant.values.iter().for_each(|value| tenants.value(value, &name));
    }
    Some(tenants)
}
