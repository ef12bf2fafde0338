//! Timeouts of a socket, and the events they cause.

use crate::peer::Peer;
use mintshelf_time::Nanos;

/// The timeouts of a socket, in nanoseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimerConfig {
    /// The socket is closed after this time without a message in either direction.
    pub idle_timeout_ns: Nanos,
    /// Maximum age at which the socket is closed; jitter shortens the maximum by up to a tenth.
    pub max_lifetime_ns: Nanos,
    /// A peer is pinged after sending nothing for this time.
    pub ping_interval_ns: Nanos,
    /// A peer is disconnected after sending nothing for this time after a ping.
    pub pong_timeout_ns: Nanos,
    /// A peer is disconnected after accepting none of its pending output for this time.
    pub write_stall_timeout_ns: Nanos,
    /// Maximum time from the start of a message to its end. The time starts anew when the proxy
    /// resumes reading from the sender after a pause.
    pub message_timeout_ns: Nanos,
    /// Maximum duration of the closing handshake, and of the wait for a message boundary before an
    /// eviction.
    pub close_timeout_ns: Nanos,
}

/// A timer that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimerEvent {
    /// There was no message in either direction for the idle timeout.
    IdleTimeout,
    /// The socket has reached the end of its lifetime.
    LifetimeExceeded,
    /// A peer must be pinged.
    PingDue(Peer),
    /// A peer has sent nothing since it was pinged.
    PongTimeout(Peer),
    /// A peer accepts none of its pending output.
    WriteStalled(Peer),
    /// A peer has not completed its message in time.
    MessageTimeout(Peer),
}

/// An event and the time at which it is due.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deadline {
    pub(super) at_ns: Nanos,
    pub(super) event: TimerEvent,
}
