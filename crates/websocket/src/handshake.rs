//! Opening handshakes, from clients and towards servers (RFC 9110 7.8, RFC 6455 4).

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Version};
use sha1::{Digest, Sha1};

/// What an accept is made of, beside the key (RFC 6455 1.3).
const GUID: &[u8] = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11";
/// The one version that there is.
const VERSION: &str = "13";
/// The one extension whose meaning is known here (RFC 7692).
const DEFLATE: &str = "permessage-deflate";

/// What a route lets through.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HandshakePolicy {
    /// Origins that may open sockets, in lower case; all if absent. A client that is no
    /// browser sends none, and may.
    pub allowed_origins: Option<Vec<String>>,
    /// Subprotocols that are passed on; all if absent.
    pub allowed_subprotocols: Option<Vec<String>>,
    /// Whether compression is passed on.
    pub allow_compression: bool,
}

/// Why a handshake is none that could be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeError {
    /// Another method than GET, or an older version of HTTP.
    Method,
    /// The key is missing, twice there, or not 16 bytes in base64.
    Key,
    /// Another version than 13.
    Version,
    /// An origin that may not.
    Origin,
    /// A list that can't be read.
    List,
}

impl HandshakeError {
    /// What the client is told.
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

/// Why a server's 101 is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeResponseError {
    /// It does not name the protocol.
    Upgrade,
    /// Its accept does not fit the key.
    Accept,
    /// A subprotocol that was not asked for.
    Subprotocol,
    /// An extension that was not asked for.
    Extension,
}

/// A client's handshake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientHandshake {
    /// The accept that the client waits for.
    accept: HeaderValue,
    /// Subprotocols that are passed on.
    subprotocols: Vec<String>,
    /// Extensions that are passed on, with their parameters.
    extensions: Vec<String>,
}

/// Whether a request asks for a WebSocket, well or not.
pub fn is_upgrade_request(headers: &HeaderMap) -> bool {
    list(headers, &header::CONNECTION).any(|token| token.eq_ignore_ascii_case("upgrade"))
        && list(headers, &header::UPGRADE).any(|token| token.eq_ignore_ascii_case("websocket"))
}

/// Elements of a list over all fields of a name (RFC 9110 5.6.1).
fn list<'h>(headers: &'h HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'h str> {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim).filter(|token| !token.is_empty())
}

fn accept_of(key: &[u8]) -> String {
    let mut hash = Sha1::new();
    hash.update(key);
    hash.update(GUID);
    STANDARD.encode(hash.finalize())
}

fn value(text: &str) -> HeaderValue {
    // What is made here of tokens and base64 is always a value.
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}

fn is_token(text: &str) -> bool {
    !text.is_empty()
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// The one field of a name, if there is one and only one.
fn only<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h HeaderValue> {
    let mut all = headers.get_all(name).iter();
    all.next().filter(|_| all.next().is_none())
}

/// Whether an element of Sec-WebSocket-Extensions is compression.
fn is_deflate(element: &str) -> bool {
    element.split(';').next().is_some_and(|name| name.trim().eq_ignore_ascii_case(DEFLATE))
}

impl ClientHandshake {
    /// Reads a client's handshake, for which [`is_upgrade_request`] holds, against what its route lets
    /// through.
    pub fn parse(
        method: &Method,
        version: Version,
        headers: &HeaderMap,
        terms: &HandshakePolicy,
    ) -> Result<Self, HandshakeError> {
        if method != Method::GET || version != Version::HTTP_11 {
            return Err(HandshakeError::Method);
        }
        let stated =
            only(headers, &header::SEC_WEBSOCKET_VERSION).ok_or(HandshakeError::Version)?;
        if stated.as_bytes().trim_ascii() != VERSION.as_bytes() {
            return Err(HandshakeError::Version);
        }
        let key = only(headers, &header::SEC_WEBSOCKET_KEY).ok_or(HandshakeError::Key)?;
        let key = key.as_bytes().trim_ascii();
        if STANDARD.decode(key).map_err(|_| HandshakeError::Key)?.len() != 16 {
            return Err(HandshakeError::Key);
        }
        if let (Some(origins), true) =
            (&terms.allowed_origins, headers.contains_key(header::ORIGIN))
        {
            let origin = only(headers, &header::ORIGIN).and_then(|o| o.to_str().ok());
            let origin = origin.unwrap_or_default().to_ascii_lowercase();
            if !origins.contains(&origin) {
                return Err(HandshakeError::Origin);
            }
        }
        let mut subprotocols: Vec<String> = Vec::new();
        for name in list(headers, &header::SEC_WEBSOCKET_PROTOCOL) {
            if !is_token(name) || subprotocols.iter().any(|other| other == name) {
                return Err(HandshakeError::List);
            }
            subprotocols.push(name.to_string());
        }
        if let Some(passed) = &terms.allowed_subprotocols {
            subprotocols.retain(|name| passed.contains(name));
        }
        let extensions = list(headers, &header::SEC_WEBSOCKET_EXTENSIONS);
        let extensions =
            extensions.filter(|element| terms.allow_compression && is_deflate(element));
        let extensions = extensions.map(str::to_string).collect();
        Ok(ClientHandshake { accept: value(&accept_of(key)), subprotocols, extensions })
    }

    /// Puts the handshake towards a server into headers that were cleaned for the next hop.
    /// `nonce` is a new one; what is to be looked at when the answer comes.
    pub fn write_request(&self, nonce: [u8; 16], headers: &mut HeaderMap) -> HandshakeRequest {
        let key = STANDARD.encode(nonce);
        headers.insert(header::CONNECTION, HeaderValue::from_static("Upgrade"));
        headers.insert(header::UPGRADE, HeaderValue::from_static("websocket"));
        headers.insert(header::SEC_WEBSOCKET_VERSION, HeaderValue::from_static(VERSION));
        headers.insert(header::SEC_WEBSOCKET_KEY, value(&key));
        for (name, list) in [
            (header::SEC_WEBSOCKET_PROTOCOL, &self.subprotocols),
            (header::SEC_WEBSOCKET_EXTENSIONS, &self.extensions),
        ] {
            headers.remove(&name);
            if !list.is_empty() {
                headers.insert(name, value(&list.join(", ")));
            }
        }
        let (subprotocols, deflate) = (self.subprotocols.clone(), !self.extensions.is_empty());
        HandshakeRequest { accept: accept_of(key.as_bytes()), subprotocols, deflate }
    }

    /// Makes a server's good 101 the client's.
    pub fn write_response(&self, headers: &mut HeaderMap) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("Upgrade"));
        headers.insert(header::UPGRADE, HeaderValue::from_static("websocket"));
        headers.insert(header::SEC_WEBSOCKET_ACCEPT, self.accept.clone());
    }
}

