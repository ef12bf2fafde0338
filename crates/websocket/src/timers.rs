//! Timeouts of one socket: idle time, lifetime, unanswered pings, slow messages, stalled writes.

use crate::peer::Peer;
use mintshelf_time::{Nanos, SECOND};

/// After this a ping that could not be sent is due again.
const PING_RETRY_NS: Nanos = SECOND;
/// The greatest part of the lifetime by which that of a single socket may be shorter.
const LIFETIME_JITTER: f64 = 0.1;

/// The timeouts of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerConfig {
    /// The socket is closed when no message has passed for so long.
    pub idle_timeout_ns: Nanos,
    /// The socket is closed when it is so old.
    pub max_lifetime_ns: Nanos,
    /// A peer that has sent nothing for so long is pinged.
    pub ping_interval_ns: Nanos,
    /// A peer that sends nothing for so long after a ping is disconnected.
    pub pong_timeout_ns: Nanos,
    /// A peer that takes none of its pending output for so long is disconnected.
    pub write_stall_timeout_ns: Nanos,
    /// A message has to be complete within this.
    pub message_timeout_ns: Nanos,
    /// How long a close frame may remain unanswered.
    pub close_timeout_ns: Nanos,
}

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerEvent {
    /// No message has passed for the idle timeout.
    IdleTimeout,
    /// The socket has reached its lifetime.
    LifetimeExceeded,
    /// A peer is to be pinged.
    PingDue(Peer),
    /// A peer has not answered a ping.
    PongTimeout(Peer),
    /// A peer takes none of its pending output.
    WriteStalled(Peer),
    /// A peer does not complete its message.
    MessageTimeout(Peer),
}

#[derive(Debug, Clone, Copy)]
struct Deadline {
    at_ns: Nanos,
    event: TimerEvent,
}

/// The times of one peer.
#[derive(Debug, Clone, Copy, Default)]
struct PeerTimers {
    /// When it last sent bytes, or reading from it was resumed.
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
    fn connected_at(now: Nanos) -> Self {
        PeerTimers { last_received_ns: now, ..PeerTimers::default() }
    }

