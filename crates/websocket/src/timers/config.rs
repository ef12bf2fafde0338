//! The timeouts of a socket and the events that they lead to.

use crate::peer::Peer;
use mintshelf_time::Nanos;

/// The timeouts of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerConfig {
    /// The socket is closed when no message has passed for this time.
    pub idle_timeout_ns: Nanos,
    /// The socket is closed at this age at the latest.
    pub max_lifetime_ns: Nanos,
    /// A peer that has sent nothing for this time is pinged.
    pub ping_interval_ns: Nanos,
    /// A peer that sends nothing for this time after a ping is disconnected.
    pub pong_timeout_ns: Nanos,
    /// A peer that takes none of its pending output for this time is disconnected.
    pub write_stall_timeout_ns: Nanos,
    /// A message has to be complete within this time.
    pub message_timeout_ns: Nanos,
    /// How long a close frame may remain unanswered.
    pub close_timeout_ns: Nanos,
}

/// A timer that is due.
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

/// When an event is due.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadline {
    pub(super) at_ns: Nanos,
    pub(super) event: TimerEvent,
}
