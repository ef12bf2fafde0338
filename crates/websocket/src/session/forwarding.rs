//! Forwards bytes between the peers, and records which output was written.

use super::{ClosedBy, Session, State};
use crate::frame::{ControlAction, ControlFrame};
use crate::peer::Peer;
use crate::violation::Violation;
use mintshelf_time::Nanos;

/// The result of forwarding bytes that a peer sent.
struct Forwarded {
    /// The number of the sender's bytes that were consumed, or the sender's violation.
    result: Result<usize, Violation>,
    /// The code of a close frame among the bytes.
    close_code: Option<u16>,
    has_completed_message: bool,
    /// If bytes were added to the other peer's output, the length of that output before.
    output_grown_from: Option<usize>,
}

impl Session {
    /// Processes bytes that a peer sent.
    pub fn receive(&mut self, peer: Peer, bytes: &[u8], now: Nanos) {
        if self.peer_state(peer).is_disconnected || self.end().is_some() {
            return;
        }
        self.peer_state_mut(peer).received_bytes += bytes.len() as u64;
        self.forward(peer, bytes, now);
        if let State::Evicting { .. } = self.state {
            self.continue_eviction(now);
        }
        for peer in [Peer::Client, Peer::Server] {
            self.timers.set_read_paused(peer, !self.wants_read(peer), now);
        }
    }

    /// Forwards bytes that a peer sent. During an eviction, forwards only up to a message boundary
    /// and buffers the rest.
    pub(super) fn forward(&mut self, peer: Peer, bytes: &[u8], now: Nanos) {
        if self.peer_state(peer).close_received {
            // Data after a close frame is ignored (RFC 6455 5.5.1).
            return;
        }
        let other_close_sent = self.peer_state(peer.other()).close_sent;
        let forwarded = self.decode(peer, bytes);
        self.update_timers(peer, &forwarded, now);
        match forwarded.result {
            Ok(count) => self.peer_state_mut(peer).unforwarded.extend_from_slice(&bytes[count..]),
            Err(violation) => return self.close_for_violation(peer, violation, now),
        }
        let Some(code) = forwarded.close_code else { return };
        self.peer_state_mut(peer).close_received = true;
        if !other_close_sent {
            self.peer_state_mut(peer.other()).close_sent = true;
            let by = match peer {
                Peer::Client => ClosedBy::Client,
                Peer::Server => ClosedBy::Server,
            };
            self.begin_closing(by, code, now);
        }
    }

    /// Decodes bytes that a peer sent, and appends them to the other peer's output.
    fn decode(&mut self, peer: Peer, bytes: &[u8]) -> Forwarded {
        let is_closing = matches!(self.state, State::Closing { .. });
        let is_evicting = matches!(self.state, State::Evicting { .. });
        let ping_token = self.ping_token;
        let (source, sink) = match peer {
            Peer::Client => (&mut self.client, &mut self.server),
            Peer::Server => (&mut self.server, &mut self.client),
        };
        let output_start = sink.output.bytes.len();
        let messages_before = source.decoder.completed_messages();
        let close_sent = sink.close_sent;
        let mut close_code = None;
        let on_control = |frame: ControlFrame<'_>| {
            if let ControlFrame::Close(close) = frame {
                close_code.get_or_insert(close.code);
            }
            control_action(frame, ping_token, close_sent)
        };
        let mut discarded = Vec::new();
        let is_discarded = is_closing && (close_sent || sink.is_disconnected);
        let out = if is_discarded { &mut discarded } else { &mut sink.output.bytes };
        let result = if is_evicting {
            source.decoder.forward_to_boundary(bytes, out, on_control)
        } else {
            source.decoder.forward(bytes, out, on_control).map(|()| bytes.len())
        };
        let has_grown = sink.output.bytes.len() > output_start;
        Forwarded {
            result,
            close_code,
            has_completed_message: source.decoder.completed_messages() > messages_before,
            output_grown_from: has_grown.then_some(output_start),
        }
    }

    fn update_timers(&mut self, peer: Peer, forwarded: &Forwarded, now: Nanos) {
        let is_within_message = !self.peer_state(peer).decoder.is_between_messages();
        self.timers.record_received(peer, now, is_within_message);
        if forwarded.has_completed_message {
            self.timers.record_message(peer, now);
        }
        if let Some(output_start) = forwarded.output_grown_from {
            if peer == Peer::Client {
                self.resume.record_sent(&self.server.output.bytes[output_start..]);
            }
            self.timers.record_queued(peer.other(), now);
        }
    }

    /// Records that `count` bytes of a peer's pending output were written.
    pub fn record_written(&mut self, peer: Peer, count: usize, now: Nanos) {
        if peer == Peer::Server {
            let pending = self.server.output.pending();
            self.resume.record_written(&pending[..count.min(pending.len())]);
        }
        let is_drained = self.peer_state_mut(peer).output.advance(count);
        self.timers.record_written(peer, now, is_drained);
        let source = peer.other();
        self.timers.set_read_paused(source, !self.wants_read(source), now);
        self.continue_eviction(now);
    }
}

/// Decides whether a control frame from a peer is forwarded. `close_sent` is true if the other peer
/// has been sent a close frame.
fn control_action(frame: ControlFrame<'_>, ping_token: [u8; 8], close_sent: bool) -> ControlAction {
    // Answers to the proxy's own pings and close frames are not forwarded.
    let is_answer_to_proxy = match frame {
        ControlFrame::Pong(payload) => payload == ping_token,
        ControlFrame::Close(_) => close_sent,
        ControlFrame::Ping(_) => false,
    };
    if is_answer_to_proxy {
        ControlAction::Discard
    } else {
        ControlAction::Forward
    }
}