    fn deadlines(&self, peer: Peer, config: &TimerConfig) -> impl Iterator<Item = Deadline> {
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

/// The timers of one socket.
#[derive(Debug, Clone)]
pub struct SocketTimers {
    config: TimerConfig,
    lifetime_ends_ns: Nanos,
    last_message_ns: Nanos,
    client: PeerTimers,
    server: PeerTimers,
}

impl SocketTimers {
    /// Timers of a socket that opens now. `jitter`, from 0 to 1, shortens its lifetime by up to
    /// a tenth, so that sockets that open together do not close together.
    pub fn new(config: TimerConfig, now: Nanos, jitter: f64) -> Self {
        let shortened_by =
            (config.max_lifetime_ns as f64 * LIFETIME_JITTER * jitter.clamp(0.0, 1.0)) as Nanos;
        SocketTimers {
            config,
            lifetime_ends_ns: now.saturating_add(config.max_lifetime_ns - shortened_by),
            last_message_ns: now,
            client: PeerTimers::connected_at(now),
            server: PeerTimers::connected_at(now),
        }
    }

    fn peer(&self, peer: Peer) -> &PeerTimers {
        match peer {
            Peer::Client => &self.client,
            Peer::Server => &self.server,
        }
    }

    fn peer_mut(&mut self, peer: Peer) -> &mut PeerTimers {
        match peer {
            Peer::Client => &mut self.client,
            Peer::Server => &mut self.server,
        }
    }

    /// Records that a peer sent bytes, and whether it is within a message now.
    pub fn record_received(&mut self, peer: Peer, now: Nanos, is_within_message: bool) {
        let timers = self.peer_mut(peer);
        timers.last_received_ns = now;
        timers.pinged_at_ns = None;
        if is_within_message {
            timers.message_started_ns.get_or_insert(now);
        } else {
            timers.message_started_ns = None;
        }
    }

    /// Records that a peer completed a message.
    pub fn record_message(&mut self, peer: Peer, now: Nanos) {
        self.last_message_ns = now;
        self.restart_message(peer, now);
    }

    /// Records whether a peer is read, or not because the other takes no output.
    pub fn set_read_paused(&mut self, peer: Peer, is_paused: bool, now: Nanos) {
        let timers = self.peer_mut(peer);
        let has_resumed = timers.is_read_paused && !is_paused;
        timers.is_read_paused = is_paused;
        if has_resumed {
            timers.last_received_ns = now;
            timers.pinged_at_ns = None;
            self.restart_message(peer, now);
        }
    }

    /// Measures the message that a peer is within, if any, from now on.
    fn restart_message(&mut self, peer: Peer, now: Nanos) {
        let timers = self.peer_mut(peer);
        timers.message_started_ns = timers.message_started_ns.map(|_| now);
    }

    /// Records that a peer has pending output.
    pub fn record_queued(&mut self, peer: Peer, now: Nanos) {
        self.peer_mut(peer).output_blocked_since_ns.get_or_insert(now);
    }

    /// Records that a peer took output, and whether that was all of it.
    pub fn record_written(&mut self, peer: Peer, now: Nanos, is_drained: bool) {
        self.peer_mut(peer).output_blocked_since_ns = (!is_drained).then_some(now);
    }

    /// Records that a peer was pinged.
    pub fn record_ping(&mut self, peer: Peer, now: Nanos) {
        self.peer_mut(peer).pinged_at_ns.get_or_insert(now);
    }

    /// Whether a peer has a ping to answer.
    pub fn awaits_pong(&self, peer: Peer) -> bool {
        self.peer(peer).pinged_at_ns.is_some()
    }

    /// Makes a ping that can't be sent now due again a second later.
    pub fn postpone_ping(&mut self, peer: Peer, now: Nanos) {
        let due_ns = now.saturating_add(PING_RETRY_NS);
        self.peer_mut(peer).last_received_ns = due_ns.saturating_sub(self.config.ping_interval_ns);
    }

    /// Stops the timer of the lifetime, once its event has been handled.
    pub fn stop_lifetime(&mut self) {
        self.lifetime_ends_ns = Nanos::MAX;
    }

    /// Stops all timers of a peer that has disconnected.
    pub fn stop_peer(&mut self, peer: Peer) {
        *self.peer_mut(peer) = PeerTimers { is_disconnected: true, ..PeerTimers::default() };
    }

    /// Starts the timers of a peer that has taken the place of a disconnected one.
    pub fn restart_peer(&mut self, peer: Peer, now: Nanos) {
        *self.peer_mut(peer) = PeerTimers::connected_at(now);
        self.last_message_ns = now;
    }

    fn deadlines(&self) -> impl Iterator<Item = Deadline> + '_ {
        let lifetime =
            Deadline { at_ns: self.lifetime_ends_ns, event: TimerEvent::LifetimeExceeded };
        let idle = Deadline {
            at_ns: self.last_message_ns.saturating_add(self.config.idle_timeout_ns),
            event: TimerEvent::IdleTimeout,
        };
        [lifetime, idle]
            .into_iter()
            .chain(self.client.deadlines(Peer::Client, &self.config))
            .chain(self.server.deadlines(Peer::Server, &self.config))
    }

    /// The event that is due now; of several, that with the earliest deadline.
    pub fn due_event(&self, now: Nanos) -> Option<TimerEvent> {
        let due = self.deadlines().filter(|deadline| deadline.at_ns <= now);
        due.min_by_key(|deadline| deadline.at_ns).map(|deadline| deadline.event)
    }

    /// When the next event is due.
    pub fn next_deadline(&self) -> Nanos {
        self.deadlines().map(|deadline| deadline.at_ns).min().unwrap_or(Nanos::MAX)
    }
}
