//! Timers of one peer: pings, slow messages and stalled writes.

use super::config::{Deadline, TimerConfig, TimerEvent};
use crate::peer::Peer;
use mintshelf_time::{Nanos, SECOND};

/// Delay before a ping that could not be sent is due again.
const PING_RETRY_INTERVAL: Nanos = SECOND;

/// The timers of one peer.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerTimers {
    /// Start of the current ping interval: the time at which the peer last sent bytes or at which
    /// reading from the peer was resumed. Adjusted when a ping is postponed.
    ping_interval_start_ns: Nanos,
    /// Whether reading from the peer is paused, in which case the peer is not expected to send
    /// anything.
    is_read_paused: bool,
    /// Time at which the unanswered ping was sent; `None` if no ping is unanswered.
    pinged_at_ns: Option<Nanos>,
    /// Time at which the peer last accepted output, or at which its pending output was first
    /// queued; `None` if no output is pending.
    output_blocked_since_ns: Option<Nanos>,
    /// Start of the peer's message in progress, or the last restart of that message's timer; `None`
    /// if no message is in progress.
    message_start_ns: Option<Nanos>,
    is_disconnected: bool,
}

impl PeerTimers {
    /// Creates the timers of a peer that connects now.
    pub(super) fn connected_at(now: Nanos) -> Self {
        PeerTimers { ping_interval_start_ns: now, ..PeerTimers::default() }
    }

    /// Creates the timers of a disconnected peer, none of which is running.
    pub(super) fn disconnected() -> Self {
        PeerTimers { is_disconnected: true, ..PeerTimers::default() }
    }

    /// Records that the peer sent bytes, and whether it has a message in progress afterwards.
    pub(super) fn record_received(&mut self, now: Nanos, is_within_message: bool) {
        self.ping_interval_start_ns = now;
        self.pinged_at_ns = None;
        if is_within_message {
            self.message_start_ns.get_or_insert(now);
        } else {
            self.message_start_ns = None;
        }
    }

    /// Restarts the timer of the message in progress, if any.
    pub(super) fn restart_message(&mut self, now: Nanos) {
        self.message_start_ns = self.message_start_ns.map(|_| now);
    }

    /// Records whether reading from the peer is paused. Resuming restarts the ping and message
    /// timers.
    pub(super) fn set_read_paused(&mut self, is_paused: bool, now: Nanos) {
        let has_resumed = self.is_read_paused && !is_paused;
        self.is_read_paused = is_paused;
        if has_resumed {
            self.ping_interval_start_ns = now;
            self.pinged_at_ns = None;
            self.restart_message(now);
        }
    }

    /// Records that the peer has pending output.
    pub(super) fn record_queued(&mut self, now: Nanos) {
        self.output_blocked_since_ns.get_or_insert(now);
    }

    /// Records that the peer accepted output, and whether none is pending any more.
    pub(super) fn record_written(&mut self, now: Nanos, is_drained: bool) {
        self.output_blocked_since_ns = (!is_drained).then_some(now);
    }

    /// Records that the peer was pinged. Keeps the time of an earlier unanswered ping.
    pub(super) fn record_ping(&mut self, now: Nanos) {
        self.pinged_at_ns.get_or_insert(now);
    }

    /// Returns whether a ping to the peer is unanswered.
    pub(super) fn awaits_pong(&self) -> bool {
        self.pinged_at_ns.is_some()
    }

    /// Makes the next ping due after [`PING_RETRY_INTERVAL`].
    pub(super) fn postpone_ping(&mut self, now: Nanos, config: &TimerConfig) {
        let due_ns = now.saturating_add(PING_RETRY_INTERVAL);
        self.ping_interval_start_ns = due_ns.saturating_sub(config.ping_interval_ns);
    }

    /// Returns the deadlines of the running timers.
    pub(super) fn deadlines(
        &self,
        peer: Peer,
        config: &TimerConfig,
    ) -> impl Iterator<Item = Deadline> {
        let is_expected_to_send = !self.is_disconnected && !self.is_read_paused;
        let liveness = Some(self.liveness_deadline(peer, config));
        let message = self.message_start_ns.map(|started| Deadline {
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

    /// Returns the time of the next ping, or, while a ping is unanswered, the time of its timeout.
    fn liveness_deadline(&self, peer: Peer, config: &TimerConfig) -> Deadline {
        match self.pinged_at_ns {
            None => Deadline {
                at_ns: self.ping_interval_start_ns.saturating_add(config.ping_interval_ns),
                event: TimerEvent::PingDue(peer),
            },
            Some(pinged_at) => Deadline {
                at_ns: pinged_at.saturating_add(config.pong_timeout_ns),
                event: TimerEvent::PongTimeout(peer),
            },
        }
    }
}
