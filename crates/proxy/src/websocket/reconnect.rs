//! Reconnects an open socket to another server of its cluster.

use super::registry::SocketRegistry;
use crate::upstream::response::UpgradedConnection;
use hyper::http::request::Parts;
use mintshelf_balancer::api::Effect;
use mintshelf_websocket::handshake::{ClientHandshake, NegotiatedTerms};
use std::rc::Rc;
use std::sync::Arc;

/// The handshake and routing data with which a socket is continued at another server.
pub(crate) struct ReconnectTarget {
    pub(crate) cluster: String,
    /// The name of the class with the settings of the socket's route.
    pub(crate) policy: String,
    pub(crate) effect: Effect,
    /// The request head of the handshake as sent to servers.
    pub(crate) head: Parts,
    /// The negotiated subprotocol and extensions, which another server has to accept unchanged.
    pub(crate) negotiated: NegotiatedTerms,
}

/// A connection to another server.
pub struct ServerConnection {
    /// The number that identifies the server's cluster within the process.
    pub cluster: u32,
    /// The upgraded connection, on which WebSocket frames are exchanged with the server.
    pub socket: UpgradedConnection,
}

/// Sends handshakes to servers, subject to the limits and decisions of the current configuration.
pub(crate) trait SocketConnector {
    /// Opens a connection to a server for a socket. Returns `None` if the cluster or class has been
    /// removed, or if no server accepts the handshake.
    async fn connect(&self, request: &ReconnectRequest) -> Option<ServerConnection>;
}

/// The handshake of a socket, which is sent again whenever the socket migrates.
pub(crate) struct ReconnectRequest {
    pub(crate) target: ReconnectTarget,
    pub(crate) tenant: Rc<str>,
    pub(super) handshake: ClientHandshake,
    pub(super) registry: Rc<SocketRegistry>,
}

impl ReconnectRequest {
    /// Returns the request head of the handshake, with a new key.
    pub(crate) fn handshake_head(&self) -> Parts {
        let mut head = self.target.head.clone();
        write_handshake(&self.handshake, &self.registry, &mut head);
        head
    }

    /// Connects to another server. Returns `None` if that fails or the server does not accept the
    /// negotiated terms.
    pub(super) async fn connect(
        &self,
        connector: &impl SocketConnector,
    ) -> Option<ServerConnection> {
        let connection = connector.connect(self).await?;
        let is_compatible = connection.socket.agreed == self.target.negotiated;
        is_compatible.then_some(connection)
    }
}

/// Turns a request head into a handshake for a server, with a new key. Adds the handshake to the
/// head's extensions, so that the response can be checked against it.
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
