//! Timers of one socket: idle timeout, lifetime, pings, slow messages and stalled writes.

mod config;
mod peer;

pub use config::{TimerConfig, TimerEvent};

use crate::peer::Peer;
use config::Deadline;
use mintshelf_time::{as_float, from_float, Nanos};
use peer::PeerTimers;

/// Largest fraction of the maximum lifetime by which jitter shortens a socket's lifetime.
const MAX_LIFETIME_JITTER: f64 = 0.1;

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
    /// Creates the timers of a socket that opens now. `jitter`, from 0 to 1, shortens the lifetime
    /// by up to a tenth, so that sockets opened together do not close together.
    #[must_use]
    pub fn new(config: TimerConfig, now: Nanos, jitter: f64) -> Self {
        let max_lifetime = as_float(config.max_lifetime_ns);
        let shortened_by = from_float(max_lifetime * MAX_LIFETIME_JITTER * jitter.clamp(0.0, 1.0));
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

    /// Records that a peer sent bytes, and whether it has a message in progress afterwards.
    pub fn record_received(&mut self, peer: Peer, now: Nanos, is_within_message: bool) {
        self.peer_mut(peer).record_received(now, is_within_message);
    }

    /// Records that a peer completed a message.
    pub fn record_message(&mut self, peer: Peer, now: Nanos) {
        self.last_message_ns = now;
        self.peer_mut(peer).restart_message(now);
    }

    /// Records whether reading from a peer is paused, as while the other peer accepts no output.
    pub fn set_read_paused(&mut self, peer: Peer, is_paused: bool, now: Nanos) {
        self.peer_mut(peer).set_read_paused(is_paused, now);
    }

    /// Records that a peer has pending output.
    pub fn record_queued(&mut self, peer: Peer, now: Nanos) {
        self.peer_mut(peer).record_queued(now);
    }

    /// Records that a peer accepted output, and whether none is pending any more.
    pub fn record_written(&mut self, peer: Peer, now: Nanos, is_drained: bool) {
        self.peer_mut(peer).record_written(now, is_drained);
    }

    /// Records that a peer was pinged.
    pub fn record_ping(&mut self, peer: Peer, now: Nanos) {
        self.peer_mut(peer).record_ping(now);
    }

    /// Returns whether a ping to a peer is unanswered.
    pub(crate) fn awaits_pong(&self, peer: Peer) -> bool {
        self.peer(peer).awaits_pong()
    }

    /// Postpones a ping that can't be sent now by one second.
    pub(crate) fn postpone_ping(&mut self, peer: Peer, now: Nanos) {
        let config = self.config;
        self.peer_mut(peer).postpone_ping(now, &config);
    }

    /// Stops the lifetime timer after its event has been handled.
    pub(crate) fn stop_lifetime(&mut self) {
        self.lifetime_ends_ns = Nanos::MAX;
    }

    /// Stops all timers of a disconnected peer.
    pub fn stop_peer(&mut self, peer: Peer) {
        *self.peer_mut(peer) = PeerTimers::disconnected();
    }

    /// Starts the timers of a peer that replaces another, and the idle timeout.
    pub(crate) fn restart_peer(&mut self, peer: Peer, now: Nanos) {
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

    /// Returns the due event with the earliest deadline.
    #[must_use]
    pub fn due_event(&self, now: Nanos) -> Option<TimerEvent> {
        let due = self.deadlines().filter(|deadline| deadline.at_ns <= now);
        due.min_by_key(|deadline| deadline.at_ns).map(|deadline| deadline.event)
    }

    /// Returns the time at which the next event is due; `Nanos::MAX` if no event is.
    #[must_use]
    pub fn next_deadline(&self) -> Nanos {
        self.deadlines().map(|deadline| deadline.at_ns).min().unwrap_or(Nanos::MAX)
    }
}
