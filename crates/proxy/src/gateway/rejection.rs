//! Requests that this side rejects, and its responses to them: problem details (RFC 9457).

use crate::client::handler::ResponseBody;
use bytes::Bytes;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use mintshelf_time::{Nanos, SECOND};
use thiserror::Error;

/// Why a request gets no server's response.
#[derive(Debug, Error)]
#[error("{code}: {detail}")]
pub struct Rejection {
    /// The status of the response.
    pub status: StatusCode,
    /// A stable name, for programs.
    pub code: &'static str,
    /// What happened, for people.
    detail: &'static str,
    /// When the client may retry, in nanoseconds; absent where the response does not say.
    retry_after: Option<Nanos>,
    closes_connection: bool,
    extra_headers: &'static [(HeaderName, HeaderValue)],
}

/// What a handshake of another version is answered with (RFC 6455 4.4, RFC 9110 15.5.22).
static WEBSOCKET_VERSION: [(HeaderName, HeaderValue); 3] = [
    (header::SEC_WEBSOCKET_VERSION, HeaderValue::from_static("13")),
    (header::UPGRADE, HeaderValue::from_static("websocket")),
    (header::CONNECTION, HeaderValue::from_static("upgrade")),
];

impl Rejection {
    /// A rejection; `detail` is for people.
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

    /// States when the client may retry, in nanoseconds from now; nothing for 0.
    #[must_use]
    pub fn retry_after(self, retry_after: Nanos) -> Self {
        Rejection { retry_after: Some(retry_after).filter(|wait| *wait > 0), ..self }
    }

    /// Closes the connection: what follows such a request on it can't be trusted.
    #[must_use]
    pub fn closing_connection(self) -> Self {
        Rejection { closes_connection: true, ..self }
    }

    /// Says which version of WebSocket is spoken.
    #[must_use]
    pub fn with_websocket_version(self) -> Self {
        Rejection { extra_headers: &WEBSOCKET_VERSION, ..self }
    }

    /// The response to the client; `is_head` for one that may have no body (HEAD).
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
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
