//! Header edits of routes.

use super::fields::{parse_header_name, HEADER_REMEDY};
use super::reader::Located;
use super::table::{Member, Table};
use crate::model::HeaderEdits;
use crate::problem::SafetyRule;
use http::{HeaderName, HeaderValue};
use toml::de::DeValue;

/// Headers that a file must not change, because they determine the length of a message or apply to
/// a single connection.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Parses the header edits under a key of a route.
pub fn header_edits(table: &Table, key: &'static str) -> HeaderEdits {
    let Some(inner) = table.table(key) else { return HeaderEdits::default() };
    // The only one of these headers that a route may change is the Host of a request.
    let allows_host = key == "request-headers";
    let removed = inner.texts("remove").into_iter();
    let edits = HeaderEdits {
        remove: removed.filter_map(|name| editable_header(&inner, name, allows_host)).collect(),
        set: headers(&inner, "set", allows_host),
        add: headers(&inner, "add", allows_host),
    };
    inner.finish();
    edits
}

fn editable_header(table: &Table, name: Located<&str>, allows_host: bool) -> Option<HeaderName> {
    let header = table.parse(name, HEADER_REMEDY, parse_header_name)?;
    let name = header.value;
    let is_allowed = !CONNECTION_HEADERS.contains(&name.as_str()) || allows_host && name == "host";
    if !is_allowed {
        let message = format!("'{name}' is managed by the proxy");
        let remedy = "remove it";
        let rule = SafetyRule::NoLostRequest;
        table.reader.report_violation(&header.location, message, remedy, rule);
    }
    is_allowed.then_some(name)
}

fn headers(table: &Table, key: &'static str, allows_host: bool) -> Vec<(HeaderName, HeaderValue)> {
    let Some(table) = table.table(key) else { return Vec::new() };
    let header = |Member { name, value }: Member| {
        let name = editable_header(&table, name, allows_host)?;
        let header_value = match value.value {
            DeValue::String(text) => HeaderValue::from_str(text).ok(),
            _ => None,
        };
        if header_value.is_none() {
            let remedy = "write a string without line breaks";
            table.reader.report(&value.location, "is not a valid header value", remedy);
        }
        Some((name, header_value?))
    };
    table.members().into_iter().filter_map(header).collect()
}
