//! Edits that routes make to requests and responses, redirects and fixed responses.

use super::rejection::Rejection;
use crate::client::handler::ResponseBody;
use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use mintshelf_config::model::{HeaderEdits, Redirect, Respond, Route};
use mintshelf_routing::path::strip_path_prefix;
use mintshelf_routing::PathMatch;

/// Applies the header edits of a route.
pub(crate) fn apply_edits(headers: &mut HeaderMap, edits: &HeaderEdits) {
    for name in &edits.remove {
        headers.remove(name);
    }
    for (name, value) in &edits.set {
        headers.insert(name, value.clone());
    }
    for (name, value) in &edits.add {
        headers.append(name, value.clone());
    }
}

/// Appends a member to a list header, unless it contains characters that are invalid in a header.
pub(crate) fn append(headers: &mut HeaderMap, name: HeaderName, member: &str) {
    if let Ok(value) = HeaderValue::from_str(member) {
        headers.append(name, value);
    }
}

/// Appends this hop to the Via header (RFC 9110 7.6.3).
pub(crate) fn append_via(headers: &mut HeaderMap, via: &str) {
    append(headers, header::VIA, &format!("1.1 {via}"));
}

/// Replaces the route's path prefix in a request's path and query with `replacement`. Returns them
/// unchanged if there is no replacement or the route does not match by a prefix of the path.
pub fn rewrite_target(replacement: Option<&str>, route: &Route, path_and_query: &str) -> String {
    let (path, query) = match path_and_query.find('?') {
        Some(position) => path_and_query.split_at(position),
        None => (path_and_query, ""),
    };
    let PathMatch::Prefix(prefix) = &route.rule.path else {
        return path_and_query.to_string();
    };
    let Some(replacement) = replacement else { return path_and_query.to_string() };
    let Some(remainder) = strip_path_prefix(prefix, path) else {
        return path_and_query.to_string();
    };
    let path = format!("{}{remainder}", replacement.trim_end_matches('/'));
    format!("{}{query}", if path.is_empty() { "/" } else { &path })
}

/// Creates a redirect response.
///
/// # Errors
/// The rejection, if the target contains characters that are invalid in a header.
pub(crate) fn redirect_response(
    redirect: &Redirect,
    route: &Route,
    host: &str,
    path_and_query: &str,
) -> Result<Response<ResponseBody>, Rejection> {
    let scheme = redirect.scheme.as_deref().unwrap_or("http");
    let host = redirect.host.as_deref().unwrap_or(host);
    let target = match &redirect.path {
        Some(path) => path.clone(),
        None => rewrite_target(redirect.prefix.as_deref(), route, path_and_query),
    };
    let location = HeaderValue::from_str(&format!("{scheme}://{host}{target}"));
    let location = location.map_err(|_| invalid_target("the target can't be written"))?;
    let mut response = Response::new(ResponseBody::default());
    *response.status_mut() = redirect.status;
    response.headers_mut().insert(header::LOCATION, location);
    Ok(response)
}

/// Returns the rejection of a request whose host or path cannot be forwarded or used in a redirect.
pub(crate) fn invalid_target(detail: &'static str) -> Rejection {
    Rejection::new(StatusCode::BAD_REQUEST, "target", detail)
}

/// Creates the fixed response of a route.
pub(crate) fn fixed_response(respond: &Respond) -> Response<ResponseBody> {
    let body = Bytes::copy_from_slice(respond.body.as_bytes());
    let mut response = Response::new(ResponseBody::buffered(body));
    *response.status_mut() = respond.status;
    if !respond.body.is_empty() {
        let content_type = respond.content_type.clone();
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    }
    response
}
