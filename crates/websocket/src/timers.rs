//! How long a socket may live, be idle, say nothing, or leave what it is sent unread.

use crate::frame::Peer;
use mintshelf_balancer::api::Nanos;

/// When a ping that found no place is due again.
const POSTPONED: Nanos = 1_000_000_000;

/// The bounds of a socket's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerConfig {
    /// Closed when no message has passed for so long.
    pub idle_timeout_ns: Nanos,
    /// Closed when so old.
    pub max_lifetime_ns: Nanos,
    /// An end that has said nothing for so long is pinged.
    pub ping_interval_ns: Nanos,
    /// An end that says nothing for so long after a ping is gone.
    pub pong_timeout_ns: Nanos,
    /// An end that takes nothing of what waits for it for so long is cut off.
    pub write_stall_timeout_ns: Nanos,
    /// A message that has begun must be whole within this.
    pub message_timeout_ns: Nanos,
    /// How long a close frame may go unanswered.
    pub close_timeout_ns: Nanos,
}

/// What a socket's time has come for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerEvent {
    /// No message has passed for long.
    Idle,
    /// It has lived long enough.
    Old,
    /// An end is to be pinged.
    Ping(Peer),
    /// An end has left a ping unanswered.
    Silent(Peer),
    /// An end takes nothing.
    Stalled(Peer),
    /// An end does not come to the end of its message.
    Dribble(Peer),
}

#[derive(Debug, Clone, Copy, Default)]
struct Watch {
    /// Bytes last came from it; as long as it is not read it is not expected to say anything.
    heard: Nanos,
    paused: bool,
    pinged: Option<Nanos>,
    /// Since when bytes wait for it and none go.
    blocked: Option<Nanos>,
    /// When its message began.
    message: Option<Nanos>,
    /// It has left, and nothing is expected of it.
    gone: bool,
}

/// The times of one socket.
#[derive(Debug, Clone)]
pub struct SocketTimers {
    set: TimerConfig,
    old_at: Nanos,
    active: Nanos,
    ends: [Watch; 2],
}

const ENDS: [Peer; 2] = [Peer::Client, Peer::Server];

impl SocketTimers {
    /// Of a socket that opens now. `part`, 0 to 1, shortens its life by up to a tenth: those
    /// that open together do not end together.
    pub fn new(set: TimerConfig, now: Nanos, part: f64) -> Self {
        let less = (set.max_lifetime_ns as f64 * 0.1 * part.clamp(0.0, 1.0)) as Nanos;
        let old_at = now.saturating_add(set.max_lifetime_ns - less);
        let watch = Watch { heard: now, ..Watch::default() };
        SocketTimers { set, old_at, active: now, ends: [watch; 2] }
    }

    /// What it was made of.
    pub fn set(&self) -> &TimerConfig {
        &self.set
    }

    fn of(&mut self, end: Peer) -> &mut Watch {
        &mut self.ends[end as usize]
    }

    /// Bytes came from an end; `message`: whether it is within a message now.
    pub fn heard(&mut self, end: Peer, now: Nanos, message: bool) {
        let watch = self.of(end);
        watch.heard = now;
        watch.pinged = None;
        match (message, watch.message) {
            (true, None) => watch.message = Some(now),
            (false, _) => watch.message = None,
            _ => {}
        }
    }

    /// A whole message passed.
    pub fn active(&mut self, end: Peer, now: Nanos) {
        self.active = now;
        // What comes now is another message.
        let watch = self.of(end);
        watch.message = watch.message.map(|_| now);
    }

    /// An end is read, or is not since the other takes nothing.
    pub fn paused(&mut self, end: Peer, paused: bool, now: Nanos) {
        let watch = self.of(end);
        if watch.paused && !paused {
            watch.heard = now;
            watch.pinged = None;
            watch.message = watch.message.map(|_| now);
        }
        watch.paused = paused;
    }

    /// Bytes wait for an end.
    pub fn waits(&mut self, end: Peer, now: Nanos) {
        self.of(end).blocked.get_or_insert(now);
    }

    /// An end took bytes; `all` of those that waited.
    pub fn took(&mut self, end: Peer, now: Nanos, all: bool) {
        self.of(end).blocked = (!all).then_some(now);
    }

    /// An end was pinged.
    pub fn pinged(&mut self, end: Peer, now: Nanos) {
        self.of(end).pinged.get_or_insert(now);
    }

    /// Whether an answer to a ping is awaited from an end.
    pub fn is_pinged(&self, end: Peer) -> bool {
        self.ends[end as usize].pinged.is_some()
    }

    /// There is no place for a ping now: it is due again a little later.
    pub fn postponed(&mut self, end: Peer, now: Nanos) {
        let again = now.saturating_add(POSTPONED);
        self.of(end).heard = again.saturating_sub(self.set.ping_interval_ns);
    }

    /// It has been told that it has lived long enough.
    pub fn ending(&mut self) {
        self.old_at = Nanos::MAX;
    }

    /// An end has left.
    pub fn gone(&mut self, end: Peer) {
        *self.of(end) = Watch { gone: true, ..Watch::default() };
    }

    /// Another server has taken the place of the one that left.
    pub fn renewed(&mut self, end: Peer, now: Nanos) {
        *self.of(end) = Watch { heard: now, ..Watch::default() };
        self.active = now;
    }

