//! Redirects, and paths that replace the prefix of a route.

use super::error::FieldError;
use super::fields::{parse_path, status_code, PATH_REMEDY};
use super::table::Table;
use crate::model::Redirect;
use http::uri::Authority;
use http::StatusCode;
use mintshelf_routing::{PathMatch, RouteRule};

/// Parses a path that replaces the route's prefix.
pub fn prefix_replacement(table: &Table, key: &'static str, rule: &RouteRule) -> Option<String> {
    let replacement = table.parsed(key, PATH_REMEDY, parse_path)?;
    if !matches!(rule.path, PathMatch::Prefix(_)) {
        let message = "the route has no prefix to replace";
        table.reader.report(&replacement.location, message, "match by prefix, or remove it");
    }
    Some(replacement.value)
}

/// Parses the `redirect` of a route.
pub fn redirect(table: Table, rule: &RouteRule) -> Redirect {
    let scheme = table.parsed("scheme", "write \"http\" or \"https\"", |text| match text {
        "http" | "https" => Ok(text.to_string()),
        _ => Err(FieldError::NotA("a scheme")),
    });
    let host = table.parsed("host", "write a host, optionally with a port", parse_redirect_host);
    let path = table.parsed("path", PATH_REMEDY, parse_path);
    let prefix = prefix_replacement(&table, "prefix", rule);
    if path.is_some() && prefix.is_some() {
        table.reader.report(&table.location, "has both path and prefix", "keep one of them");
    }
    if ["scheme", "host", "path", "prefix"].into_iter().all(|key| !table.has(key)) {
        let remedy = "set a scheme, a host, a path or a prefix";
        table.reader.report(&table.location, "redirects clients to the same URL", remedy);
    }
    let redirect = Redirect {
        status: redirect_status(&table),
        scheme: scheme.map(|scheme| scheme.value),
        host: host.map(|host| host.value),
        path: path.map(|path| path.value),
        prefix,
    };
    table.finish();
    redirect
}

fn redirect_status(table: &Table) -> StatusCode {
    const STATUSES: [u32; 5] = [301, 302, 303, 307, 308];
    let status = table.integer("status", 302, 300..=399);
    if !STATUSES.contains(&status.value) {
        let message = format!("{} is not a redirect status", status.value);
        table.reader.report(&status.location, message, "write 301, 302, 303, 307 or 308");
    }
    status_code(status.value).unwrap_or(StatusCode::FOUND)
}

fn parse_redirect_host(text: &str) -> Result<String, FieldError> {
    match text.parse::<Authority>() {
        Ok(_) if !text.contains('@') => Ok(text.to_string()),
        _ => Err(FieldError::NotA("a host")),
    }
}
