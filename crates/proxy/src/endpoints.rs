//! Where servers listen, and how what lists them reaches the driver.

use mintshelf_balancer::api::{ListKind, ListedServer, ServerId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Addresses of the servers listed now, shared by a source and a driver.
#[derive(Debug, Clone, Default)]
pub struct Endpoints(Rc<RefCell<HashMap<ServerId, SocketAddr>>>);

impl Endpoints {
    /// Where a server listens, if it is listed.
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.0.borrow().get(&server).copied()
    }

    /// Lists a server, or moves it.
    pub fn insert(&self, server: ServerId, address: SocketAddr) {
        self.0.borrow_mut().insert(server, address);
    }

    /// Takes a server off the list.
    pub fn remove(&self, server: ServerId) {
        self.0.borrow_mut().remove(&server);
    }

    /// Takes all servers off the list.
    pub fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// How many servers are listed.
    pub fn len(&self) -> usize {
        self.0.borrow().len()
    }

    /// Whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }
}

/// Takes what a source of endpoints has to say: discovery, a file, a static list.
pub trait EndpointListObserver: 'static {
    /// News of servers, in the version of the source's list.
    fn listed(&self, kind: ListKind, version: u64, servers: Vec<ListedServer>);
}

/// A stable number for a name, the same at every sidecar (FNV-1a, folded).
pub fn number(name: &str) -> u32 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)) as u32
}
