//! Headers of HTTP messages as they pass through: hop-by-hop ones removed, others read.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Longest body of a request or a response on the platform, and the longest that is buffered
/// elsewhere, in bytes.
pub const BODY_MAX: usize = 64 << 10;
/// Most headers in a message on the platform, either way.
pub const HEADERS_MAX: usize = 256;

/// Headers that concern one connection and not the message (RFC 9110 7.6.1).
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    // Whether a body is wanted was decided on the client's connection.
    header::EXPECT,
];

/// Removes what concerns the connection that a message arrived on, and its length: the next
/// connection's framing states that itself.
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

/// The same for a message whose body is forwarded as it arrives: where there is one length it
/// stays, for responses that state it without a body (HEAD, 304), and so does the list of trailers.
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

/// A header's value as text; absent if it is not.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// The `name=value` pairs of a request's cookies (RFC 6265 5.4).
pub fn cookie_pairs(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let cookies = headers.get_all(header::COOKIE).iter();
    cookies
        .filter_map(|cookie| cookie.to_str().ok())
        .flat_map(|cookie| cookie.split(';'))
        .map(str::trim)
}

/// Reads a load report, `TEXT name=value, ...`, into the order of `fields`.
/// `None` for one that is malformed, lacks a field or has a negative one.
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
