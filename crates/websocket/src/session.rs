//! One socket from its 101 to its end: bytes and times go in, bytes for both ends and decisions
//! come out. Whatever happens, a close frame goes between two frames or not at all, and each end
//! is told once.

use crate::close::{self, Close};
use crate::frame::{control_frame, Control, Fate, FrameDecoder, Peer, Violation};
use crate::timers::{SocketTimers, TimerConfig, TimerEvent};
use mintshelf_balancer::api::Nanos;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::rc::Rc;

/// A queue that was emptied keeps no more memory than this.
const KEEP: usize = 1 << 10;
/// Longest first message that is kept to be said again at another server.
pub const FIRST_MAX: usize = 16 << 10;

/// What has to be said again at another server for a socket to go on there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resume {
    /// The handshake.
    Handshake,
    /// The handshake, and then what the client said first.
    FirstMessage,
}

/// What a socket is held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionConfig {
    /// Its times.
    pub timers: TimerConfig,
    /// Longest message, in bytes as it passes.
    pub max_message_bytes: u64,
    /// Bytes that may wait for one end before the other is no longer read.
    pub buffer_bytes: usize,
    /// Whether it may go on at another server.
    pub resume: Option<Resume>,
}

/// Who ended a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosedBy {
    /// The client.
    Client,
    /// The server.
    Server,
    /// This side.
    Sidecar,
}

/// What has come to an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionEnd {
    /// Who ended it.
    pub by: ClosedBy,
    /// With which code; 1006 if it broke.
    pub code: u16,
}

/// What one end has sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Complete messages.
    pub messages: u64,
    /// Bytes, frame heads included.
    pub bytes: u64,
}

/// Why and how a socket is to leave a server that is still there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvictionRequest {
    /// What its client is told if it is closed.
    pub close_code: u16,
    /// The same in words.
    pub reason: String,
    /// Whether it may go on at another server instead.
    pub may_migrate: bool,
}

/// What is to be done beside reading and writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionAction {
    /// The server has gone: [`Session::migrate_or_close`] is owed when the socket's turn to leave has come.
    ServerLost,
    /// It is to be opened at another server: [`Session::complete_migration`] or [`Session::fail_migration`] is owed.
    Migrate,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Open,
    /// To leave its server as soon as no message is under way, at the latest then.
    Leaving {
        by: Nanos,
        leave: EvictionRequest,
    },
    /// The server has gone, and its turn has not come.
    Lost {
        reason: String,
    },
    /// Another server is asked.
    Moving {
        reason: String,
    },
    /// Close frames are on their way, until then at the latest.
    Closing {
        by: Nanos,
    },
}

/// What waits for one end, and what passed between it and this side.
#[derive(Debug)]
struct Side {
    /// Follows what it sends.
    sends: FrameDecoder,
    /// Read and not yet passed on, since the other end changes.
    rest: Vec<u8>,
    out: Vec<u8>,
    at: usize,
    /// It sent a close frame.
    said: bool,
    /// It was sent one.
    told: bool,
    /// Nothing more passes between it and this side.
    gone: bool,
    bytes: u64,
}

impl Side {
    fn new(end: Peer, deflate: bool, longest: u64) -> Self {
        Side {
            sends: FrameDecoder::new(end, deflate, longest),
            rest: Vec::new(),
            out: Vec::new(),
            at: 0,
            said: false,
            told: false,
            gone: false,
            bytes: 0,
        }
    }

    fn waiting(&self) -> &[u8] {
        &self.out[self.at..]
    }

    fn done(&self) -> bool {
        self.gone || self.said && self.told && self.waiting().is_empty()
    }

    fn leave(&mut self) {
        self.gone = true;
        (self.out, self.rest, self.at) = (Vec::new(), Vec::new(), 0);
    }
}

/// A client's first message.
#[derive(Debug)]
struct First {
    follower: FrameDecoder,
    bytes: Vec<u8>,
}

/// A socket.
#[derive(Debug)]
pub struct Session {
    set: Rc<SessionConfig>,
    deflate: bool,
    life: SocketTimers,
    sides: [Side; 2],
    state: State,
    act: Option<SessionAction>,
    over: Option<SessionEnd>,
    /// Follows what was written to the server: what it got ends with a message, or not.
    written: Option<FrameDecoder>,
    /// What the client said first, where that is to be said again.
    first: Option<First>,
    token: [u8; 8],
    random: Pcg32,
}

