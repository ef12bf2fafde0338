//! Migrates a socket from a server that is lost, draining or removed to another one, or closes it.

use super::closing::GOING_AWAY;
use super::peer_state::PeerState;
use super::{EvictionRequest, Session, SessionAction, State};
use crate::close::reason_with_retry;
use crate::close_code;
use crate::peer::Peer;
use mintshelf_time::Nanos;

impl Session {
    /// Handles the loss of the server. The socket then waits for its migration slot.
    pub(super) fn handle_server_loss(&mut self, reason: &str, now: Nanos) {
        // In all other states the socket has lost or is leaving its server already.
        if !matches!(self.state, State::Open | State::Evicting { .. }) {
            return;
        }
        self.timers.stop_peer(Peer::Server);
        self.timers.set_read_paused(Peer::Client, true, now);
        // The server's pending output is kept, as it can still be sent to another server.
        self.server.is_disconnected = true;
        self.state = State::ServerLost { reason: reason.to_string() };
        self.action = Some(SessionAction::ServerLost);
    }

    /// Moves the socket away from a server that is still connected: the server is draining or
    /// removed, the proxy shuts down, or the socket has to end. The socket migrates or closes at a
    /// message boundary, or closes after the close timeout if no boundary is reached.
    pub fn evict(&mut self, request: EvictionRequest, now: Nanos) {
        if self.state == State::Open {
            let deadline_ns = now.saturating_add(self.config.timers.close_timeout_ns);
            self.state = State::Evicting { deadline_ns, request };
            self.continue_eviction(now);
        }
    }

    /// Starts the migration or closes the socket, if the socket is being evicted and can leave the
    /// server.
    pub(super) fn continue_eviction(&mut self, now: Nanos) {
        let State::Evicting { deadline_ns, request } = &self.state else { return };
        let is_due = *deadline_ns <= now;
        let request = request.clone();
        let is_between_messages = self.is_between_messages();
        let may_migrate = request.may_migrate && self.resume.may_migrate();
        let is_flushed = self.pending_output(Peer::Server).is_empty();
        if may_migrate && is_between_messages && is_flushed && self.can_migrate() {
            self.begin_migration(request.reason);
        } else if is_due || is_between_messages && !may_migrate {
            self.close(request.close_code, &request.reason, now);
        }
    }

    /// Returns whether another server can take over: client and old server have both received
    /// complete messages only.
    fn can_migrate(&self) -> bool {
        self.resume.is_at_message_boundary()
            && self.server.decoder.is_between_messages()
            && self.end.is_none()
    }

    fn begin_migration(&mut self, reason: String) {
        self.state = State::Migrating { reason };
        self.action = Some(SessionAction::Migrate);
    }

    /// Continues after [`SessionAction::ServerLost`] at the socket's migration slot: starts to
    /// migrate if possible, and closes the socket otherwise. `retry_after_s` is the time after
    /// which a client whose socket is closed may reconnect, in seconds.
    pub fn migrate_or_close(&mut self, retry_after_s: u64, now: Nanos) {
        let State::ServerLost { reason } = &self.state else { return };
        let reason = reason.clone();
        if self.can_migrate() {
            self.begin_migration(reason);
        } else {
            self.close(
                close_code::SERVICE_RESTART,
                &reason_with_retry(&reason, retry_after_s),
                now,
            );
        }
    }

    /// Continues with another server after [`SessionAction::Migrate`]. Returns the close frame to
    /// send to the old server; empty if the old server has disconnected or been sent a close frame.
    pub fn complete_migration(&mut self, now: Nanos) -> Vec<u8> {
        let mut close_frame = Vec::new();
        let State::Migrating { .. } = self.state else { return close_frame };
        let mask_key = self.next_mask_key();
        if !self.server.is_disconnected && !self.server.close_sent {
            GOING_AWAY.write(Peer::Client, mask_key, &mut close_frame);
        }
        self.replace_server();
        self.state = State::Open;
        self.timers.restart_peer(Peer::Server, now);
        self.timers.set_read_paused(Peer::Client, false, now);
        if !self.pending_output(Peer::Server).is_empty() {
            self.timers.record_queued(Peer::Server, now);
        }
        let unforwarded = std::mem::take(&mut self.client.unforwarded);
        if !unforwarded.is_empty() {
            self.forward(Peer::Client, &unforwarded, now);
        }
        close_frame
    }

    /// Replaces the state of the server by the state of a new server. The new server's output
    /// starts with the client's first message, if the old server had received the message and it is
    /// to be replayed, followed by the output that the old server had not accepted. Bytes that the
    /// old server sent and that were not forwarded are lost.
    fn replace_server(&mut self) {
        let max_message_bytes = self.config.max_message_bytes;
        let mut server = PeerState::new(Peer::Server, self.is_compressed, max_message_bytes);
        server.output.bytes.extend_from_slice(self.resume.replace_server());
        server.output.bytes.extend_from_slice(self.server.output.pending());
        server.received_bytes = self.server.received_bytes;
        self.server = server;
    }

    /// Closes the socket after [`SessionAction::Migrate`] because no other server accepted the
    /// socket. `retry_after_s` is the time after which the client may reconnect, in seconds.
    pub fn fail_migration(&mut self, retry_after_s: u64, now: Nanos) {
        if let State::Migrating { reason } = &self.state {
            let reason = reason_with_retry(reason, retry_after_s);
            self.close(close_code::SERVICE_RESTART, &reason, now);
        }
    }
}
