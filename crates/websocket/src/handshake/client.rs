//! Validates a client's opening handshake and forwards it to a server.

use super::error::HandshakeError;
use super::fields::{
    header_value, is_deflate, is_token, list_elements, single_value, write_upgrade, VERSION,
};
use super::key::{accept_for, encode_key, is_valid_key, KEY_BYTES};
use super::policy::HandshakePolicy;
use super::server::HandshakeRequest;
use http::header::{self, HeaderMap, HeaderValue};
use http::{Method, Version};

/// A client's validated opening handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientHandshake {
    /// The Sec-WebSocket-Accept value that the client expects.
    accept: HeaderValue,
    /// Subprotocols offered to the server.
    subprotocols: Vec<String>,
    /// Extensions offered to the server, with their parameters.
    extensions: Vec<String>,
}

impl ClientHandshake {
    /// Parses an upgrade request according to the policy of its route. The caller has checked
    /// [`is_upgrade_request`](super::is_upgrade_request).
    ///
    /// # Errors
    ///
    /// The first requirement of RFC 6455 4.2.1 or of the policy that the request violates.
    pub fn parse(
        method: &Method,
        version: Version,
        headers: &HeaderMap,
        policy: &HandshakePolicy,
    ) -> Result<Self, HandshakeError> {
        if method != Method::GET || version != Version::HTTP_11 {
            return Err(HandshakeError::InvalidRequestLine);
        }
        check_version(headers)?;
        let key = parse_key(headers)?;
        check_origin(headers, policy)?;
        let subprotocols = parse_subprotocols(headers, policy)?;
        let extensions = list_elements(headers, &header::SEC_WEBSOCKET_EXTENSIONS)
            .filter(|element| policy.allow_compression && is_deflate(element))
            .map(str::to_string)
            .collect();
        Ok(ClientHandshake { accept: header_value(&accept_for(key)), subprotocols, extensions })
    }

    /// Writes the handshake for a server to `headers`, from which hop-by-hop fields have been
    /// removed. `nonce` must be random and new for each request. The returned value verifies the
    /// server's response.
    pub fn write_request(
        &self,
        nonce: [u8; KEY_BYTES],
        headers: &mut HeaderMap,
    ) -> HandshakeRequest {
        let key = encode_key(nonce);
        write_upgrade(headers);
        headers.insert(header::SEC_WEBSOCKET_VERSION, HeaderValue::from_static(VERSION));
        headers.insert(header::SEC_WEBSOCKET_KEY, header_value(&key));
        for (name, elements) in [
            (header::SEC_WEBSOCKET_PROTOCOL, &self.subprotocols),
            (header::SEC_WEBSOCKET_EXTENSIONS, &self.extensions),
        ] {
            headers.remove(&name);
            if !elements.is_empty() {
                headers.insert(name, header_value(&elements.join(", ")));
            }
        }
        HandshakeRequest {
            accept: accept_for(key.as_bytes()),
            subprotocols: self.subprotocols.clone(),
            offers_compression: !self.extensions.is_empty(),
        }
    }

    /// Adds the client's handshake fields to the headers of a server's verified 101 response.
    pub fn write_response(&self, headers: &mut HeaderMap) {
        write_upgrade(headers);
        headers.insert(header::SEC_WEBSOCKET_ACCEPT, self.accept.clone());
    }
}

fn check_version(headers: &HeaderMap) -> Result<(), HandshakeError> {
    let version = single_value(headers, &header::SEC_WEBSOCKET_VERSION)
        .ok_or(HandshakeError::UnsupportedVersion)?;
    if version.as_bytes().trim_ascii() != VERSION.as_bytes() {
        return Err(HandshakeError::UnsupportedVersion);
    }
    Ok(())
}

/// Returns the client's key as it was sent, in base64.
fn parse_key(headers: &HeaderMap) -> Result<&[u8], HandshakeError> {
    let key =
        single_value(headers, &header::SEC_WEBSOCKET_KEY).ok_or(HandshakeError::InvalidKey)?;
    let key = key.as_bytes().trim_ascii();
    if !is_valid_key(key) {
        return Err(HandshakeError::InvalidKey);
    }
    Ok(key)
}

fn check_origin(headers: &HeaderMap, policy: &HandshakePolicy) -> Result<(), HandshakeError> {
    let Some(allowed_origins) = &policy.allowed_origins else { return Ok(()) };
    if !headers.contains_key(header::ORIGIN) {
        return Ok(());
    }
    let origin = single_value(headers, &header::ORIGIN).and_then(|origin| origin.to_str().ok());
    let origin = origin.unwrap_or_default().to_ascii_lowercase();
    if !allowed_origins.contains(&origin) {
        return Err(HandshakeError::ForbiddenOrigin);
    }
    Ok(())
}

/// Returns the offered subprotocols that the policy allows.
fn parse_subprotocols(
    headers: &HeaderMap,
    policy: &HandshakePolicy,
) -> Result<Vec<String>, HandshakeError> {
    let mut subprotocols: Vec<String> = Vec::new();
    for name in list_elements(headers, &header::SEC_WEBSOCKET_PROTOCOL) {
        if !is_token(name) || subprotocols.iter().any(|other| other == name) {
            return Err(HandshakeError::InvalidSubprotocols);
        }
        subprotocols.push(name.to_string());
    }
    if let Some(allowed) = &policy.allowed_subprotocols {
        subprotocols.retain(|name| allowed.contains(name));
    }
    Ok(subprotocols)
}
