//! The addresses of listed servers, and the observer that receives endpoint lists.

use crate::list_arrival::ListArrival;
use mintshelf_balancer::api::{ListKind, ListedServer, ServerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The part of a list entry that concerns connections to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoint {
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// Whether the server accepts new requests. A draining server only completes those in flight.
    pub takes_requests: bool,
}

/// The servers in the current endpoint list. It is shared by the source of the list, the cluster's
/// runtime and its connections.
#[derive(Debug, Clone, Default)]
pub struct Endpoints(Rc<SharedEndpoints>);

#[derive(Debug, Default)]
struct SharedEndpoints {
    by_server: RefCell<HashMap<ServerId, Endpoint>>,
    arrival: Rc<ListArrival>,
}

impl Endpoints {
    /// Returns the address of a server, if the server is listed.
    #[must_use]
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.0.by_server.borrow().get(&server).map(|endpoint| endpoint.address)
    }

    /// Returns whether a server is listed with this address and accepts new requests.
    #[must_use]
    pub fn takes_requests(&self, server: ServerId, address: SocketAddr) -> bool {
        let endpoints = self.0.by_server.borrow();
        let endpoint = endpoints.get(&server).filter(|endpoint| endpoint.address == address);
        endpoint.is_some_and(|endpoint| endpoint.takes_requests)
    }

    /// Adds a server or replaces its entry.
    pub fn insert(&self, server: ServerId, endpoint: Endpoint) {
        self.0.by_server.borrow_mut().insert(server, endpoint);
    }

    /// Removes the entry of a server that is no longer listed; does nothing if there is none.
    pub fn remove(&self, server: ServerId) {
        self.0.by_server.borrow_mut().remove(&server);
    }

    /// Removes the entries of all servers, so that no server is listed.
    pub fn clear(&self) {
        self.0.by_server.borrow_mut().clear();
    }

    /// Returns the tracker of list updates that have arrived and are not applied yet.
    #[must_use]
    pub fn arrival(&self) -> Rc<ListArrival> {
        self.0.arrival.clone()
    }

    /// Returns the number of listed servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.by_server.borrow().len()
    }

    /// Returns whether no server is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.by_server.borrow().is_empty()
    }
}

/// Receives the endpoint lists of a source: discovery, a file or a static list.
pub trait EndpointListObserver: 'static {
    /// Called with a list or a change of one, and its version at the source.
    fn endpoints_listed(&self, kind: ListKind, version: u64, servers: Vec<ListedServer>);
}

/// Parameters of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes a name to an id that is the same at every sidecar: FNV-1a, folded to 32 bits.
#[must_use]
pub fn stable_id(name: &str) -> u32 {
    let hash = name
        .bytes()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    let [low0, low1, low2, low3, ..] = (hash ^ (hash >> 32)).to_le_bytes();
    u32::from_le_bytes([low0, low1, low2, low3])
}