/// A handshake that a server was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandshakeRequest {
    accept: String,
    subprotocols: Vec<String>,
    deflate: bool,
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
    /// Checks a server's 101 (RFC 6455 4.1): it proves that it has read the handshake, and
    /// agrees to nothing that it was not offered.
    pub fn verify_response(
        &self,
        headers: &HeaderMap,
    ) -> Result<NegotiatedTerms, HandshakeResponseError> {
        if !is_upgrade_request(headers) {
            return Err(HandshakeResponseError::Upgrade);
        }
        let accept =
            only(headers, &header::SEC_WEBSOCKET_ACCEPT).ok_or(HandshakeResponseError::Accept)?;
        if accept.as_bytes().trim_ascii() != self.accept.as_bytes() {
            return Err(HandshakeResponseError::Accept);
        }
        let mut names = list(headers, &header::SEC_WEBSOCKET_PROTOCOL);
        let subprotocol = names.next().map(str::to_string);
        let known = subprotocol.as_ref().is_none_or(|name| self.subprotocols.contains(name));
        if !known || names.next().is_some() {
            return Err(HandshakeResponseError::Subprotocol);
        }
        let mut elements = list(headers, &header::SEC_WEBSOCKET_EXTENSIONS);
        let extension = elements.next().map(str::to_string);
        let known = extension.as_ref().is_none_or(|element| self.deflate && is_deflate(element));
        if !known || elements.next().is_some() {
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

#[cfg(test)]
mod tests {
    use super::*;

    /// The example of RFC 6455 1.3.
    const KEY: &str = "dGhlIHNhbXBsZSBub25jZQ==";
    const ACCEPT: &str = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";

    fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
        let pair = |(name, value): &(&str, &str)| {
            (name.parse::<HeaderName>().unwrap(), value.parse::<HeaderValue>().unwrap())
        };
        pairs.iter().map(pair).collect()
    }

    fn good(more: &[(&str, &str)]) -> HeaderMap {
        let usual = [
            ("connection", "keep-alive, Upgrade"),
            ("upgrade", "WebSocket"),
            ("sec-websocket-version", "13"),
            ("sec-websocket-key", KEY),
        ];
        let mut all = headers(&usual);
        for (name, value) in headers(more) {
            all.append(name.unwrap(), value);
        }
        all
    }

    fn read(
        headers: &HeaderMap,
        terms: &HandshakePolicy,
    ) -> Result<ClientHandshake, HandshakeError> {
        ClientHandshake::parse(&Method::GET, Version::HTTP_11, headers, terms)
    }

    #[test]
    fn clients_handshakes_are_checked() {
        let terms = HandshakePolicy::default();
        assert!(is_upgrade_request(&good(&[])));
        assert!(!is_upgrade_request(&headers(&[("upgrade", "websocket")])));
        assert!(!is_upgrade_request(&headers(&[("upgrade", "h2c"), ("connection", "upgrade")])));
        let offer = read(&good(&[]), &terms).unwrap();
        let mut answer = HeaderMap::new();
        offer.write_response(&mut answer);
        assert_eq!(answer["sec-websocket-accept"], ACCEPT);
        let bad = ClientHandshake::parse(&Method::POST, Version::HTTP_11, &good(&[]), &terms);
        assert_eq!(bad, Err(HandshakeError::Method));
        let bad = ClientHandshake::parse(&Method::GET, Version::HTTP_10, &good(&[]), &terms);
        assert_eq!(bad, Err(HandshakeError::Method));
        for (name, with, bad) in [
            ("sec-websocket-version", Some("8"), HandshakeError::Version),
            ("sec-websocket-version", None, HandshakeError::Version),
            ("sec-websocket-key", None, HandshakeError::Key),
            ("sec-websocket-key", Some("dGhlIHNhbXBsZQ=="), HandshakeError::Key),
            ("sec-websocket-key", Some("no base64"), HandshakeError::Key),
            ("sec-websocket-protocol", Some("a, a"), HandshakeError::List),
            ("sec-websocket-protocol", Some("a b"), HandshakeError::List),
        ] {
            let mut headers = good(&[]);
            headers.remove(name);
            if let Some(with) = with {
                headers.insert(name, with.parse().unwrap());
            }
            assert_eq!(read(&headers, &terms), Err(bad), "{name} {with:?}");
        }
        let twice = good(&[("sec-websocket-key", KEY)]);
        assert_eq!(read(&twice, &terms), Err(HandshakeError::Key));
        let allowed_origins = Some(vec!["https://lab.example".to_string()]);
        let terms = HandshakePolicy { allowed_origins, ..HandshakePolicy::default() };
        assert!(read(&good(&[("origin", "HTTPS://lab.example")]), &terms).is_ok());
        assert!(read(&good(&[]), &terms).is_ok());
        let foreign = good(&[("origin", "https://lab.example.evil")]);
        assert_eq!(read(&foreign, &terms), Err(HandshakeError::Origin));
    }

    #[test]
    fn servers_answers_are_checked_against_what_they_were_offered() {
        let more = [
            ("sec-websocket-protocol", "status.v2, status.v1, chat"),
            ("sec-websocket-extensions", "permessage-deflate; client_max_window_bits, x-mux"),
        ];
        let asked = |terms: &HandshakePolicy| {
            let offer = read(&good(&more), terms).unwrap();
            let mut out = HeaderMap::new();
            (offer.write_request(*b"the sample nonce", &mut out), out)
        };
        let some = vec!["status.v1".to_string(), "status.v2".to_string()];
        let terms = HandshakePolicy {
            allowed_subprotocols: Some(some),
            allow_compression: true,
            ..HandshakePolicy::default()
        };
        let (ask, out) = asked(&terms);
        assert_eq!(out["sec-websocket-key"], KEY);
        assert_eq!(out["sec-websocket-protocol"], "status.v2, status.v1");
        // An extension whose frames can't be followed is withheld.
        assert_eq!(out["sec-websocket-extensions"], "permessage-deflate; client_max_window_bits");
        let answer = |more: &[(&str, &str)]| {
            let mut all = headers(&[
                ("connection", "upgrade"),
                ("upgrade", "websocket"),
                ("sec-websocket-accept", ACCEPT),
            ]);
            for (name, value) in headers(more) {
                all.insert(name.unwrap(), value);
            }
            all
        };
        let agreed = ask.verify_response(&answer(&[
            ("sec-websocket-protocol", "status.v1"),
            ("sec-websocket-extensions", "permessage-deflate; server_no_context_takeover"),
        ]));
        let agreed = agreed.unwrap();
        assert_eq!(agreed.subprotocol.as_deref(), Some("status.v1"));
        assert!(agreed.uses_compression());
        assert_eq!(ask.verify_response(&answer(&[])), Ok(NegotiatedTerms::default()));
        for (name, value, bad) in [
            ("upgrade", "h2c", HandshakeResponseError::Upgrade),
            (
                "sec-websocket-accept",
                "s3pPLMBiTxaQ9kYGzzhZRbK+xOp=",
                HandshakeResponseError::Accept,
            ),
            ("sec-websocket-protocol", "chat", HandshakeResponseError::Subprotocol),
            ("sec-websocket-protocol", "status.v1, status.v2", HandshakeResponseError::Subprotocol),
            ("sec-websocket-extensions", "x-mux", HandshakeResponseError::Extension),
        ] {
            assert_eq!(ask.verify_response(&answer(&[(name, value)])), Err(bad), "{name} {value}");
        }
        let withheld = HandshakePolicy { allow_compression: false, ..terms };
        let (ask, out) = asked(&withheld);
        assert!(!out.contains_key("sec-websocket-extensions"));
        let deflate = answer(&[("sec-websocket-extensions", "permessage-deflate")]);
        assert_eq!(ask.verify_response(&deflate), Err(HandshakeResponseError::Extension));
    }
}
