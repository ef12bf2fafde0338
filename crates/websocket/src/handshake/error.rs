//! Why a handshake fails.

/// Why a client's handshake is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum HandshakeError {
    /// A method other than GET, or a version of HTTP other than 1.1.
    Method,
    /// The key is missing, repeated, or not 16 bytes in base64.
    Key,
    /// A version other than 13.
    Version,
    /// An origin that the route does not allow.
    Origin,
    /// A malformed list of subprotocols.
    List,
}

impl HandshakeError {
    /// The text for the client.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            HandshakeError::Method => "a WebSocket is asked for with GET, HTTP/1.1",
            HandshakeError::Key => "Sec-WebSocket-Key is not one key of 16 bytes",
            HandshakeError::Version => "only WebSocket version 13 is spoken",
            HandshakeError::Origin => "its origin may open no sockets here",
            HandshakeError::List => "subprotocols or extensions can't be read",
        }
    }
}

/// Why a server's 101 is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeResponseError {
    /// It does not upgrade to WebSocket.
    #[error("the response does not upgrade to WebSocket")]
    Upgrade,
    /// Its accept value does not match the key.
    #[error("Sec-WebSocket-Accept does not match the key")]
    Accept,
    /// It selects a subprotocol that was not offered.
    #[error("the subprotocol was not offered")]
    Subprotocol,
    /// It selects an extension that was not offered.
    #[error("the extension was not offered")]
    Extension,
}
