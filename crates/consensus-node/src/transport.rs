//! Tasks for a replica's connections: accepts members and higher-numbered replicas, and dials
//! lower-numbered replicas.

use crate::connection::{serve, ConnectionEvent, ConnectionId};
use crate::dialer::Dialer;
use crate::frame::PeerIdentity;
use crate::handshake::{exchange_hello, HandshakeError, IdentifiedConnection};
use crate::node_config::NodeConfig;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Maximum number of accepted connections: room for 2,000 members and the other replicas.
const CONNECTIONS_MAX: usize = 2_100;
/// Time to wait after an attempt to accept a connection failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Spawns the tasks that accept and dial connections. The tasks end when the returned set is
/// dropped.
pub(crate) fn spawn(
    config: &NodeConfig,
    listener: TcpListener,
    events: &mpsc::Sender<ConnectionEvent>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(config.clone(), listener, events.clone()));
    for (id, address) in config.peers.iter().filter(|(id, _)| **id < config.id) {
        let dialer =
            Dialer { config: config.clone(), id: *id, address: *address, events: events.clone() };
        tasks.spawn(dialer.run());
    }
    tasks
}

async fn accept(config: NodeConfig, listener: TcpListener, events: mpsc::Sender<ConnectionEvent>) {
    let mut connections = JoinSet::new();
    let mut last_number = 0u64;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, address)) = accepted else {
            // Accepting usually fails because the process has no free file descriptors; some become
            // free when connections close.
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if connections.len() >= CONNECTIONS_MAX {
            continue;
        }
        last_number += 1;
        let id = ConnectionId::Accepted { number: last_number };
        let (config, events) = (config.clone(), events.clone());
        connections.spawn(async move {
            match accept_peer(stream, &config).await {
                Ok(identified) => serve(id, identified, &events).await,
                Err(error) => tracing::warn!(%address, %error, "peer rejected"),
            }
        });
    }
}

async fn accept_peer(
    stream: TcpStream,
    config: &NodeConfig,
) -> Result<IdentifiedConnection, HandshakeError> {
    let identified = exchange_hello(stream, &config.hello()).await?;
    match identified.peer {
        // Of two replicas, the one with the higher number dials the other.
        PeerIdentity::Replica(id) if id <= config.id || !config.peers.contains_key(&id) => {
            Err(HandshakeError::UnexpectedPeer(identified.peer))
        }
        _ => Ok(identified),
    }
}
