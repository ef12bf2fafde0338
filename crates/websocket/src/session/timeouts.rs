//! Handles the timers of a session, and pings its peers.

use super::peer_state::PeerState;
use super::{ClosedBy, EvictionRequest, Session, State};
use crate::close::CloseFrame;
use crate::close_code;
use crate::control::{write_control_frame, OPCODE_PING};
use crate::peer::Peer;
use crate::timers::TimerEvent;
use mintshelf_time::Nanos;

impl Session {
    /// Handles all timers that are due. Must be called at [`Session::next_deadline`].
    pub fn handle_timers(&mut self, now: Nanos) {
        if let State::Closing { deadline_ns } = self.state {
            if deadline_ns <= now {
                [&mut self.client, &mut self.server]
                    .into_iter()
                    .filter(|peer_state| !peer_state.is_finished())
                    .for_each(PeerState::disconnect);
            }
            return;
        }
        self.continue_eviction(now);
        while matches!(self.state, State::Open | State::Evicting { .. }) {
            let Some(event) = self.timers.due_event(now) else { return };
            self.handle_timer_event(event, now);
        }
    }

    fn handle_timer_event(&mut self, event: TimerEvent, now: Nanos) {
        match event {
            TimerEvent::IdleTimeout => {
                self.close(close_code::GOING_AWAY, "no message has passed for long", now);
            }
            TimerEvent::LifetimeExceeded => self.end_lifetime(now),
            TimerEvent::PingDue(peer) => self.ping(peer, now),
            TimerEvent::PongTimeout(Peer::Client) => {
                self.disconnect_client("its client is silent", now);
            }
            TimerEvent::WriteStalled(Peer::Client) => {
                self.disconnect_client("its client reads nothing", now);
            }
            TimerEvent::MessageTimeout(Peer::Client) => self.close_for_slow_message(now),
            TimerEvent::PongTimeout(Peer::Server) => {
                self.handle_server_loss("its server is silent", now);
            }
            TimerEvent::WriteStalled(Peer::Server) => {
                self.handle_server_loss("its server reads nothing", now);
            }
            TimerEvent::MessageTimeout(Peer::Server) => {
                self.handle_server_loss("its server does not end its message", now);
            }
        }
    }

    fn end_lifetime(&mut self, now: Nanos) {
        self.timers.stop_lifetime();
        let close_code = close_code::GOING_AWAY;
        let reason = "it has lived long enough".to_string();
        self.evict(EvictionRequest { close_code, reason, may_migrate: false }, now);
    }

    fn disconnect_client(&mut self, reason: &str, now: Nanos) {
        self.client.disconnect();
        self.timers.stop_peer(Peer::Client);
        self.send_close(Peer::Server, CloseFrame { code: close_code::GOING_AWAY, reason });
        self.begin_closing(ClosedBy::Sidecar, close_code::ABNORMAL_CLOSURE, now);
    }

    fn close_for_slow_message(&mut self, now: Nanos) {
        let reason = "a message took too long";
        self.send_close(Peer::Client, CloseFrame { code: close_code::POLICY_VIOLATION, reason });
        self.send_close(Peer::Server, CloseFrame { code: close_code::GOING_AWAY, reason });
        self.begin_closing(ClosedBy::Sidecar, close_code::POLICY_VIOLATION, now);
    }

    /// Pings a peer. While a frame from the other peer is only partly forwarded, no ping can be
    /// inserted and the ping is postponed; the write stall timeout detects a dead peer meanwhile.
    fn ping(&mut self, peer: Peer, now: Nanos) {
        let is_between_frames = self.peer_state(peer.other()).decoder.is_between_frames();
        if !is_between_frames || self.peer_state(peer).close_sent {
            return self.timers.postpone_ping(peer, now);
        }
        let mask_key = self.next_mask_key();
        let token = self.ping_token;
        let output = &mut self.peer_state_mut(peer).output.bytes;
        write_control_frame(peer.other(), OPCODE_PING, &token, mask_key, output);
        self.timers.record_ping(peer, now);
        self.timers.record_queued(peer, now);
    }

    /// Pings a server that is suspected to be down, without waiting for the ping interval.
    pub fn probe_server(&mut self, now: Nanos) {
        if self.state == State::Open && !self.timers.awaits_pong(Peer::Server) {
            self.ping(Peer::Server, now);
        }
    }
}
