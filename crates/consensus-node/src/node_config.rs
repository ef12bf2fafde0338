//! The configuration of a node.

use crate::frame::{Hello, PeerIdentity};
use mintshelf_lease::timing::Timing;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The configuration of a node.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of this replica, from 1.
    pub id: u64,
    /// Addresses of the other replicas, by number; of two replicas the one with the higher number
    /// dials.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Timeouts of the fleet.
    pub timing: Timing,
}

impl NodeConfig {
    /// The hello of this replica.
    pub(crate) fn hello(&self) -> Hello {
        Hello::new(&self.fleet, PeerIdentity::Replica(self.id))
    }
}