    fn dues(&self) -> impl Iterator<Item = (Nanos, TimerEvent)> + '_ {
        let set = &self.set;
        let whole = [
            (self.old_at, TimerEvent::Old),
            (self.active.saturating_add(set.idle_timeout_ns), TimerEvent::Idle),
        ];
        let each = ENDS.into_iter().flat_map(move |end| {
            let watch = &self.ends[end as usize];
            let expected = !watch.gone && !watch.paused;
            let silence = match watch.pinged {
                None => (watch.heard.saturating_add(set.ping_interval_ns), TimerEvent::Ping(end)),
                Some(at) => (at.saturating_add(set.pong_timeout_ns), TimerEvent::Silent(end)),
            };
            let dribble = watch
                .message
                .map(|at| (at.saturating_add(set.message_timeout_ns), TimerEvent::Dribble(end)));
            let stalled = watch.blocked.map(|at| {
                (at.saturating_add(set.write_stall_timeout_ns), TimerEvent::Stalled(end))
            });
            [Some(silence), dribble]
                .into_iter()
                .map(move |due| due.filter(|_| expected))
                .chain([stalled.filter(|_| !watch.gone)])
                .flatten()
        });
        whole.into_iter().chain(each)
    }

    /// What is due now, the longest overdue first.
    pub fn due(&self, now: Nanos) -> Option<TimerEvent> {
        let due = self.dues().filter(|(at, _)| *at <= now);
        due.min_by_key(|(at, _)| *at).map(|(_, due)| due)
    }

    /// When something is due next.
    pub fn next(&self) -> Nanos {
        self.dues().map(|(at, _)| at).min().unwrap_or(Nanos::MAX)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Nanos = 1_000_000_000;

    fn life() -> SocketTimers {
        let set = TimerConfig {
            idle_timeout_ns: 300 * S,
            max_lifetime_ns: 1000 * S,
            ping_interval_ns: 30 * S,
            pong_timeout_ns: 10 * S,
            write_stall_timeout_ns: 5 * S,
            message_timeout_ns: 60 * S,
            close_timeout_ns: 5 * S,
        };
        SocketTimers::new(set, 0, 0.5)
    }

    #[test]
    fn a_quiet_end_is_pinged_and_then_taken_for_gone() {
        let mut life = life();
        life.heard(Peer::Server, 20 * S, false);
        assert_eq!((life.next(), life.due(29 * S)), (30 * S, None));
        assert_eq!(life.due(30 * S), Some(TimerEvent::Ping(Peer::Client)));
        life.pinged(Peer::Client, 30 * S);
        life.pinged(Peer::Client, 35 * S);
        assert_eq!(life.due(39 * S), None);
        assert_eq!(life.due(40 * S), Some(TimerEvent::Silent(Peer::Client)));
        life.heard(Peer::Client, 39 * S, false);
        assert_eq!(life.due(40 * S), None);
        // One that is not read can't be heard.
        life.paused(Peer::Client, true, 40 * S);
        assert_eq!(life.due(48 * S), None);
        life.paused(Peer::Client, false, 90 * S);
        life.heard(Peer::Server, 90 * S, false);
        assert_eq!(life.due(119 * S), None);
        assert_eq!(life.due(120 * S), Some(TimerEvent::Ping(Peer::Client)));
        life.gone(Peer::Client);
        life.gone(Peer::Server);
        assert_eq!(life.next(), 300 * S);
    }

    #[test]
    fn idle_old_stalled_and_dribbling_sockets_come_due() {
        let mut life = life();
        let quiet = |life: &mut SocketTimers, now| {
            life.heard(Peer::Client, now, false);
            life.heard(Peer::Server, now, false);
        };
        quiet(&mut life, 299 * S);
        assert_eq!(life.due(300 * S), Some(TimerEvent::Idle));
        life.active(Peer::Server, 299 * S);
        assert_eq!(life.due(300 * S), None);
        life.waits(Peer::Client, 300 * S);
        life.waits(Peer::Client, 304 * S);
        assert_eq!(life.due(305 * S), Some(TimerEvent::Stalled(Peer::Client)));
        life.took(Peer::Client, 304 * S, false);
        assert_eq!(life.due(305 * S), None);
        life.took(Peer::Client, 306 * S, true);
        assert_eq!(life.due(328 * S), None);
        for at in 0..60 {
            quiet(&mut life, (310 + at) * S);
            life.heard(Peer::Client, (310 + at) * S, true);
        }
        assert_eq!(life.due(369 * S), None);
        quiet(&mut life, 369 * S);
        assert_eq!(life.due(371 * S), None, "it was whole in time");
        life.heard(Peer::Client, 371 * S, true);
        life.heard(Peer::Client, 430 * S, true);
        life.heard(Peer::Server, 430 * S, true);
        assert_eq!(life.due(431 * S), Some(TimerEvent::Dribble(Peer::Client)));
        // Between 0.9 and 1 of its longest life, as it was drawn.
        quiet(&mut life, 949 * S);
        life.active(Peer::Client, 949 * S);
        assert_eq!(life.due(950 * S), Some(TimerEvent::Old));
    }
}
