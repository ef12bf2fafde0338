//! Which handshakes are forwarded.

/// Which handshakes a route forwards, and what of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HandshakePolicy {
    /// Origins that may open sockets, in lower case; all if absent. A client that is no
    /// browser sends none and is accepted.
    pub allowed_origins: Option<Vec<String>>,
    /// Subprotocols that are forwarded; all if absent.
    pub allowed_subprotocols: Option<Vec<String>>,
    /// Whether offers of compression are forwarded.
    pub allow_compression: bool,
}
