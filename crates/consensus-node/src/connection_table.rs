//! The open connections of a node, and the frames that are sent on them.

use crate::connection::{ConnectionId, OpenedConnection};
use crate::frame::{encode, Frame, PeerIdentity};
use std::collections::{BTreeMap, HashMap};

/// The open connections of a node. Each belongs to a replica or a member; a replica has one at
/// most.
#[derive(Debug, Default)]
pub(crate) struct ConnectionTable {
    connections: HashMap<ConnectionId, OpenedConnection>,
    /// The last connection of each other replica; it may be closed.
    replica_connections: BTreeMap<u64, ConnectionId>,
}

impl ConnectionTable {
    /// Adds a connection. A replica's former one is removed: it is closed at the other end.
    pub(crate) fn insert(&mut self, id: ConnectionId, connection: OpenedConnection) {
        if let PeerIdentity::Replica(replica) = connection.peer {
            if let Some(former) = self.replica_connections.insert(replica, id) {
                self.connections.remove(&former);
            }
        }
        self.connections.insert(id, connection);
    }

    /// Removes a connection that is closed.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Closes a connection, and logs why.
    pub(crate) fn close(&mut self, id: ConnectionId, reason: &str) {
        if let Some(OpenedConnection { peer, .. }) = self.connections.remove(&id) {
            tracing::warn!(%peer, reason, "connection closed");
        }
    }

    /// Who is at the other end; `None` if the connection is closed.
    pub(crate) fn peer(&self, id: ConnectionId) -> Option<&PeerIdentity> {
        self.connections.get(&id).map(|connection| &connection.peer)
    }

    /// Number of connections of members.
    pub(crate) fn member_count(&self) -> usize {
        let is_member =
            |connection: &&OpenedConnection| matches!(connection.peer, PeerIdentity::Member(_));
        self.connections.values().filter(is_member).count()
    }

    /// Sends a frame, unless the connection is closed or its queue is full: the protocol of a
    /// dropped frame repeats it.
    pub(crate) fn send(&self, id: ConnectionId, frame: &Frame) {
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.outgoing.try_send(encode(frame)).is_err() {
            tracing::debug!(peer = %connection.peer, "frame dropped");
        }
    }

    /// The last connection of another replica; it may be closed.
    pub(crate) fn replica_connection(&self, replica: u64) -> Option<ConnectionId> {
        self.replica_connections.get(&replica).copied()
    }
}
