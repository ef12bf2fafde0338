//! Sockets of the platform's sidecar.

use super::error::PlatformError;
use mintshelf_config::platform::PlatformConfig;
use mintshelf_proxy::client::listener::listen;
use mintshelf_proxy::cluster::peers::PeerGossip;
use std::path::Path;
use tokio::net::TcpListener;

/// The sockets that are bound to the configured addresses.
pub(super) struct Sockets {
    /// Gossip with peers; `None` if it is disabled.
    pub(super) peers: Option<PeerGossip>,
    /// The TCP socket that accepts the connections of clients.
    pub(super) listener: TcpListener,
}

impl Sockets {
    /// Binds the listening socket for clients and, if peers are enabled, the gossip socket.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub(super) async fn bind(file: &Path, config: &PlatformConfig) -> Result<Self, PlatformError> {
        let address_error = |field| {
            let file = file.to_path_buf();
            move |source| PlatformError::Address { file, field, source }
        };
        let peers = match config.peer_listen.filter(|_| config.settings.has_peers) {
            None => None,
            Some(address) => {
                let peers = config.peers.clone();
                let bound = PeerGossip::bind(address, peers, config.broadcast_address).await;
                Some(bound.map_err(address_error("peer_listen"))?)
            }
        };
        let listener = listen(config.listen).map_err(address_error("listen"))?;
        Ok(Sockets { peers, listener })
    }
}
