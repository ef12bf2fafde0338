//! Fixed responses of routes.

use super::error::FieldError;
use super::fields::status_code;
use super::reader::Location;
use super::table::Table;
use crate::model::Respond;
use http::{HeaderValue, StatusCode};

/// Parses the `respond` of a route.
pub fn respond(table: Table) -> Respond {
    let status = table.integer("status", 200, 200..=599);
    let body = table.text("body").map_or(String::new(), |body| body.value.to_string());
    let has_no_body = matches!(status.value, 204 | 205 | 304);
    if has_no_body && !body.is_empty() {
        let message = format!("a {} response has no body (RFC 9110)", status.value);
        let location = Location { field: table.path("body"), ..status.location };
        table.reader.report(&location, message, "remove the body");
    }
    let remedy = "write a media type, as in \"text/plain\"";
    let content_type = table.parsed("content-type", remedy, |text| {
        HeaderValue::from_str(text).map_err(FieldError::HeaderValue)
    });
    table.finish();
    let plain_text = HeaderValue::from_static("text/plain; charset=utf-8");
    Respond {
        status: status_code(status.value).unwrap_or(StatusCode::OK),
        body,
        content_type: content_type.map_or(plain_text, |media_type| media_type.value),
    }
}
