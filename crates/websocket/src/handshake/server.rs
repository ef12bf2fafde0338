//! Verifies a server's response to an opening handshake.

use super::error::HandshakeResponseError;
use super::fields::{is_deflate, is_upgrade_request, list_elements, single_value};
use http::header::{self, HeaderMap};

/// A handshake that was sent to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandshakeRequest {
    /// The Sec-WebSocket-Accept value that the server must return.
    pub(super) accept: String,
    /// The subprotocols offered to the server.
    pub(super) subprotocols: Vec<String>,
    pub(super) offers_compression: bool,
}

/// The subprotocol and extension that a handshake negotiated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NegotiatedTerms {
    /// The subprotocol that the server selected; `None` if the server selected none.
    pub subprotocol: Option<String>,
    /// The extension that the server selected, which is permessage-deflate, with its parameters;
    /// `None` if the server selected none.
    pub extension: Option<String>,
}

impl HandshakeRequest {
    /// Verifies the headers of a server's 101 response (RFC 6455 4.1).
    ///
    /// # Errors
    ///
    /// The first header field that does not match this request.
    pub fn verify_response(
        &self,
        headers: &HeaderMap,
    ) -> Result<NegotiatedTerms, HandshakeResponseError> {
        if !is_upgrade_request(headers) {
            return Err(HandshakeResponseError::MissingUpgrade);
        }
        self.verify_accept(headers)?;
        let subprotocol = self.verify_subprotocol(headers)?;
        let extension = self.verify_extension(headers)?;
        Ok(NegotiatedTerms { subprotocol, extension })
    }

    fn verify_accept(&self, headers: &HeaderMap) -> Result<(), HandshakeResponseError> {
        let accept = single_value(headers, &header::SEC_WEBSOCKET_ACCEPT)
            .ok_or(HandshakeResponseError::AcceptMismatch)?;
        if accept.as_bytes().trim_ascii() != self.accept.as_bytes() {
            return Err(HandshakeResponseError::AcceptMismatch);
        }
        Ok(())
    }

    /// Returns the subprotocol that the server selected.
    fn verify_subprotocol(
        &self,
        headers: &HeaderMap,
    ) -> Result<Option<String>, HandshakeResponseError> {
        let mut names = list_elements(headers, &header::SEC_WEBSOCKET_PROTOCOL);
        let subprotocol = names.next().map(str::to_string);
        let was_offered = subprotocol.as_ref().is_none_or(|name| self.subprotocols.contains(name));
        if !was_offered || names.next().is_some() {
            return Err(HandshakeResponseError::UnofferedSubprotocol);
        }
        Ok(subprotocol)
    }

    /// Returns the extension that the server selected.
    fn verify_extension(
        &self,
        headers: &HeaderMap,
    ) -> Result<Option<String>, HandshakeResponseError> {
        let mut elements = list_elements(headers, &header::SEC_WEBSOCKET_EXTENSIONS);
        let extension = elements.next().map(str::to_string);
        let was_offered =
            extension.as_ref().is_none_or(|element| self.offers_compression && is_deflate(element));
        if !was_offered || elements.next().is_some() {
            return Err(HandshakeResponseError::UnofferedExtension);
        }
        Ok(extension)
    }
}

impl NegotiatedTerms {
    /// Returns whether messages may be compressed.
    #[must_use]
    pub fn uses_compression(&self) -> bool {
        self.extension.is_some()
    }
}
