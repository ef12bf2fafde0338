//! A replica's connections: accepts those of members and higher-numbered replicas, dials
//! lower-numbered replicas, and carries frames both ways.

use crate::clock;
use crate::frame::{decode, Frame, Hello, PeerIdentity};
use crate::handshake::{
    exchange_hello, Connection, HandshakeError, IdentifiedConnection, HELLO_TIMEOUT,
};
use crate::node::NodeConfig;
use futures_util::{SinkExt, StreamExt};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::bytes::Bytes;

/// Frames that wait for one connection; more are dropped, and repeated by their protocol.
const OUTGOING_QUEUE_MAX: usize = 256;
/// Connections at one time: those of all other replicas and of the members.
const CONNECTIONS_MAX: usize = 2_100;
/// A write that is not complete within this time ends its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Backoff while no descriptors are free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// First backoff between two attempts to reach a replica.
const DIAL_BACKOFF_MIN: Nanos = 50 * MILLISECOND;
/// Longest backoff between two attempts to reach a replica.
const DIAL_BACKOFF_MAX: Nanos = SECOND;

/// Number of a connection, unique in the life of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct ConnectionId(u64);

impl ConnectionId {
    fn accepted(number: u64) -> Self {
        ConnectionId(number << 1)
    }

    fn dialed(replica: u64, number: u64) -> Self {
        ConnectionId((replica << 40 | number) << 1 | 1)
    }
}

/// What happens to connections.
pub(crate) enum ConnectionEvent {
    Opened { connection: ConnectionId, peer: PeerIdentity, outgoing: mpsc::Sender<Bytes> },
    Received { connection: ConnectionId, frame: Frame },
    Closed { connection: ConnectionId },
}

/// Spawns the tasks of all connections. They end when the set is dropped.
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

fn own_hello(config: &NodeConfig) -> Hello {
    Hello::new(&config.fleet, PeerIdentity::Replica(config.id))
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
            // Out of descriptors: connections that close free some.
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if connections.len() >= CONNECTIONS_MAX {
            continue;
        }
        last_number += 1;
        let id = ConnectionId::accepted(last_number);
        let (config, events) = (config.clone(), events.clone());
        connections.spawn(async move {
            match accept_peer(stream, &config).await {
                Ok(identified) => serve(id, identified, events).await,
                Err(error) => tracing::warn!(%address, %error, "peer rejected"),
            }
        });
    }
}

async fn accept_peer(
    stream: TcpStream,
    config: &NodeConfig,
) -> Result<IdentifiedConnection, HandshakeError> {
    let identified = exchange_hello(stream, &own_hello(config)).await?;
    match identified.peer {
        // Of two replicas the one with the higher number dials.
        PeerIdentity::Replica(id) if id <= config.id || !config.peers.contains_key(&id) => {
            Err(HandshakeError::UnexpectedPeer(identified.peer))
        }
        _ => Ok(identified),
    }
}

/// Keeps a connection to one replica.
struct Dialer {
    config: NodeConfig,
    /// Number of the replica.
    id: u64,
    address: SocketAddr,
    events: mpsc::Sender<ConnectionEvent>,
}

impl Dialer {
    async fn run(self) {
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
                        let connection = ConnectionId::dialed(*id, last_number);
                        serve(connection, identified, events.clone()).await;
                    }
                    Err(error) => self.log_once(&error, &mut last_error),
                }
            }
            let jittered = backoff / 2 + rng.next_u64() % (backoff / 2);
            sleep(Duration::from_nanos(jittered)).await;
            backoff = (backoff * 2).min(DIAL_BACKOFF_MAX);
        }
    }

    async fn identify(&self, stream: TcpStream) -> Result<IdentifiedConnection, HandshakeError> {
        let identified = exchange_hello(stream, &own_hello(&self.config)).await?;
        if identified.peer != PeerIdentity::Replica(self.id) {
            return Err(HandshakeError::UnexpectedPeer(identified.peer));
        }
        Ok(identified)
    }

    /// Logs an error, unless the attempt before failed by the same.
    fn log_once(&self, error: &HandshakeError, last_error: &mut Option<String>) {
        let text = error.to_string();
        if last_error.as_ref() != Some(&text) {
            let Dialer { id: replica, address, .. } = self;
            tracing::warn!(replica, %address, %error, "not the configured replica");
        }
        *last_error = Some(text);
    }
}

/// Carries frames both ways until one side ends.
async fn serve(
    id: ConnectionId,
    identified: IdentifiedConnection,
    events: mpsc::Sender<ConnectionEvent>,
) {
    let IdentifiedConnection { connection, peer } = identified;
    let (outgoing, queue) = mpsc::channel(OUTGOING_QUEUE_MAX);
    let opened = ConnectionEvent::Opened { connection: id, peer: peer.clone(), outgoing };
    if events.send(opened).await.is_err() {
        return;
    }
    let (sink, stream) = connection.split();
    tokio::select! {
        () = write_frames(sink, queue) => {}
        () = read_frames(id, &peer, stream, &events) => {}
    }
    // Without a receiver the node is gone.
    let _ = events.send(ConnectionEvent::Closed { connection: id }).await;
}

async fn write_frames(
    mut sink: futures_util::stream::SplitSink<Connection, Bytes>,
    mut queue: mpsc::Receiver<Bytes>,
) {
    while let Some(bytes) = queue.recv().await {
        if !matches!(timeout(WRITE_TIMEOUT, sink.send(bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read_frames(
    id: ConnectionId,
    peer: &PeerIdentity,
    mut stream: futures_util::stream::SplitStream<Connection>,
    events: &mpsc::Sender<ConnectionEvent>,
) {
    while let Some(Ok(bytes)) = stream.next().await {
        let frame = match decode(&bytes) {
            Ok(frame) => frame,
            Err(error) => {
                tracing::warn!(%peer, %error, "connection closed");
                return;
            }
        };
        if events.send(ConnectionEvent::Received { connection: id, frame }).await.is_err() {
            return;
        }
    }
}
