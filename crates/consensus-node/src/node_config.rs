//! Configuration of a node.

use crate::frame::{Hello, PeerIdentity};
use mintshelf_lease::timing::Timing;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Configuration of one node of a fleet.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of this replica, from 1.
    pub id: u64,
    /// Addresses of the other replicas, by number. Of two replicas, the one with the higher number
    /// dials the other.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Timeouts and lease duration of the fleet.
    pub timing: Timing,
}

impl NodeConfig {
    /// Returns the hello frame that this replica sends.
    pub(crate) fn hello(&self) -> Hello {
        Hello::new(&self.fleet, PeerIdentity::Replica(self.id))
    }
}
