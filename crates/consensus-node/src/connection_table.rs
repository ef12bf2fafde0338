//! The open connections of a node.

use crate::connection::{ConnectionId, OpenedConnection};
use crate::frame::{encode, Frame, PeerIdentity};
use std::collections::{BTreeMap, HashMap};

/// The open connections of a node. Each connection belongs to a replica or a member, and each
/// replica has at most one connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    connections: HashMap<ConnectionId, OpenedConnection>,
    /// Latest connection to each other replica, by number. The connection may be closed.
    replica_connections: BTreeMap<u64, ConnectionId>,
}

impl ConnectionTable {
    /// Adds a connection. The new connection replaces a former connection of the same replica,
    /// which the other end has closed.
    pub(crate) fn insert(&mut self, id: ConnectionId, connection: OpenedConnection) {
        if let PeerIdentity::Replica(replica) = connection.peer {
            if let Some(former) = self.replica_connections.insert(replica, id) {
                self.connections.remove(&former);
            }
        }
        self.connections.insert(id, connection);
    }

    /// Removes a closed connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Closes a connection and logs the reason.
    pub(crate) fn close(&mut self, id: ConnectionId, reason: &str) {
        if let Some(OpenedConnection { peer, .. }) = self.connections.remove(&id) {
            tracing::warn!(%peer, reason, "connection closed");
        }
    }

    /// Returns the identity of the peer; `None` if the connection is closed.
    pub(crate) fn peer(&self, id: ConnectionId) -> Option<&PeerIdentity> {
        self.connections.get(&id).map(|connection| &connection.peer)
    }

    /// Returns the number of open connections to members.
    pub(crate) fn member_count(&self) -> usize {
        let is_member =
            |connection: &&OpenedConnection| matches!(connection.peer, PeerIdentity::Member(_));
        self.connections.values().filter(is_member).count()
    }

    /// Queues a frame for sending. The frame is dropped if the connection is closed or the
    /// connection's queue is full; raft and the members' clients repeat lost frames.
    pub(crate) fn send(&self, id: ConnectionId, frame: &Frame) {
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.outgoing.try_send(encode(frame)).is_err() {
            tracing::debug!(peer = %connection.peer, "frame dropped: send queue full or closed");
        }
    }

    /// Returns the latest connection of another replica, which may be closed.
    pub(crate) fn replica_connection(&self, replica: u64) -> Option<ConnectionId> {
        self.replica_connections.get(&replica).copied()
    }
}
