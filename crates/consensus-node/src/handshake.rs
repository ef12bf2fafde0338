//! The handshake between two processes of a fleet: each sends a [`Hello`] and checks the peer's
//! [`Hello`].

use crate::frame::{
    allow_all_frames, decode, encode, hello_codec, FrameError, Hello, PeerIdentity, VERSION,
};
use futures_util::{SinkExt, StreamExt};
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time limit for a handshake, after which the peer is disconnected. It also limits a dial.
pub(crate) const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// A TCP connection framed by length prefixes.
pub(crate) type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Reason for which a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// The peer's first frame is not a hello of this version.
    #[error("invalid hello: {0}")]
    Frame(#[from] FrameError),
    /// The connection failed, or the peer's first frame was too long.
    #[error("handshake failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection before sending a hello.
    #[error("peer closed the connection before identifying itself")]
    Closed,
    /// The peer did not send its hello within the time limit.
    #[error("peer did not identify itself within {HELLO_TIMEOUT:?}")]
    Timeout,
    /// The peer uses another protocol version.
    #[error("peer uses protocol version {peer_version}, this process {VERSION}")]
    VersionMismatch {
        /// Protocol version in the peer's hello.
        peer_version: u32,
    },
    /// The peer belongs to another fleet.
    #[error("peer belongs to fleet {peer_fleet:?}, this process to {own_fleet:?}")]
    FleetMismatch {
        /// Name of the fleet in the peer's hello.
        peer_fleet: String,
        /// Name of the fleet of this process.
        own_fleet: String,
    },
    /// The configuration does not allow this peer on this connection.
    #[error("peer identifies itself as {0}, which is not configured for this connection")]
    UnexpectedPeer(PeerIdentity),
}

impl Hello {
    /// Creates the hello of a process of a fleet.
    #[must_use]
    pub fn new(fleet: &str, sender: PeerIdentity) -> Self {
        Hello { version: VERSION, fleet: fleet.to_owned(), sender }
    }

    /// Checks that the sender uses this protocol version and belongs to `fleet`.
    ///
    /// # Errors
    /// The version or the fleet differs.
    pub fn check(&self, fleet: &str) -> Result<(), HandshakeError> {
        if self.version != VERSION {
            return Err(HandshakeError::VersionMismatch { peer_version: self.version });
        }
        if self.fleet != fleet {
            return Err(HandshakeError::FleetMismatch {
                peer_fleet: self.fleet.clone(),
                own_fleet: fleet.to_owned(),
            });
        }
        Ok(())
    }
}

/// A connection whose peer has identified itself.
pub(crate) struct IdentifiedConnection {
    pub(crate) connection: FramedStream,
    pub(crate) peer: PeerIdentity,
}

/// Sends this process's hello and checks the peer's.
pub(crate) async fn exchange_hello(
    stream: TcpStream,
    own_hello: &Hello,
) -> Result<IdentifiedConnection, HandshakeError> {
    if let Err(error) = stream.set_nodelay(true) {
        // The error is not fatal: without TCP_NODELAY, frames are only delayed.
        tracing::debug!(%error, "can't set TCP_NODELAY");
    }
    let mut connection = Framed::new(stream, hello_codec());
    let exchange = async {
        connection.send(encode(own_hello)).await?;
        let bytes = connection.next().await.ok_or(HandshakeError::Closed)??;
        Ok::<Hello, HandshakeError>(decode(&bytes)?)
    };
    let peer_hello =
        timeout(HELLO_TIMEOUT, exchange).await.map_err(|_| HandshakeError::Timeout)??;
    peer_hello.check(&own_hello.fleet)?;
    allow_all_frames(connection.codec_mut());
    Ok(IdentifiedConnection { connection, peer: peer_hello.sender })
}
