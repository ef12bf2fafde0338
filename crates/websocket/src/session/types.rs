//! Configuration, requests and results of a session.

use crate::timers::TimerConfig;

/// The client's data that the proxy replays to the new server when a socket migrates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resume {
    /// The opening handshake alone.
    Handshake,
    /// The opening handshake, and then the client's first message.
    FirstMessage,
}

/// Configuration of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionConfig {
    /// Timeouts and maximum lifetime of the socket.
    pub timers: TimerConfig,
    /// Longest message payload, in bytes on the wire.
    pub max_message_bytes: u64,
    /// Pending output for one peer at which reading from the other one pauses, in bytes.
    pub buffer_bytes: usize,
    /// The client's data replayed when the socket migrates to another server. If `None`, the socket
    /// never migrates, and is closed instead.
    pub resume: Option<Resume>,
}

/// The party that closed a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClosedBy {
    /// The client closed the socket.
    Client,
    /// The server closed the socket.
    Server,
    /// The proxy closed the socket.
    Sidecar,
}

/// The closer of a socket and the close code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionEnd {
    /// The party that closed the socket.
    pub by: ClosedBy,
    /// The close code; [`crate::close_code::ABNORMAL_CLOSURE`] if the client's connection was lost.
    pub code: u16,
}

/// Traffic that one peer has sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of complete messages.
    pub messages: u64,
    /// The number of bytes, including frame headers.
    pub bytes: u64,
}

/// A request to move a socket away from a server that is still connected, or to close the socket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvictionRequest {
    /// The close code sent to the client if the socket is closed.
    pub close_code: u16,
    /// The close reason sent to the client if the socket is closed.
    pub reason: String,
    /// Whether the socket may migrate to another server instead.
    pub may_migrate: bool,
}

/// A step that the caller of a session must take besides reading and writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionAction {
    /// The server is lost: call [`Session::migrate_or_close`] at the socket's migration slot.
    ///
    /// [`Session::migrate_or_close`]: super::Session::migrate_or_close
    ServerLost,
    /// Connect to another server, then call [`Session::complete_migration`] or
    /// [`Session::fail_migration`].
    ///
    /// [`Session::complete_migration`]: super::Session::complete_migration
    /// [`Session::fail_migration`]: super::Session::fail_migration
    Migrate,
}
