//! The closing handshake (RFC 6455 7.1.2), and disconnects without it.

use super::{ClosedBy, Session, SessionEnd, State};
use crate::close::CloseFrame;
use crate::close_code;
use crate::peer::Peer;
use crate::violation::Violation;
use mintshelf_time::Nanos;

/// The close frame for a peer that is not told why the socket is closed.
pub(super) const GOING_AWAY: CloseFrame<'static> =
    CloseFrame { code: close_code::GOING_AWAY, reason: "" };

impl Session {
    /// Closes the socket because one peer violated the protocol. The violating peer is sent the
    /// violation's close code and reason. The other peer is sent 1001 if it is the server, and 1011
    /// with the reason if it is the client.
    pub(super) fn close_for_violation(&mut self, peer: Peer, violation: Violation, now: Nanos) {
        let reason = violation.reason();
        let (by, other) = match peer {
            Peer::Client => (ClosedBy::Client, GOING_AWAY),
            // Not 1014 (bad gateway), which some clients reject.
            Peer::Server => {
                (ClosedBy::Server, CloseFrame { code: close_code::INTERNAL_ERROR, reason })
            }
        };
        // The peer's stream can't be decoded any further, so an answering close frame would not be
        // recognized.
        self.peer_state_mut(peer).close_received = true;
        self.send_close(peer, CloseFrame { code: violation.close_code(), reason });
        self.send_close(peer.other(), other);
        self.begin_closing(by, violation.close_code(), now);
    }

    /// Sends a peer a close frame, unless the peer has been sent a close frame already. If a frame
    /// from the other peer is only partly forwarded, no close frame can be inserted, and the peer
    /// is disconnected instead.
    pub(super) fn send_close(&mut self, peer: Peer, close: CloseFrame<'_>) {
        let mask_key = self.next_mask_key();
        let is_between_frames = self.peer_state(peer.other()).decoder.is_between_frames();
        let peer_state = self.peer_state_mut(peer);
        if peer_state.close_sent || peer_state.is_disconnected {
            return;
        }
        if is_between_frames {
            close.write(peer.other(), mask_key, &mut peer_state.output.bytes);
            peer_state.close_sent = true;
        } else {
            peer_state.disconnect();
        }
    }

    /// Records who closed the socket, and starts to wait until pending output is written and close
    /// frames are answered.
    pub(super) fn begin_closing(&mut self, by: ClosedBy, code: u16, now: Nanos) {
        self.end.get_or_insert(SessionEnd { by, code });
        if !matches!(self.state, State::Closing { .. }) {
            let deadline_ns = now.saturating_add(self.config.timers.close_timeout_ns);
            self.state = State::Closing { deadline_ns };
        }
    }

    /// Closes the socket on the proxy's initiative. Only the client is sent `code` and `reason`.
    pub(super) fn close(&mut self, code: u16, reason: &str, now: Nanos) {
        self.send_close(Peer::Client, CloseFrame { code, reason });
        self.send_close(Peer::Server, GOING_AWAY);
        self.begin_closing(ClosedBy::Sidecar, code, now);
    }

    /// Handles the end of a peer's stream or the loss of its connection.
    pub fn peer_disconnected(&mut self, peer: Peer, now: Nanos) {
        let peer_state = self.peer_state(peer);
        if peer_state.is_disconnected {
            return;
        }
        let is_closing = peer_state.close_received || peer_state.close_sent || self.end.is_some();
        self.timers.stop_peer(peer);
        if is_closing {
            self.peer_state_mut(peer).disconnect();
            // Has no effect if the other peer has been sent a close frame.
            self.send_close(peer.other(), GOING_AWAY);
            self.begin_closing(ClosedBy::Sidecar, close_code::GOING_AWAY, now);
            return;
        }
        match peer {
            Peer::Client => {
                self.peer_state_mut(peer).disconnect();
                let reason = "its client left";
                let close = CloseFrame { code: close_code::GOING_AWAY, reason };
                self.send_close(Peer::Server, close);
                self.begin_closing(ClosedBy::Client, close_code::ABNORMAL_CLOSURE, now);
            }
            Peer::Server => self.handle_server_loss("its server has gone", now),
        }
    }
}
