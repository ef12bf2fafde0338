//! One connection of a node: sends and receives frames and reports events to the node.

use crate::frame::{decode, Frame, PeerIdentity};
use crate::handshake::{FramedStream, IdentifiedConnection};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::bytes::Bytes;

/// Maximum number of queued frames per connection. Frames beyond this number are dropped; raft and
/// the members' clients repeat lost messages.
const OUTGOING_QUEUE_MAX: usize = 256;
/// Time limit for writing a frame. A connection that exceeds it is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Identifies a connection among all connections since the node's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum ConnectionId {
    /// A connection from a member or another replica that the node's listener accepted.
    Accepted {
        /// Sequence number among accepted connections, from 1.
        number: u64,
    },
    /// A connection that the node opened to another replica.
    Dialed {
        /// Number of the replica at the other end.
        replica: u64,
        /// Sequence number among connections dialed to that replica, from 1.
        number: u64,
    },
}

/// An open connection on which frames can be sent.
#[derive(Debug)]
pub(crate) struct OpenedConnection {
    /// Identity of the peer.
    pub(crate) peer: PeerIdentity,
    /// Queue of encoded frames to the peer. Dropping the sender closes the connection.
    pub(crate) outgoing: mpsc::Sender<Bytes>,
}

/// An event of a connection, reported to the node.
pub(crate) enum ConnectionEvent {
    /// The handshake has completed.
    Opened { id: ConnectionId, connection: OpenedConnection },
    /// A frame was received.
    Received { id: ConnectionId, frame: Frame },
    /// The connection is closed.
    Closed { id: ConnectionId },
}

/// Sends and receives frames until reading or writing ends, and reports the events.
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
    // Sending fails only if the node has stopped; then nothing needs the event.
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
