//! The header fields of a handshake.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The only version of the protocol.
pub(super) const VERSION: &str = "13";
/// The only extension that is supported (RFC 7692).
const DEFLATE: &str = "permessage-deflate";

/// Whether a request is for an upgrade to WebSocket, valid or not.
#[must_use]
pub fn is_upgrade_request(headers: &HeaderMap) -> bool {
    list_elements(headers, &header::CONNECTION).any(|token| token.eq_ignore_ascii_case("upgrade"))
        && list_elements(headers, &header::UPGRADE)
            .any(|token| token.eq_ignore_ascii_case("websocket"))
}

/// Elements of a list over all fields of a name (RFC 9110 5.6.1).
pub(super) fn list_elements<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
) -> impl Iterator<Item = &'h str> {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim).filter(|token| !token.is_empty())
}

/// The field of a name, if there is exactly one.
pub(super) fn single_value<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
) -> Option<&'h HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Text made of tokens and base64, which is always a valid value.
pub(super) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}

/// Writes the fields by which both requests and responses upgrade to WebSocket.
pub(super) fn write_upgrade(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, HeaderValue::from_static("Upgrade"));
    headers.insert(header::UPGRADE, HeaderValue::from_static("websocket"));
}

pub(super) fn is_token(text: &str) -> bool {
    let is_token_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

/// Whether an element of Sec-WebSocket-Extensions is compression.
pub(super) fn is_deflate(element: &str) -> bool {
    element.split(';').next().is_some_and(|name| name.trim().eq_ignore_ascii_case(DEFLATE))
}
