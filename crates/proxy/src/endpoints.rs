//! Where servers listen, and how the lists of them reach a cluster's runtime.

use crate::list_arrival::ListArrival;
use mintshelf_balancer::api::{ListKind, ListedServer, ServerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// What the list states of a server, as far as connections to it go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it takes new requests; a draining one only ends those that it has.
    pub takes_requests: bool,
}

/// The servers that are listed now, shared by the source of the list, the cluster's runtime and
/// its connections.
#[derive(Debug, Clone, Default)]
pub struct Endpoints(Rc<SharedEndpoints>);

#[derive(Debug, Default)]
struct SharedEndpoints {
    by_server: RefCell<HashMap<ServerId, Endpoint>>,
    arrival: Rc<ListArrival>,
}

impl Endpoints {
    /// Where a server listens, if it is listed.
    #[must_use]
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.0.by_server.borrow().get(&server).map(|endpoint| endpoint.address)
    }

    /// Whether a server is listed at this address and takes new requests.
    #[must_use]
    pub fn takes_requests(&self, server: ServerId, address: SocketAddr) -> bool {
        let endpoints = self.0.by_server.borrow();
        let endpoint = endpoints.get(&server).filter(|endpoint| endpoint.address == address);
        endpoint.is_some_and(|endpoint| endpoint.takes_requests)
    }

    /// Lists a server, or changes what is stated of it.
    pub fn insert(&self, server: ServerId, endpoint: Endpoint) {
        self.0.by_server.borrow_mut().insert(server, endpoint);
    }

    /// Removes a server.
    pub fn remove(&self, server: ServerId) {
        self.0.by_server.borrow_mut().remove(&server);
    }

    /// Removes all servers.
    pub fn clear(&self) {
        self.0.by_server.borrow_mut().clear();
    }

    /// How a change of the list arrives.
    #[must_use]
    pub fn arrival(&self) -> Rc<ListArrival> {
        self.0.arrival.clone()
    }

    /// How many servers are listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.by_server.borrow().len()
    }

    /// Whether no server is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.by_server.borrow().is_empty()
    }
}

/// Learns of the lists of a source of endpoints: discovery, a file, a static list.
pub trait EndpointListObserver: 'static {
    /// A list, or a change of one, with the version that it has at its source.
    fn endpoints_listed(&self, kind: ListKind, version: u64, servers: Vec<ListedServer>);
}

/// Constants of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A stable number for a name, the same at every sidecar (FNV-1a, folded).
#[must_use]
pub fn stable_id(name: &str) -> u32 {
    let hash = name
        .bytes()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    let [low0, low1, low2, low3, ..] = (hash ^ (hash >> 32)).to_le_bytes();
    u32::from_le_bytes([low0, low1, low2, low3])
}
