//! Fields that several tables share: addresses, header names, paths and effects.

use super::error::FieldError;
use super::reader::Located;
use super::table::Table;
use http::{HeaderName, StatusCode};
use mintshelf_balancer::api::Effect;
use mintshelf_routing::path::has_dot_segments;
use std::net::SocketAddr;

/// Remedy for an invalid address.
pub const ADDRESS_REMEDY: &str = "write an IP address and a port, as in \"127.0.0.1:8080\"; \
                                  host names are not resolved";
/// Remedy for an invalid header name.
pub const HEADER_REMEDY: &str = "write a name as in \"x-request-id\"";
/// Remedy for an invalid path.
pub const PATH_REMEDY: &str = "write a path that begins with a slash, as in \"/a\"";
/// Message for a setting that has no effect because the route does not forward requests.
pub const NOT_FORWARDED: &str = "has no effect on a route that does not forward requests";

/// Parses an address with a nonzero port.
pub fn parse_address(text: &str) -> Result<SocketAddr, FieldError> {
    let address: SocketAddr = text.parse().map_err(FieldError::Address)?;
    if address.port() == 0 {
        return Err(FieldError::PortZero);
    }
    Ok(address)
}

/// Parses a mandatory field with an address.
pub fn address(table: &Table, key: &'static str) -> Option<Located<SocketAddr>> {
    let address = table.parsed(key, ADDRESS_REMEDY, parse_address);
    if address.is_none() && !table.has(key) {
        table.reader.report(&table.location_of(key), "is missing", ADDRESS_REMEDY);
    }
    address
}

/// Parses a header name.
pub fn parse_header_name(text: &str) -> Result<HeaderName, FieldError> {
    text.parse().map_err(FieldError::HeaderName)
}

/// Parses an absolute path that a request can have.
pub fn parse_path(text: &str) -> Result<String, FieldError> {
    let is_invalid =
        |character: char| character.is_ascii_control() || matches!(character, ' ' | '?' | '#');
    if !text.starts_with('/') {
        Err(FieldError::RelativePath)
    } else if text.contains(is_invalid) || has_dot_segments(text) {
        Err(FieldError::InvalidPath)
    } else {
        Ok(text.to_string())
    }
}

/// Parses the effect of a class or a route.
pub fn effect(table: &Table) -> Option<Located<Effect>> {
    let remedy = "write \"safe\", \"keyed\" or \"unsafe\"";
    table.parsed("effect", remedy, |text| match text {
        "safe" => Ok(Effect::Safe),
        "keyed" => Ok(Effect::Idempotent),
        "unsafe" => Ok(Effect::Unsafe),
        _ => Err(FieldError::NotA("an effect")),
    })
}

/// Returns the keyword of an effect in the file.
pub fn effect_keyword(effect: Effect) -> &'static str {
    match effect {
        Effect::Safe => "safe",
        Effect::Idempotent => "keyed",
        Effect::Unsafe => "unsafe",
    }
}

/// Converts a number to an HTTP status; `None` if the number is not a valid status.
pub fn status_code(status: u32) -> Option<StatusCode> {
    StatusCode::from_u16(u16::try_from(status).ok()?).ok()
}
