//! Rejections of requests by this proxy, and their responses: problem details (RFC 9457).

use crate::client::handler::ResponseBody;
use crate::headers::close_connection;
use bytes::Bytes;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use mintshelf_time::{Nanos, SECOND};
use thiserror::Error;

/// The response that the proxy itself gives to a request in place of a server's response.
#[derive(Debug, Error)]
#[error("{code}: {detail}")]
pub struct Rejection {
    /// The HTTP status of the response.
    pub status: StatusCode,
    /// A stable, machine-readable name of the cause of the rejection.
    pub code: &'static str,
    /// The reason of the rejection, as text for people.
    detail: &'static str,
    /// The delay before the client may retry, in nanoseconds; `None` for no Retry-After header.
    retry_after: Option<Nanos>,
    closes_connection: bool,
    extra_headers: &'static [(HeaderName, HeaderValue)],
}

/// Response headers for a handshake with another version (RFC 6455 4.4, RFC 9110 15.5.22).
static WEBSOCKET_VERSION: [(HeaderName, HeaderValue); 3] = [
    (header::SEC_WEBSOCKET_VERSION, HeaderValue::from_static("13")),
    (header::UPGRADE, HeaderValue::from_static("websocket")),
    (header::CONNECTION, HeaderValue::from_static("upgrade")),
];

impl Rejection {
    /// Creates a rejection with a human-readable `detail`.
    #[must_use]
    pub fn new(status: StatusCode, code: &'static str, detail: &'static str) -> Self {
        Rejection {
            status,
            code,
            detail,
            retry_after: None,
            closes_connection: false,
            extra_headers: &[],
        }
    }

    /// Creates the rejection of a request whose end two recipients may find at different places.
    #[must_use]
    pub fn ambiguous_framing(detail: &'static str) -> Self {
        Rejection::new(StatusCode::BAD_REQUEST, "doubtful-framing", detail).closing_connection()
    }

    /// Sets when the client may retry, in nanoseconds from now; 0 adds no Retry-After.
    #[must_use]
    pub fn retry_after(self, retry_after: Nanos) -> Self {
        Rejection { retry_after: Some(retry_after).filter(|wait| *wait > 0), ..self }
    }

    /// Makes the response close the client's connection, as bytes after the rejected request cannot
    /// be trusted.
    #[must_use]
    pub fn closing_connection(self) -> Self {
        Rejection { closes_connection: true, ..self }
    }

    /// Adds headers that state the supported WebSocket version.
    #[must_use]
    pub fn with_websocket_version(self) -> Self {
        Rejection { extra_headers: &WEBSOCKET_VERSION, ..self }
    }

    /// Creates the response to the client, without a body if `is_head` states that the request is a
    /// HEAD.
    pub fn response(&self, is_head: bool) -> Response<ResponseBody> {
        let problem = serde_json::json!({
            "type": format!("urn:mintshelf:problem:{}", self.code),
            "title": self.status.canonical_reason().unwrap_or("Error"),
            "status": self.status.as_u16(),
            "detail": self.detail,
            "code": self.code,
        });
        let body = if is_head { Bytes::new() } else { Bytes::from(format!("{problem}\n")) };
        let mut response = Response::new(ResponseBody::buffered(body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        if let Some(retry_after) = self.retry_after {
            // Whole seconds, rounded up (RFC 9110 10.2.3).
            let seconds = retry_after.div_ceil(SECOND);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        for (name, value) in self.extra_headers {
            headers.insert(name, value.clone());
        }
        if self.closes_connection {
            close_connection(headers);
        }
        response
    }
}
