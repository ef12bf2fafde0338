//! A replica's connections: accepts those of members and higher-numbered replicas, dials
//! lower-numbered replicas, and carries frames both ways.

use crate::clock;
use crate::frame::{decode, Frame, Hello, PeerIdentity};
use crate::handshake::{
    exchange_hello, Connection, HandshakeError, IdentifiedConnection, HELLO_TIMEOUT,
};
use crate::node_config::NodeConfig;
use futures_util::stream::{SplitSink, SplitStream};
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

/// Identifies a connection among all that a node has ever had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum ConnectionId {
    /// A connection that was accepted.
    Accepted {
        /// Number among the accepted ones, from 1.
        number: u64,
    },
    /// A connection that was dialed.
    Dialed {
        /// Number of the replica at the other end.
        replica: u64,
        /// Number among the connections to that replica, from 1.
        number: u64,
    },
}

/// A connection that frames can be sent on.
#[derive(Debug)]
pub(crate) struct OpenedConnection {
    /// Who is at the other end.
    pub(crate) peer: PeerIdentity,
    /// Where frames to the peer are queued; dropped, it closes the connection.
    pub(crate) outgoing: mpsc::Sender<Bytes>,
}

/// What happens to a connection.
pub(crate) enum ConnectionEvent {
    /// It is open, and its peer has identified itself.
    Opened { id: ConnectionId, connection: OpenedConnection },
    /// A frame has arrived.
    Received { id: ConnectionId, frame: Frame },
    /// It is closed.
    Closed { id: ConnectionId },
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
                        let connection = ConnectionId::Dialed { replica: *id, number: last_number };
                        serve(connection, identified, events).await;
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
    events: &mpsc::Sender<ConnectionEvent>,
) {
    let IdentifiedConnection { connection, peer } = identified;
    let (outgoing, queue) = mpsc::channel(OUTGOING_QUEUE_MAX);
    let opened = OpenedConnection { peer: peer.clone(), outgoing };
    if events.send(ConnectionEvent::Opened { id, connection: opened }).await.is_err() {
        return;
    }
    let (sink, stream) = connection.split();
    tokio::select! {
        () = write_frames(sink, queue) => {}
        () = read_frames(id, &peer, stream, events) => {}
    }
    // Without a receiver the node has stopped, and its table of connections with it.
    events.send(ConnectionEvent::Closed { id }).await.ok();
}

async fn write_frames(mut sink: SplitSink<Connection, Bytes>, mut queue: mpsc::Receiver<Bytes>) {
    while let Some(bytes) = queue.recv().await {
        if !matches!(timeout(WRITE_TIMEOUT, sink.send(bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read_frames(
    id: ConnectionId,
    peer: &PeerIdentity,
    mut stream: SplitStream<Connection>,
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
        if events.send(ConnectionEvent::Received { id, frame }).await.is_err() {
            return;
        }
    }
}