impl Session {
    /// A socket that opens now; `deflate`: its ends agreed on compression; `seed` for masks.
    pub fn new(set: Rc<SessionConfig>, deflate: bool, seed: u64, now: Nanos) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut token = [0; 8];
        random.fill_bytes(&mut token);
        let part = f64::from(random.next_u32()) / f64::from(u32::MAX);
        let longest = set.max_message_bytes;
        Session {
            life: SocketTimers::new(set.timers, now, part),
            deflate,
            sides: [Peer::Client, Peer::Server].map(|end| Side::new(end, deflate, longest)),
            state: State::Open,
            act: None,
            over: None,
            written: set.resume.map(|_| FrameDecoder::new(Peer::Client, deflate, u64::MAX)),
            first: (set.resume == Some(Resume::FirstMessage)).then(|| First {
                follower: FrameDecoder::new(Peer::Client, deflate, u64::MAX),
                bytes: Vec::new(),
            }),
            set,
            token,
            random,
        }
    }

    fn side(&self, end: Peer) -> &Side {
        &self.sides[end as usize]
    }

    fn side_mut(&mut self, end: Peer) -> &mut Side {
        &mut self.sides[end as usize]
    }

    /// What waits to be written to an end.
    pub fn pending_output(&self, end: Peer) -> &[u8] {
        self.side(end).waiting()
    }

    /// Bytes that are held for both ends.
    pub fn buffered_bytes(&self) -> usize {
        self.sides.iter().map(|side| side.waiting().len() + side.rest.len()).sum()
    }

    /// Messages and bytes that an end has sent.
    pub fn traffic(&self, end: Peer) -> Traffic {
        Traffic { messages: self.side(end).sends.messages(), bytes: self.side(end).bytes }
    }

    /// Whether an end is to be read now: not while the other takes nothing.
    pub fn wants_read(&self, end: Peer) -> bool {
        let (side, other) = (self.side(end), self.side(end.other()));
        if side.gone || self.end().is_some() {
            return false;
        }
        match &self.state {
            State::Open => other.waiting().len() < self.set.buffer_bytes,
            State::Leaving { .. } => {
                side.rest.is_empty() && other.waiting().len() < self.set.buffer_bytes
            }
            State::Lost { .. } | State::Moving { .. } => false,
            // What an end says to its close frame is awaited.
            State::Closing { .. } => {
                !(side.said && side.told) && other.waiting().len() < self.set.buffer_bytes
            }
        }
    }

    /// When [`Session::handle_timers`] is due.
    pub fn next_deadline(&self) -> Nanos {
        match &self.state {
            State::Open => self.life.next(),
            State::Leaving { by, .. } => self.life.next().min(*by),
            State::Closing { by } => *by,
            State::Lost { .. } | State::Moving { .. } => Nanos::MAX,
        }
    }

    /// Whether messages pass, and it is not about to leave its server.
    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    /// What is to be done, once.
    pub fn take_action(&mut self) -> Option<SessionAction> {
        self.act.take()
    }

    /// How it ended, once nothing more is to pass.
    pub fn end(&self) -> Option<SessionEnd> {
        let done = self.sides.iter().all(Side::done);
        self.over.filter(|_| done)
    }

    /// Whether an end has had and given its close frame: its connection can end quietly.
    pub fn closed_cleanly(&self, end: Peer) -> bool {
        let side = self.side(end);
        side.said && side.told && !side.gone
    }

    fn key(&mut self) -> [u8; 4] {
        self.random.next_u32().to_be_bytes()
    }

    /// Bytes came from an end.
    pub fn receive(&mut self, end: Peer, bytes: &[u8], now: Nanos) {
        if self.side(end).gone || self.end().is_some() {
            return;
        }
        self.side_mut(end).bytes += bytes.len() as u64;
        self.take(end, bytes, now);
        if let State::Leaving { .. } = self.state {
            self.look_for_the_place(now);
        }
        let (client, server) = (self.wants_read(Peer::Client), self.wants_read(Peer::Server));
        self.life.paused(Peer::Client, !client, now);
        self.life.paused(Peer::Server, !server, now);
    }

    fn take(&mut self, end: Peer, bytes: &[u8], now: Nanos) {
        let leaving = matches!(self.state, State::Leaving { .. });
        let discards = matches!(self.state, State::Closing { .. })
            && (self.side(end.other()).told || self.side(end.other()).gone);
        let [client, server] = &mut self.sides;
        let (side, other) = match end {
            Peer::Client => (client, server),
            Peer::Server => (server, client),
        };
        if side.said {
            // Nothing counts behind a close frame (RFC 6455 5.5.1).
            return;
        }
        let before = other.out.len();
        let messages = side.sends.messages();
        let (mut code, token) = (None, self.token);
        let told = other.told;
        let see = |control: Control<'_>| match control {
            Control::Pong(payload) if payload == token => Fate::Swallow,
            Control::Close(said) => {
                code.get_or_insert(said.code);
                // An answer to a close frame that came from here ends here.
                if told {
                    Fate::Swallow
                } else {
                    Fate::Pass
                }
            }
            _ => Fate::Pass,
        };
        let mut dropped = Vec::new();
        let out = if discards { &mut dropped } else { &mut other.out };
        let followed = match leaving {
            true => side.sends.follow_message(bytes, out, see),
            false => side.sends.follow(bytes, out, see).map(|()| bytes.len()),
        };
        let within = !side.sends.between_messages();
        let passed = side.sends.messages() > messages;
        self.life.heard(end, now, within);
        if passed {
            self.life.active(end, now);
        }
        let grown = other.out.len() > before;
        if end == Peer::Client && grown {
            self.keep_first(before);
        }
        if grown {
            self.life.waits(end.other(), now);
        }
        match followed {
            Ok(count) if count < bytes.len() => {
                self.side_mut(end).rest.extend_from_slice(&bytes[count..]);
            }
            Ok(_) => {}
            Err(violation) => return self.violated(end, violation, now),
        }
        if let Some(code) = code {
            self.side_mut(end).said = true;
            if !told {
                self.side_mut(end.other()).told = true;
                let by = if end == Peer::Client { ClosedBy::Client } else { ClosedBy::Server };
                self.ends(by, code, now);
            }
        }
    }

    /// Keeps what the client said first, from where the queue to the server had `before` bytes.
    fn keep_first(&mut self, before: usize) {
        let Some(first) = &mut self.first else { return };
        let bytes = &self.sides[Peer::Server as usize].out[before..];
        let followed = first.follower.follow_first(bytes, &mut first.bytes);
        if followed.is_err() || first.bytes.len() > FIRST_MAX {
            // Too long to be kept: such a socket is closed, not moved.
            self.first = None;
            self.written = None;
        }
    }

    /// An end broke the protocol: it is told which way, the other that it is over.
    fn violated(&mut self, end: Peer, violation: Violation, now: Nanos) {
        let reason = violation.reason();
        let (by, other) = match end {
            Peer::Client => (ClosedBy::Client, Close { code: close::GOING_AWAY, reason: "" }),
            // 1014 is what a gateway says of a bad answer, but clients take it for a violation.
            Peer::Server => (ClosedBy::Server, Close { code: close::UNEXPECTED, reason }),
        };
        // Nothing of it can be followed any more, so its answer to a close frame can't be told.
        self.side_mut(end).said = true;
        self.tell(end, Close { code: violation.code(), reason });
        self.tell(end.other(), other);
        self.ends(by, violation.code(), now);
    }

    /// Sends an end a close frame, if it was sent none; between two frames, else it is cut off.
    fn tell(&mut self, end: Peer, close: Close<'_>) {
        let key = self.key();
        let between = self.side(end.other()).sends.between_frames();
        let side = self.side_mut(end);
        if side.told || side.gone {
            return;
        }
        if between {
            close.write(end.other(), key, &mut side.out);
            side.told = true;
        } else {
            side.leave();
        }
    }

    /// It ends: what is owed to its ends has been queued.
    fn ends(&mut self, by: ClosedBy, code: u16, now: Nanos) {
        self.over.get_or_insert(SessionEnd { by, code });
        if !matches!(self.state, State::Closing { .. }) {
            self.state =
                State::Closing { by: now.saturating_add(self.set.timers.close_timeout_ns) };
        }
    }

    /// This side closes it.
    fn close(&mut self, code: u16, reason: &str, now: Nanos) {
        self.tell(Peer::Client, Close { code, reason });
        self.tell(Peer::Server, Close { code: close::GOING_AWAY, reason: "" });
        self.ends(ClosedBy::Sidecar, code, now);
    }

    /// An end has ended its sending, or its connection broke.
    pub fn peer_disconnected(&mut self, end: Peer, now: Nanos) {
        if self.side(end).gone {
            return;
        }
        let closed = self.side(end).said || self.side(end).told;
        self.life.gone(end);
        if closed || self.over.is_some() {
            self.side_mut(end).leave();
            // The other was told, or is told now.
            self.tell(end.other(), Close { code: close::GOING_AWAY, reason: "" });
            self.ends(ClosedBy::Sidecar, close::GOING_AWAY, now);
            return;
        }
        match end {
            Peer::Client => {
                self.side_mut(end).leave();
                self.tell(
                    Peer::Server,
                    Close { code: close::GOING_AWAY, reason: "its client left" },
                );
                self.ends(ClosedBy::Client, close::ABNORMAL, now);
            }
            Peer::Server => self.lost("its server has gone", now),
        }
    }

    /// The server is no more: the socket waits for its turn to leave.
    fn lost(&mut self, reason: &str, now: Nanos) {
        match &self.state {
            State::Open | State::Leaving { .. } => {}
            State::Lost { .. } => return,
            // The one that it was to leave; nothing changes.
            State::Moving { .. } | State::Closing { .. } => return,
        }
        self.life.gone(Peer::Server);
        self.life.paused(Peer::Client, true, now);
        // What waits for it can still go to another.
        self.sides[Peer::Server as usize].gone = true;
        self.state = State::Lost { reason: reason.to_string() };
        self.act = Some(SessionAction::ServerLost);
    }

    /// The server is to be left, which is still there: drained, removed, or the sidecar ends.
    /// Happens between two messages where such a place comes in time.
    pub fn evict(&mut self, leave: EvictionRequest, now: Nanos) {
        if self.state == State::Open {
            let by = now.saturating_add(self.set.timers.close_timeout_ns);
            self.state = State::Leaving { by, leave };
            self.look_for_the_place(now);
        }
    }

    /// Whether no message is under way either way.
    pub fn is_between_messages(&self) -> bool {
        self.sides.iter().all(|side| side.gone || side.sends.between_messages())
    }

    /// A socket that is to leave looks whether it can now.
    fn look_for_the_place(&mut self, now: Nanos) {
        let State::Leaving { by, leave } = &self.state else { return };
        let (due, leave) = (*by <= now, leave.clone());
        let between = self.is_between_messages();
        let moves = leave.may_migrate && self.written.is_some();
        let flushed = self.side(Peer::Server).waiting().is_empty();
        if moves && between && flushed && self.can_move() {
            self.state = State::Moving { reason: leave.reason };
            self.act = Some(SessionAction::Migrate);
        } else if due || between && !moves {
            self.close(leave.close_code, &leave.reason, now);
        }
    }

    /// Whether another server could go on with it: the client sees whole messages alone, and so
    /// did the old server.
    fn can_move(&self) -> bool {
        let written = self.written.as_ref().is_some_and(FrameDecoder::at_rest);
        written && self.side(Peer::Server).sends.between_messages() && self.over.is_none()
    }

    /// The turn of a socket that lost its server has come.
    pub fn migrate_or_close(&mut self, advice: u64, now: Nanos) {
        let State::Lost { reason } = &self.state else { return };
        let reason = reason.clone();
        if self.can_move() {
            self.state = State::Moving { reason };
            self.act = Some(SessionAction::Migrate);
        } else {
            self.close(close::RESTART, &close::reason_with_retry(&reason, advice), now);
        }
    }

    /// Another server has taken it. Back comes what the old one is to be sent, if it is there.
    pub fn complete_migration(&mut self, now: Nanos) -> Vec<u8> {
        let mut farewell = Vec::new();
        let State::Moving { .. } = self.state else { return farewell };
        let key = self.key();
        let old = self.side(Peer::Server);
        if !old.gone && !old.told {
            let goodbye = Close { code: close::GOING_AWAY, reason: "" };
            goodbye.write(Peer::Client, key, &mut farewell);
        }
        // What the old server said and nobody has read is gone with it; what waited for it is
        // not. The first message may be among that.
        let heard = self.written.as_ref().is_some_and(|written| written.messages() > 0);
        let mut new = Side::new(Peer::Server, self.deflate, self.set.max_message_bytes);
        if let Some(first) = self.first.as_ref().filter(|_| heard) {
            new.out = first.bytes.clone();
        }
        let old = std::mem::replace(self.side_mut(Peer::Server), new);
        self.side_mut(Peer::Server).out.extend_from_slice(&old.out[old.at..]);
        self.side_mut(Peer::Server).bytes = old.bytes;
        self.written =
            self.set.resume.map(|_| FrameDecoder::new(Peer::Client, self.deflate, u64::MAX));
        self.state = State::Open;
        self.life.renewed(Peer::Server, now);
        self.life.paused(Peer::Client, false, now);
        if !self.pending_output(Peer::Server).is_empty() {
            self.life.waits(Peer::Server, now);
        }
        for end in [Peer::Client, Peer::Server] {
            let rest = std::mem::take(&mut self.side_mut(end).rest);
            if !rest.is_empty() {
                self.take(end, &rest, now);
            }
        }
        farewell
    }

    /// No other server has taken it: its client is told when to come back.
    pub fn fail_migration(&mut self, advice: u64, now: Nanos) {
        if let State::Moving { reason } = &self.state {
            let reason = close::reason_with_retry(reason, advice);
            self.close(close::RESTART, &reason, now);
        }
    }

    /// An end took so many bytes.
    pub fn record_written(&mut self, end: Peer, count: usize, now: Nanos) {
        let [_, server] = &self.sides;
        if let (Peer::Server, Some(written)) = (end, &mut self.written) {
            let mut nowhere = Vec::new();
            let bytes = &server.out[server.at..(server.at + count).min(server.out.len())];
            if written.follow(bytes, &mut nowhere, |_| Fate::Swallow).is_err() {
                self.written = None;
            }
        }
        let side = self.side_mut(end);
        side.at = (side.at + count).min(side.out.len());
        let all = side.at == side.out.len();
        if all {
            side.out.clear();
            side.at = 0;
            if side.out.capacity() > KEEP {
                side.out = Vec::new();
            }
        }
        self.life.took(end, now, all);
        self.life.paused(end.other(), !self.wants_read(end.other()), now);
        self.look_for_the_place(now);
    }

    /// Looks what is due.
    pub fn handle_timers(&mut self, now: Nanos) {
        if let State::Closing { by } = self.state {
            if by <= now {
                self.sides.iter_mut().filter(|side| !side.done()).for_each(Side::leave);
            }
            return;
        }
        self.look_for_the_place(now);
        while matches!(self.state, State::Open | State::Leaving { .. }) {
            let Some(due) = self.life.due(now) else { return };
            self.act_on(due, now);
        }
    }

    fn act_on(&mut self, due: TimerEvent, now: Nanos) {
        match due {
            TimerEvent::Idle => {
                self.close(close::GOING_AWAY, "no message has passed for long", now)
            }
            TimerEvent::Old => {
                self.life.ending();
                let (code, reason) = (close::GOING_AWAY, "it has lived long enough".into());
                self.evict(EvictionRequest { close_code: code, reason, may_migrate: false }, now);
            }
            TimerEvent::Ping(end) => self.ping(end, now),
            TimerEvent::Silent(Peer::Client) | TimerEvent::Stalled(Peer::Client) => {
                self.side_mut(Peer::Client).leave();
                self.life.gone(Peer::Client);
                let reason = match due {
                    TimerEvent::Silent(_) => "its client is silent",
                    _ => "its client reads nothing",
                };
                self.tell(Peer::Server, Close { code: close::GOING_AWAY, reason });
                self.ends(ClosedBy::Sidecar, close::ABNORMAL, now);
            }
            TimerEvent::Silent(Peer::Server) => self.lost("its server is silent", now),
            TimerEvent::Stalled(Peer::Server) => self.lost("its server reads nothing", now),
            TimerEvent::Dribble(Peer::Client) => {
                let reason = "a message took too long";
                self.tell(Peer::Client, Close { code: close::POLICY, reason });
                self.tell(Peer::Server, Close { code: close::GOING_AWAY, reason });
                self.ends(ClosedBy::Sidecar, close::POLICY, now);
            }
            TimerEvent::Dribble(Peer::Server) => {
                self.lost("its server does not end its message", now)
            }
        }
    }

    /// Pings an end. Within a frame of the other's there is no place for that: then whether the
    /// end takes its bytes is what tells.
    fn ping(&mut self, end: Peer, now: Nanos) {
        if !self.side(end.other()).sends.between_frames() || self.side(end).told {
            return self.life.postponed(end, now);
        }
        let (key, token) = (self.key(), self.token);
        control_frame(end.other(), 9, &token, key, &mut self.side_mut(end).out);
        self.life.pinged(end, now);
        self.life.waits(end, now);
    }

    /// Something makes its server doubtful: it is asked at once, not when its time comes.
    pub fn probe_server(&mut self, now: Nanos) {
        if self.state == State::Open && !self.life.is_pinged(Peer::Server) {
            self.ping(Peer::Server, now);
        }
    }
}
