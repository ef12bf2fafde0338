//! The state machine of one socket, from the 101 response to its end. Its input is received bytes
//! and times; its output is bytes for both peers, and actions for the caller.
//!
//! Frames are forwarded as they arrive. The proxy inserts its own frames only at frame boundaries,
//! and sends each peer at most one close frame.

mod closing;
mod first_message;
mod forwarding;
mod migration;
mod peer_state;
mod resume_state;
mod timeouts;
mod types;

pub use types::{
    ClosedBy, EvictionRequest, Resume, SessionAction, SessionConfig, SessionEnd, Traffic,
};

use crate::peer::Peer;
use crate::timers::SocketTimers;
use mintshelf_time::Nanos;
use peer_state::PeerState;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use resume_state::ResumeState;
use std::rc::Rc;

/// The phase of a socket, from its opening to its closing handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    /// The client and the server are connected, and their messages are forwarded.
    Open,
    /// The socket leaves its server once no message is in progress, or closes at the deadline.
    Evicting { deadline_ns: Nanos, request: EvictionRequest },
    /// The server is lost, and the socket waits for its migration slot.
    ServerLost { reason: String },
    /// The caller is connecting to another server.
    Migrating { reason: String },
    /// Close frames are pending or unanswered. At the deadline, the peers are disconnected.
    Closing { deadline_ns: Nanos },
}

/// The protocol state of one socket.
#[derive(Debug)]
pub struct Session {
    config: Rc<SessionConfig>,
    is_compressed: bool,
    timers: SocketTimers,
    client: PeerState,
    server: PeerState,
    state: State,
    action: Option<SessionAction>,
    end: Option<SessionEnd>,
    resume: ResumeState,
    /// Payload of the proxy's own pings, by which their pongs are recognized.
    ping_token: [u8; 8],
    random: Pcg32,
}

impl Session {
    /// Creates the session of a socket that opens now. `is_compressed` is true if compression was
    /// negotiated. `seed` determines the mask keys, the ping payload and the lifetime jitter.
    #[must_use]
    pub fn new(config: Rc<SessionConfig>, is_compressed: bool, seed: u64, now: Nanos) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut ping_token = [0; 8];
        random.fill_bytes(&mut ping_token);
        let jitter = f64::from(random.next_u32()) / f64::from(u32::MAX);
        let max_message_bytes = config.max_message_bytes;
        Session {
            timers: SocketTimers::new(config.timers, now, jitter),
            is_compressed,
            client: PeerState::new(Peer::Client, is_compressed, max_message_bytes),
            server: PeerState::new(Peer::Server, is_compressed, max_message_bytes),
            state: State::Open,
            action: None,
            end: None,
            resume: ResumeState::new(config.resume, is_compressed),
            config,
            ping_token,
            random,
        }
    }

    fn peer_state(&self, peer: Peer) -> &PeerState {
        match peer {
            Peer::Client => &self.client,
            Peer::Server => &self.server,
        }
    }

    fn peer_state_mut(&mut self, peer: Peer) -> &mut PeerState {
        match peer {
            Peer::Client => &mut self.client,
            Peer::Server => &mut self.server,
        }
    }

    /// Returns the bytes that wait to be written to a peer.
    #[must_use]
    pub fn pending_output(&self, peer: Peer) -> &[u8] {
        self.peer_state(peer).output.pending()
    }

    /// Returns the number of bytes buffered for or from both peers.
    pub fn buffered_bytes(&self) -> usize {
        [&self.client, &self.server].into_iter().map(PeerState::buffered_bytes).sum()
    }

    /// Returns the messages and bytes that a peer has sent.
    #[must_use]
    pub fn traffic(&self, peer: Peer) -> Traffic {
        let peer_state = self.peer_state(peer);
        Traffic {
            messages: peer_state.decoder.completed_messages(),
            bytes: peer_state.received_bytes,
        }
    }

    /// Returns whether the caller should read from a peer. Reading pauses while too much output for
    /// the other peer is pending, and while the socket leaves its server.
    #[must_use]
    pub fn wants_read(&self, peer: Peer) -> bool {
        let peer_state = self.peer_state(peer);
        if peer_state.is_disconnected || self.end().is_some() {
            return false;
        }
        let pending_bytes = self.pending_output(peer.other()).len();
        let has_buffer_space = pending_bytes < self.config.buffer_bytes;
        match &self.state {
            State::Open => has_buffer_space,
            State::Evicting { .. } => peer_state.unforwarded.is_empty() && has_buffer_space,
            State::ServerLost { .. } | State::Migrating { .. } => false,
            // Reading goes on until the close frame is answered.
            State::Closing { .. } => {
                !(peer_state.close_received && peer_state.close_sent) && has_buffer_space
            }
        }
    }

    /// Returns the time at which [`Session::handle_timers`] must be called; `Nanos::MAX` if no
    /// timer runs.
    #[must_use]
    pub fn next_deadline(&self) -> Nanos {
        match &self.state {
            State::Open => self.timers.next_deadline(),
            State::Evicting { deadline_ns, .. } => self.timers.next_deadline().min(*deadline_ns),
            State::Closing { deadline_ns } => *deadline_ns,
            State::ServerLost { .. } | State::Migrating { .. } => Nanos::MAX,
        }
    }

    /// Returns whether the socket is forwarding messages, and is not closing or leaving its server.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// Takes the pending action, which the caller must perform.
    pub fn take_action(&mut self) -> Option<SessionAction> {
        self.action.take()
    }

    /// Returns the closer of the socket and the close code; `None` while something remains to be
    /// sent or received.
    #[must_use]
    pub fn end(&self) -> Option<SessionEnd> {
        let is_finished = self.client.is_finished() && self.server.is_finished();
        self.end.filter(|_| is_finished)
    }

    /// Returns whether the closing handshake with a peer is complete, so that its connection can be
    /// closed gracefully.
    #[must_use]
    pub fn closed_cleanly(&self, peer: Peer) -> bool {
        let peer_state = self.peer_state(peer);
        peer_state.close_received && peer_state.close_sent && !peer_state.is_disconnected
    }

    /// Returns whether no message is in progress in either direction.
    #[must_use]
    pub fn is_between_messages(&self) -> bool {
        [&self.client, &self.server].into_iter().all(|peer_state| {
            peer_state.is_disconnected || peer_state.decoder.is_between_messages()
        })
    }

    fn next_mask_key(&mut self) -> [u8; 4] {
        self.random.next_u32().to_be_bytes()
    }
}
