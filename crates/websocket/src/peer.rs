//! The two ends of a socket.

/// One end of a socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peer {
    /// The client, which masks its frames (RFC 6455 5.3).
    Client,
    /// The server, which does not mask its frames.
    Server,
}

impl Peer {
    /// Returns the opposite peer: the server for the client, the client for the server.
    #[must_use]
    pub fn other(self) -> Peer {
        match self {
            Peer::Client => Peer::Server,
            Peer::Server => Peer::Client,
        }
    }
}
