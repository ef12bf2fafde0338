//! What routes change of requests and answers, and the answers that they give by themselves.

use crate::client::listener::ResponseBody;
use crate::gateway::rejection::Rejection;
use bytes::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use mintshelf_config::model::{Edits, Redirect, Respond, Route};
use mintshelf_routing::pattern;

/// Changes headers as a route says.
pub(crate) fn edit(headers: &mut HeaderMap, edits: &Edits) {
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

/// Adds to a list in a header.
pub(crate) fn append(headers: &mut HeaderMap, name: HeaderName, member: &str) {
    if let Ok(value) = HeaderValue::from_str(member) {
        headers.append(name, value);
    }
}

/// Tells of this hop (RFC 9110 7.6.3).
pub(crate) fn append_via(headers: &mut HeaderMap, via: &str) {
    append(headers, header::VIA, &format!("1.1 {via}"));
}

/// A target with the route's prefix replaced.
pub(crate) fn rewritten(with: Option<&str>, route: &Route, path_and_query: &str) -> String {
    let (path, query) = match path_and_query.find('?') {
        Some(at) => path_and_query.split_at(at),
        None => (path_and_query, ""),
    };
    let mintshelf_routing::PathMatch::Prefix(prefix) = &route.rule.path else {
        return path_and_query.to_string();
    };
    let rest = with.and_then(|with| Some((with, pattern::after_prefix(prefix, path)?)));
    let Some((with, rest)) = rest else { return path_and_query.to_string() };
    let path = format!("{}{rest}", with.trim_end_matches('/'));
    format!("{}{query}", if path.is_empty() { "/" } else { &path })
}

/// Sends a client elsewhere.
pub(crate) fn redirected(
    to: &Redirect,
    route: &Route,
    host: &str,
    path: &str,
) -> Result<Response<ResponseBody>, Rejection> {
    let scheme = to.scheme.as_deref().unwrap_or("http");
    let host = to.host.as_deref().unwrap_or(host);
    let target = match &to.path {
        Some(whole) => whole.clone(),
        None => rewritten(to.prefix.as_deref(), route, path),
    };
    let location = HeaderValue::from_str(&format!("{scheme}://{host}{target}"));
    let bad = |_| Rejection::new(StatusCode::BAD_REQUEST, "target", "the target can't be written");
    let location = location.map_err(bad)?;
    let mut response = Response::new(ResponseBody::whole(Bytes::new()));
    *response.status_mut() = to.status;
    response.headers_mut().insert(header::LOCATION, location);
    Ok(response)
}

/// Answers for a route.
pub(crate) fn responded(respond: &Respond) -> Response<ResponseBody> {
    let body = Bytes::copy_from_slice(respond.body.as_bytes());
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = respond.status;
    if !respond.body.is_empty() {
        let kind = respond.content_type.clone();
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
    }
    response
}

#[cfg(test)]
mod tests {
    use super::*;
    use mintshelf_config::model::Then;
    use std::sync::Arc;

    #[test]
    fn prefixes_are_replaced_by_whole_elements() {
        let route = |prefix: &str| Route {
            name: String::new(),
            line: 0,
            listeners: Vec::new(),
            rule: Arc::new(mintshelf_routing::Rule {
                path: mintshelf_routing::PathMatch::Prefix(prefix.into()),
                ..Default::default()
            }),
            class: String::new(),
            policy: String::new(),
            limit: Default::default(),
            effect: None,
            then: Then::Respond(Respond {
                status: StatusCode::OK,
                body: String::new(),
                content_type: HeaderValue::from_static("a/b"),
            }),
        };
        for (prefix, with, path, out) in [
            ("/a", Some("/b"), "/a/c?d=/a", "/b/c?d=/a"),
            ("/a", Some("/"), "/a?x", "/?x"),
            ("/a/", Some("/b/"), "/a/c", "/b/c"),
            ("/", Some("/b"), "/c", "/b/c"),
            ("/a", None, "/a/c", "/a/c"),
        ] {
            assert_eq!(rewritten(with, &route(prefix), path), out, "{prefix} {path}");
        }
    }
}
