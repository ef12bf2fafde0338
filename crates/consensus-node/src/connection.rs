//! One connection of a node: carries frames both ways, and reports what happens as events.

use crate::frame::{decode, Frame, PeerIdentity};
use crate::handshake::{FramedStream, IdentifiedConnection};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::bytes::Bytes;

/// Frames that wait for one connection; more are dropped, and repeated by their protocol.
const OUTGOING_QUEUE_MAX: usize = 256;
/// A write that is not complete within this time ends its connection.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Carries frames both ways until one side ends.
pub(crate) async fn serve(
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

async fn write_frames(mut sink: SplitSink<FramedStream, Bytes>, mut queue: mpsc::Receiver<Bytes>) {
    while let Some(bytes) = queue.recv().await {
        if !matches!(timeout(WRITE_TIMEOUT, sink.send(bytes)).await, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read_frames(
    id: ConnectionId,
    peer: &PeerIdentity,
    mut stream: SplitStream<FramedStream>,
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
