//! Reads and writes the header fields of opening handshakes.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The only supported version of the protocol.
pub(super) const VERSION: &str = "13";
/// The only supported extension (RFC 7692).
const DEFLATE: &str = "permessage-deflate";

/// Returns whether the headers of a request or response upgrade to WebSocket. Does not check the
/// other fields of the handshake.
#[must_use]
pub fn is_upgrade_request(headers: &HeaderMap) -> bool {
    list_elements(headers, &header::CONNECTION).any(|token| token.eq_ignore_ascii_case("upgrade"))
        && list_elements(headers, &header::UPGRADE)
            .any(|token| token.eq_ignore_ascii_case("websocket"))
}

/// Returns the non-empty elements of a comma-separated list, over all fields with this name (RFC
/// 9110 5.6.1).
pub(super) fn list_elements<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
) -> impl Iterator<Item = &'h str> {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim).filter(|token| !token.is_empty())
}

/// Returns the value of a field that occurs exactly once.
pub(super) fn single_value<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
) -> Option<&'h HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Converts tokens and base64, which are always valid in a header value.
pub(super) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or(HeaderValue::from_static(""))
}

/// Sets the upgrade fields that requests and responses have in common.
pub(super) fn write_upgrade(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, HeaderValue::from_static("Upgrade"));
    headers.insert(header::UPGRADE, HeaderValue::from_static("websocket"));
}

pub(super) fn is_token(text: &str) -> bool {
    let is_token_byte =
        |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !text.is_empty() && text.bytes().all(is_token_byte)
}

/// Returns whether an element of Sec-WebSocket-Extensions is permessage-deflate.
pub(super) fn is_deflate(element: &str) -> bool {
    element.split(';').next().is_some_and(|name| name.trim().eq_ignore_ascii_case(DEFLATE))
}
