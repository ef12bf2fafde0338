//! The state of one peer in a session: the frames that it sends, and its pending output.

use crate::frame::FrameDecoder;
use crate::peer::Peer;

/// Largest buffer that an empty queue keeps allocated, in bytes.
const RETAINED_BYTES: usize = 1 << 10;

/// Bytes that wait to be written to a peer.
#[derive(Debug, Default)]
pub(super) struct OutputQueue {
    pub(super) bytes: Vec<u8>,
    written_bytes: usize,
}

impl OutputQueue {
    pub(super) fn pending(&self) -> &[u8] {
        &self.bytes[self.written_bytes..]
    }

    /// Removes `count` written bytes, and returns whether none are pending any more.
    pub(super) fn advance(&mut self, count: usize) -> bool {
        self.written_bytes = (self.written_bytes + count).min(self.bytes.len());
        let is_drained = self.written_bytes == self.bytes.len();
        if is_drained {
            self.bytes.clear();
            self.written_bytes = 0;
            if self.bytes.capacity() > RETAINED_BYTES {
                self.bytes = Vec::new();
            }
        }
        is_drained
    }
}

/// The protocol state and pending output of one peer's connection.
#[derive(Debug)]
pub(super) struct PeerState {
    /// Decodes the frames that the peer sends.
    pub(super) decoder: FrameDecoder,
    /// Bytes received after the message boundary at which forwarding stopped for an eviction.
    pub(super) unforwarded: Vec<u8>,
    pub(super) output: OutputQueue,
    /// Whether the peer sent a close frame, or the proxy no longer waits for a close frame from the
    /// peer.
    pub(super) close_received: bool,
    /// Whether the peer was sent a close frame.
    pub(super) close_sent: bool,
    pub(super) is_disconnected: bool,
    pub(super) received_bytes: u64,
}

impl PeerState {
    pub(super) fn new(peer: Peer, is_compressed: bool, max_message_bytes: u64) -> Self {
        PeerState {
            decoder: FrameDecoder::new(peer, is_compressed, max_message_bytes),
            unforwarded: Vec::new(),
            output: OutputQueue::default(),
            close_received: false,
            close_sent: false,
            is_disconnected: false,
            received_bytes: 0,
        }
    }

    pub(super) fn buffered_bytes(&self) -> usize {
        self.output.pending().len() + self.unforwarded.len()
    }

    /// Returns whether nothing more has to be sent to or received from the peer.
    pub(super) fn is_finished(&self) -> bool {
        let handshake_done =
            self.close_received && self.close_sent && self.output.pending().is_empty();
        self.is_disconnected || handshake_done
    }

    /// Marks the peer as disconnected, and discards its buffers.
    pub(super) fn disconnect(&mut self) {
        self.is_disconnected = true;
        self.output = OutputQueue::default();
        self.unforwarded = Vec::new();
    }
}

/// Creates a decoder for frames of a client that have been checked already, with no message limit.
pub(super) fn client_decoder(is_compressed: bool) -> FrameDecoder {
    FrameDecoder::new(Peer::Client, is_compressed, u64::MAX)
}
