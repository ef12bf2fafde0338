//! Dials one lower-numbered replica, with exponential backoff between attempts.

use crate::clock;
use crate::connection::{serve, ConnectionEvent, ConnectionId};
use crate::frame::PeerIdentity;
use crate::handshake::{exchange_hello, HandshakeError, IdentifiedConnection, HELLO_TIMEOUT};
use crate::node_config::NodeConfig;
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Initial backoff between attempts to connect.
const DIAL_BACKOFF_MIN: Nanos = 50 * MILLISECOND;
/// Maximum backoff between attempts to connect.
const DIAL_BACKOFF_MAX: Nanos = SECOND;

/// Maintains a connection to one replica.
pub(crate) struct Dialer {
    pub(crate) config: NodeConfig,
    /// Number of the replica to connect to.
    pub(crate) id: u64,
    pub(crate) address: SocketAddr,
    pub(crate) events: mpsc::Sender<ConnectionEvent>,
}

impl Dialer {
    /// Connects, serves the connection until it closes, and reconnects, until the task is aborted.
    pub(crate) async fn run(self) {
        let Dialer { config, id, address, events } = &self;
        let mut rng = Pcg32::seed_from_u64(clock::now() ^ config.id << 32 ^ id);
        let mut backoff = DIAL_BACKOFF_MIN;
        let mut last_number = 0u64;
        let mut last_error = None;
        loop {
            let stream = timeout(HELLO_TIMEOUT, TcpStream::connect(address)).await;
            if let Ok(Ok(stream)) = stream {
                last_number += 1;
                match self.identify(stream).await {
                    Ok(identified) => {
                        backoff = DIAL_BACKOFF_MIN;
                        last_error = None;
                        let connection = ConnectionId::Dialed { replica: *id, number: last_number };
                        serve(connection, identified, events).await;
                    }
                    Err(error) => self.log_unless_repeated(&error, &mut last_error),
                }
            }
            let jittered = backoff / 2 + rng.next_u64() % (backoff / 2);
            sleep(Duration::from_nanos(jittered)).await;
            backoff = (backoff * 2).min(DIAL_BACKOFF_MAX);
        }
    }

    async fn identify(&self, stream: TcpStream) -> Result<IdentifiedConnection, HandshakeError> {
        let identified = exchange_hello(stream, &self.config.hello()).await?;
        if identified.peer != PeerIdentity::Replica(self.id) {
            return Err(HandshakeError::UnexpectedPeer(identified.peer));
        }
        Ok(identified)
    }

    /// Logs an error unless the previous attempt failed with the same error.
    fn log_unless_repeated(&self, error: &HandshakeError, last_error: &mut Option<String>) {
        let text = error.to_string();
        if last_error.as_ref() != Some(&text) {
            let Dialer { id: replica, address, .. } = self;
            tracing::warn!(replica, %address, %error, "not the configured replica");
        }
        *last_error = Some(text);
    }
}
