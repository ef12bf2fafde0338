//! Connects an open socket to another server of its cluster.

use super::registry::SocketRegistry;
use crate::upstream::response::UpgradedConnection;
use hyper::http::request::Parts;
use mintshelf_balancer::api::Effect;
use mintshelf_websocket::handshake::{ClientHandshake, NegotiatedTerms};
use std::rc::Rc;
use std::sync::Arc;

/// What another server needs for a socket to go on there.
pub(crate) struct ReconnectTarget {
    pub(crate) cluster: String,
    /// Name of the class with the settings of the socket's route.
    pub(crate) policy: String,
    pub(crate) effect: Effect,
    /// The head of the handshake as servers get it.
    pub(crate) head: Parts,
    /// What both ends agreed on: another server has to agree to the same.
    pub(crate) negotiated: NegotiatedTerms,
}

/// A connection to another server.
pub struct ServerConnection {
    /// Number of the server's cluster.
    pub cluster: u32,
    /// The connection.
    pub socket: UpgradedConnection,
}

/// Sends handshakes to servers by the limits and decisions of the current configuration.
pub(crate) trait SocketConnector {
    /// Opens a connection for a socket; none if its cluster or class has been removed, or no
    /// server accepts the handshake.
    async fn connect(&self, request: &ReconnectRequest) -> Option<ServerConnection>;
}

/// The handshake of a socket, to be sent to another server whenever it loses one.
pub(crate) struct ReconnectRequest {
    pub(crate) target: ReconnectTarget,
    pub(crate) tenant: Rc<str>,
    pub(super) handshake: ClientHandshake,
    pub(super) registry: Rc<SocketRegistry>,
}

impl ReconnectRequest {
    /// The head of the handshake, with a new key.
    pub(crate) fn handshake_head(&self) -> Parts {
        let mut head = self.target.head.clone();
        write_handshake(&self.handshake, &self.registry, &mut head);
        head
    }

    /// Connects to a server that agrees to the negotiated terms, if there is one.
    pub(super) async fn connect(
        &self,
        connector: &impl SocketConnector,
    ) -> Option<ServerConnection> {
        let connection = connector.connect(self).await?;
        let is_compatible = connection.socket.agreed == self.target.negotiated;
        is_compatible.then_some(connection)
    }
}

/// Makes a request head the handshake towards a server, with a new key. The response is checked
/// against the extension that this adds.
pub(super) fn write_handshake(
    handshake: &ClientHandshake,
    registry: &SocketRegistry,
    head: &mut Parts,
) {
    let mut nonce = [0; 16];
    nonce[..8].copy_from_slice(&registry.next_seed().to_le_bytes());
    nonce[8..].copy_from_slice(&registry.next_seed().to_le_bytes());
    let request = handshake.write_request(nonce, &mut head.headers);
    head.extensions.insert(Arc::new(request));
}
