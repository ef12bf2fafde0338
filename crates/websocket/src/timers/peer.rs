//! The timers of one peer: pings, slow messages and stalled writes.

use super::config::{Deadline, TimerConfig, TimerEvent};
use crate::peer::Peer;
use mintshelf_time::{Nanos, SECOND};

/// Time after which a ping that could not be sent is due again.
const PING_RETRY_INTERVAL: Nanos = SECOND;

/// The timers of one peer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerTimers {
    /// When it last sent bytes, or reading from it was resumed, or a ping was postponed.
    last_received_ns: Nanos,
    /// Whether it is not read now, so that nothing can be expected of it.
    is_read_paused: bool,
    pinged_at_ns: Option<Nanos>,
    /// Since when it has taken none of its pending output.
    output_blocked_since_ns: Option<Nanos>,
    /// When its current message began.
    message_started_ns: Option<Nanos>,
    is_disconnected: bool,
}

impl PeerTimers {
    /// Timers of a peer that connects now.
    pub(super) fn connected_at(now: Nanos) -> Self {
        PeerTimers { last_received_ns: now, ..PeerTimers::default() }
    }

    /// Timers of a peer that has disconnected.
    pub(super) fn disconnected() -> Self {
        PeerTimers { is_disconnected: true, ..PeerTimers::default() }
    }

    /// Records that the peer sent bytes, and whether it is within a message now.
    pub(super) fn record_received(&mut self, now: Nanos, is_within_message: bool) {
        self.last_received_ns = now;
        self.pinged_at_ns = None;
        if is_within_message {
            self.message_started_ns.get_or_insert(now);
        } else {
            self.message_started_ns = None;
        }
    }

    /// Measures the message that the peer is within, if any, from now on.
    pub(super) fn restart_message(&mut self, now: Nanos) {
        self.message_started_ns = self.message_started_ns.map(|_| now);
    }

    /// Records whether the peer is read. Its timers start again when reading is resumed.
    pub(super) fn set_read_paused(&mut self, is_paused: bool, now: Nanos) {
        let has_resumed = self.is_read_paused && !is_paused;
        self.is_read_paused = is_paused;
        if has_resumed {
            self.last_received_ns = now;
            self.pinged_at_ns = None;
            self.restart_message(now);
        }
    }

    /// Records that the peer has pending output.
    pub(super) fn record_queued(&mut self, now: Nanos) {
        self.output_blocked_since_ns.get_or_insert(now);
    }

    /// Records that the peer took output, and whether that was all of it.
    pub(super) fn record_written(&mut self, now: Nanos, is_drained: bool) {
        self.output_blocked_since_ns = (!is_drained).then_some(now);
    }

    /// Records that the peer was pinged.
    pub(super) fn record_ping(&mut self, now: Nanos) {
        self.pinged_at_ns.get_or_insert(now);
    }

    /// Whether the peer has a ping to answer.
    pub(super) fn awaits_pong(&self) -> bool {
        self.pinged_at_ns.is_some()
    }

    /// Makes the next ping due after [`PING_RETRY_INTERVAL`].
    pub(super) fn postpone_ping(&mut self, now: Nanos, config: &TimerConfig) {
        let due_ns = now.saturating_add(PING_RETRY_INTERVAL);
        self.last_received_ns = due_ns.saturating_sub(config.ping_interval_ns);
    }

    /// The deadlines that hold now.
    pub(super) fn deadlines(
        &self,
        peer: Peer,
        config: &TimerConfig,
    ) -> impl Iterator<Item = Deadline> {
        let is_expected_to_send = !self.is_disconnected && !self.is_read_paused;
        let liveness = Some(self.liveness_deadline(peer, config));
        let message = self.message_started_ns.map(|started| Deadline {
            at_ns: started.saturating_add(config.message_timeout_ns),
            event: TimerEvent::MessageTimeout(peer),
        });
        let stall = self.output_blocked_since_ns.map(|since| Deadline {
            at_ns: since.saturating_add(config.write_stall_timeout_ns),
            event: TimerEvent::WriteStalled(peer),
        });
        let deadlines = [
            liveness.filter(|_| is_expected_to_send),
            message.filter(|_| is_expected_to_send),
            stall.filter(|_| !self.is_disconnected),
        ];
        deadlines.into_iter().flatten()
    }

    /// The next ping, or the timeout of the one that is not answered yet.
    fn liveness_deadline(&self, peer: Peer, config: &TimerConfig) -> Deadline {
        match self.pinged_at_ns {
            None => Deadline {
                at_ns: self.last_received_ns.saturating_add(config.ping_interval_ns),
                event: TimerEvent::PingDue(peer),
            },
            Some(pinged_at) => Deadline {
                at_ns: pinged_at.saturating_add(config.pong_timeout_ns),
                event: TimerEvent::PongTimeout(peer),
            },
        }
    }
}
