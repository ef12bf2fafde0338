//! Errors of opening handshakes.

/// A violation of RFC 6455 or of the route's policy by a client's opening handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.reason())]
pub enum HandshakeError {
    /// The method is not GET, or the HTTP version is not 1.1.
    InvalidRequestLine,
    /// Sec-WebSocket-Key is missing, repeated, or not 16 bytes in base64.
    InvalidKey,
    /// The WebSocket version is not 13.
    UnsupportedVersion,
    /// The route does not allow the origin.
    ForbiddenOrigin,
    /// The list of subprotocols is malformed or has duplicates.
    InvalidSubprotocols,
}

impl HandshakeError {
    /// Returns the reason that the client is sent.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            HandshakeError::InvalidRequestLine => "a WebSocket is asked for with GET, HTTP/1.1",
            HandshakeError::InvalidKey => "Sec-WebSocket-Key is not one key of 16 bytes",
            HandshakeError::UnsupportedVersion => "only WebSocket version 13 is spoken",
            HandshakeError::ForbiddenOrigin => "its origin may open no sockets here",
            HandshakeError::InvalidSubprotocols => "subprotocols or extensions can't be read",
        }
    }
}

/// A fault in a server's 101 response to an opening handshake.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HandshakeResponseError {
    /// The response does not upgrade to WebSocket.
    #[error("the response does not upgrade to WebSocket")]
    MissingUpgrade,
    /// Sec-WebSocket-Accept does not match the key that was sent.
    #[error("Sec-WebSocket-Accept does not match the key")]
    AcceptMismatch,
    /// The server selected a subprotocol that was not offered, or several.
    #[error("the subprotocol was not offered")]
    UnofferedSubprotocol,
    /// The server selected an extension that was not offered, or several.
    #[error("the extension was not offered")]
    UnofferedExtension,
}
