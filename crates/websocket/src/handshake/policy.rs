//! Restrictions that a route places on handshakes.

/// A route's rules for the handshakes, subprotocols and extensions that it forwards to servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HandshakePolicy {
    /// Origins that may open sockets, in lower case; `None` allows all origins. Requests without an
    /// Origin header, as sent by clients other than browsers, are always accepted.
    pub allowed_origins: Option<Vec<String>>,
    /// Subprotocols that are offered to servers; `None` allows all subprotocols.
    pub allowed_subprotocols: Option<Vec<String>>,
    /// Whether a client's offer of compression is forwarded to servers.
    pub allow_compression: bool,
}
