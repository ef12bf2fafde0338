//! Removes hop-by-hop headers from forwarded messages, and parses headers.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Maximum body length in bytes: of requests and responses of the platform, and of bodies that are
/// buffered elsewhere.
pub const BODY_MAX: usize = 64 << 10;
/// Maximum number of headers in a request or a response of the platform.
pub const HEADERS_MAX: usize = 256;

/// Memory of a header in a map, in bytes: its entry, and its name and value in short.
const HEADER_BYTES: usize = 200;

/// Headers that apply to one connection and are not forwarded (RFC 9110 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    // `100-continue` is handled on the client's connection.
    header::EXPECT,
];

/// Returns the memory that a map of headers takes, in bytes, without long names and values.
pub(crate) fn map_bytes(headers: &HeaderMap) -> usize {
    headers.len() * HEADER_BYTES
}

/// Removes the hop-by-hop headers of a message, those that `Connection` names, and Content-Length,
/// which the framing on the next connection sets again.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let length = [header::CONTENT_LENGTH];
    let nonstandard = ["keep-alive", "proxy-connection"].map(HeaderName::from_static);
    for name in named.iter().chain(&HOP_BY_HOP).chain(&length).chain(&nonstandard) {
        headers.remove(name);
    }
}

/// Removes the hop-by-hop headers of a message whose body is streamed. Unlike
/// [`strip_hop_by_hop`] it keeps a single Content-Length, which responses to HEAD and 304 state
/// without a body, and the headers that negotiate trailers.
pub fn strip_for_next_hop(headers: &mut HeaderMap) {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter().cloned();
    let length = lengths.next().filter(|_| lengths.next().is_none());
    let trailer = headers.remove(header::TRAILER);
    let accepts_trailers = headers.get(header::TE).is_some_and(|te| te == "trailers");
    strip_hop_by_hop(headers);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, length);
    }
    if let Some(trailer) = trailer {
        headers.insert(header::TRAILER, trailer);
    }
    if accepts_trailers {
        headers.insert(header::TE, HeaderValue::from_static("trailers"));
        headers.insert(header::CONNECTION, HeaderValue::from_static("TE"));
    }
}

/// Returns whether a client waits for a `100 Continue` before it sends the body of its request.
pub(crate) fn expects_continue(headers: &HeaderMap) -> bool {
    has_value(headers, &header::EXPECT, b"100-continue")
}

/// States that the connection is closed behind a response.
pub(crate) fn close_connection(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Returns whether a response states that its connection is closed behind it.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    has_value(headers, &header::CONNECTION, b"close")
}

fn has_value(headers: &HeaderMap, name: &HeaderName, expected: &[u8]) -> bool {
    let value = headers.get(name);
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(expected))
}

/// Returns a header's value without surrounding whitespace, if it is visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Iterates over the `name=value` pairs of a request's cookies (RFC 6265 5.4).
pub fn cookie_pairs(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let cookies = headers.get_all(header::COOKIE).iter();
    cookies
        .filter_map(|cookie| cookie.to_str().ok())
        .flat_map(|cookie| cookie.split(';'))
        .map(str::trim)
}

/// Parses a load report, `TEXT name=value, ...`, and returns the values in the order of `fields`.
/// Returns `None` if the report is malformed, lacks a field or contains a negative value.
pub fn parse_load_report(text: &str, fields: &[String]) -> Option<Vec<f64>> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").map_or(text, str::trim_start);
    let mut values = vec![None; fields.len()];
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value = value.trim().parse::<f64>().ok();
        let value = value.filter(|value| value.is_finite() && *value >= 0.0)?;
        if let Some(position) = fields.iter().position(|field| field == name.trim()) {
            values[position] = Some(value);
        }
    }
    values.into_iter().collect()
}
