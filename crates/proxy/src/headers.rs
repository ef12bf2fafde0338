//! HTTP messages as they pass through: headers cleaned, reports read.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// A whole body in memory; clones share its bytes.
pub type BufferedBody = Full<Bytes>;

/// Headers that concern one connection and not the message.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    // The body is held whole before it goes on.
    header::EXPECT,
];

/// Removes what concerns the connection that a message came on, and the length,
/// which the next connection's framing states anew.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let others = [header::CONTENT_LENGTH];
    let odd = ["keep-alive", "proxy-connection"].map(HeaderName::from_static);
    for name in named.iter().chain(&HOP_BY_HOP).chain(&others).chain(&odd) {
        headers.remove(name);
    }
}

/// The same for a message whose body goes on as it came: where there is one length it stays,
/// for answers that tell it without a body (HEAD, 304), and so does the list of trailers.
pub fn strip_for_next_hop(headers: &mut HeaderMap) {
    let mut length = headers.get_all(header::CONTENT_LENGTH).iter().cloned();
    let length = length.next().filter(|_| length.next().is_none());
    let trailer = headers.remove(header::TRAILER);
    let trailers = headers.get(header::TE).is_some_and(|te| te == "trailers");
    strip_hop_by_hop(headers);
    if let Some(length) = length {
        headers.insert(header::CONTENT_LENGTH, length);
    }
    if let Some(trailer) = trailer {
        headers.insert(header::TRAILER, trailer);
    }
    if trailers {
        headers.insert(header::TE, HeaderValue::from_static("trailers"));
        headers.insert(header::CONNECTION, HeaderValue::from_static("TE"));
    }
}

/// Longest body of a request or an answer; both sides keep to it.
pub const BODY_MAX: usize = 64 << 10;

/// Most headers in a message on the platform, either way.
pub const HEADERS_MAX: usize = 256;

/// A header's value as text; absent if it is not.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// Reads a load report, `TEXT name=value, ...`, into the order of `fields`.
/// `None` for one that is malformed, lacks a field or has a negative one.
pub fn parse_load_report(text: &str, fields: &[String]) -> Option<Vec<f64>> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").map_or(text, str::trim_start);
    let mut values = vec![None; fields.len()];
    for part in text.split(',') {
        let (name, value) = part.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
        if let Some(at) = fields.iter().position(|f| f == name.trim()) {
            values[at] = Some(value);
        }
    }
    values.into_iter().collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_are_read_in_the_settings_order() {
        let fields = ["eps".to_string(), "queue".to_string()];
        assert_eq!(parse_load_report("TEXT queue=2, eps=0.5, x=1", &fields), Some(vec![0.5, 2.0]));
        assert_eq!(parse_load_report("queue=2,eps=0", &fields), Some(vec![0.0, 2.0]));
        for bad in [
            "",
            "TEXT",
            "TEXT queue=2",
            "TEXT queue=2, eps=",
            "queue=NaN, eps=1",
            "queue=-2, eps=1",
            "{}",
        ] {
            assert_eq!(parse_load_report(bad, &fields), None, "{bad}");
        }
    }

    #[test]
    fn hop_by_hop_headers_stay_behind() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "keep-alive, X-Private"),
            ("x-private", "1"),
            ("keep-alive", "timeout=5"),
            ("transfer-encoding", "chunked"),
            ("content-length", "3"),
            ("expect", "100-continue"),
            ("x-txn", "a"),
        ] {
            headers.insert(HeaderName::from_static(name), value.parse().unwrap());
        }
        strip_hop_by_hop(&mut headers);
        assert_eq!(headers.len(), 1);
        assert!(headers.contains_key("x-txn"));
    }
}
