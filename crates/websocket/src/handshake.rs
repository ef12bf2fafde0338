//! Opening handshakes, from clients and towards servers (RFC 9110 7.8, RFC 6455 4).

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Version};
use sha1::{Digest, Sha1};

/// Hashed behind the key to make the accept value (RFC 6455 1.3).
const ACCEPT_GUID: &[u8] = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
/// The only version of the protocol.
const VERSION: &str = "13";
/// Length of a decoded key in bytes (RFC 6455 4.1).
const KEY_BYTES: usize = 16;
/// The only extension that is understood here (RFC 7692).
const DEFLATE: &str = "permessage-deflate";

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

/// A valid handshake of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientHandshake {
    /// The accept value that the client expects.
    accept: HeaderValue,
    /// Subprotocols that are forwarded.
    subprotocols: Vec<String>,
    /// Extensions that are forwarded, with their parameters.
    extensions: Vec<String>,
}

/// Whether a request asks for an upgrade to WebSocket, valid or not.
pub fn is_upgrade_request(headers: &HeaderMap) -> bool {
    list_elements(headers, &header::CONNECTION).any(|token| token.eq_ignore_ascii_case("upgrade"))
        && list_elements(headers, &header::UPGRADE)
            .any(|token| token.eq_ignore_ascii_case("websocket"))
}

/// Elements of a list over all fields of a name (RFC 9110 5.6.1).
fn list_elements<'h>(headers: &'h HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'h str> {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim).filter(|token| !token.is_empty())
}

/// The accept value for a key (RFC 6455 4.2.2).
fn accept_for(key: &[u8]) -> String {
    let mut hash = Sha1::new();
    hash.update(key);
    hash.update(ACCEPT_GUID);
    STANDARD.encode(hash.finalize())
}

/// Text made of tokens and base64, which is always a valid value.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}

fn is_token(text: &str) -> bool {
    let is_token_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

/// The field of a name, if there is exactly one.
fn single_value<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Whether an element of Sec-WebSocket-Extensions is compression.
fn is_deflate(element: &str) -> bool {
    element.split(';').next().is_some_and(|name| name.trim().eq_ignore_ascii_case(DEFLATE))
}

fn check_version(headers: &HeaderMap) -> Result<(), HandshakeError> {
    let version =
        single_value(headers, &header::SEC_WEBSOCKET_VERSION).ok_or(HandshakeError::Version)?;
    if version.as_bytes().trim_ascii() != VERSION.as_bytes() {
        return Err(HandshakeError::Version);
    }
    Ok(())
}

/// The client's key as it stands in the header.
fn parse_key(headers: &HeaderMap) -> Result<&[u8], HandshakeError> {
    let key = single_value(headers, &header::SEC_WEBSOCKET_KEY).ok_or(HandshakeError::Key)?;
    let key = key.as_bytes().trim_ascii();
    let decoded = STANDARD.decode(key).map_err(|_| HandshakeError::Key)?;
    if decoded.len() != KEY_BYTES {
        return Err(HandshakeError::Key);
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
        return Err(HandshakeError::Origin);
    }
    Ok(())
}

/// The offered subprotocols that the policy allows.
fn parse_subprotocols(
    headers: &HeaderMap,
    policy: &HandshakePolicy,
) -> Result<Vec<String>, HandshakeError> {
    let mut subprotocols: Vec<String> = Vec::new();
    for name in list_elements(headers, &header::SEC_WEBSOCKET_PROTOCOL) {
        if !is_token(name) || subprotocols.iter().any(|other| other == name) {
            return Err(HandshakeError::List);
        }
        subprotocols.push(name.to_string());
    }
    if let Some(allowed) = &policy.allowed_subprotocols {
        subprotocols.retain(|name| allowed.contains(name));
    }
    Ok(subprotocols)
}

impl ClientHandshake {
    /// Parses a request for which [`is_upgrade_request`] holds, by the policy of its route.
    ///
    /// # Errors
    ///
    /// The first requirement of RFC 6455 4.2.1 or of the policy that the request does not meet.
    pub fn parse(
        method: &Method,
        version: Version,
        headers: &HeaderMap,
        policy: &HandshakePolicy,
    ) -> Result<Self, HandshakeError> {
        if method != Method::GET || version != Version::HTTP_11 {
            return Err(HandshakeError::Method);
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

    /// Writes the handshake towards a server into headers that were stripped for the next hop.
    /// `nonce` is new and random. The server's response is checked against what is returned.
    pub fn write_request(
        &self,
        nonce: [u8; KEY_BYTES],
        headers: &mut HeaderMap,
    ) -> HandshakeRequest {
        let key = STANDARD.encode(nonce);
        headers.insert(header::CONNECTION, HeaderValue::from_static("Upgrade"));
        headers.insert(header::UPGRADE, HeaderValue::from_static("websocket"));
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

    /// Turns the headers of a server's valid 101 into those for the client.
    pub fn write_response(&self, headers: &mut HeaderMap) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("Upgrade"));
        headers.insert(header::UPGRADE, HeaderValue::from_static("websocket"));
        headers.insert(header::SEC_WEBSOCKET_ACCEPT, self.accept.clone());
    }
}

/// A handshake that was sent to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandshakeRequest {
    /// The accept value that the server has to return.
    accept: String,
    subprotocols: Vec<String>,
    offers_compression: bool,
}

/// What both ends agreed on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NegotiatedTerms {
    /// The subprotocol, if any.
    pub subprotocol: Option<String>,
    /// The compression with its parameters, if any.
    pub extension: Option<String>,
}

impl HandshakeRequest {
    /// Checks a server's 101 (RFC 6455 4.1).
    ///
    /// # Errors
    ///
    /// The first header that does not answer this request.
    pub fn verify_response(
        &self,
        headers: &HeaderMap,
    ) -> Result<NegotiatedTerms, HandshakeResponseError> {
        if !is_upgrade_request(headers) {
            return Err(HandshakeResponseError::Upgrade);
        }
        let accept = single_value(headers, &header::SEC_WEBSOCKET_ACCEPT)
            .ok_or(HandshakeResponseError::Accept)?;
        if accept.as_bytes().trim_ascii() != self.accept.as_bytes() {
            return Err(HandshakeResponseError::Accept);
        }
        let mut names = list_elements(headers, &header::SEC_WEBSOCKET_PROTOCOL);
        let subprotocol = names.next().map(str::to_string);
        let was_offered = subprotocol.as_ref().is_none_or(|name| self.subprotocols.contains(name));
        if !was_offered || names.next().is_some() {
            return Err(HandshakeResponseError::Subprotocol);
        }
        let mut elements = list_elements(headers, &header::SEC_WEBSOCKET_EXTENSIONS);
        let extension = elements.next().map(str::to_string);
        let was_offered =
            extension.as_ref().is_none_or(|element| self.offers_compression && is_deflate(element));
        if !was_offered || elements.next().is_some() {
            return Err(HandshakeResponseError::Extension);
        }
        Ok(NegotiatedTerms { subprotocol, extension })
    }
}

impl NegotiatedTerms {
    /// Whether messages may be compressed.
    pub fn uses_compression(&self) -> bool {
        self.extension.is_some()
    }
}
