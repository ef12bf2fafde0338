//! Errors of this side's own, as problem details (RFC 9457).

use crate::client::listener::ResponseBody;
use bytes::Bytes;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use mintshelf_balancer::api::Nanos;

/// Why a request gets no server's answer.
#[derive(Debug)]
pub struct Rejection {
    /// Its status.
    pub status: StatusCode,
    /// A stable name, for programs.
    pub code: &'static str,
    what: &'static str,
    after: Nanos,
    last: bool,
    more: &'static [(HeaderName, HeaderValue)],
}

/// What a handshake of another version is told (RFC 6455 4.4, RFC 9110 15.5.22).
static VERSION: [(HeaderName, HeaderValue); 3] = [
    (header::SEC_WEBSOCKET_VERSION, HeaderValue::from_static("13")),
    (header::UPGRADE, HeaderValue::from_static("websocket")),
    (header::CONNECTION, HeaderValue::from_static("upgrade")),
];

impl Rejection {
    /// A refusal; `what` is for people.
    pub fn new(status: StatusCode, code: &'static str, what: &'static str) -> Self {
        Rejection { status, code, what, after: 0, last: false, more: &[] }
    }

    /// Tells when to come back; 0 for nothing to tell.
    pub fn after(self, after: Nanos) -> Self {
        Rejection { after, ..self }
    }

    /// Closes the connection: what comes behind such a request can't be trusted.
    pub fn last(self) -> Self {
        Rejection { last: true, ..self }
    }

    /// Tells which version of WebSocket is spoken.
    pub fn with_version(self) -> Self {
        Rejection { more: &VERSION, ..self }
    }

    /// As it goes to the client; `bare` for one that may have no body (HEAD).
    pub fn response(&self, bare: bool) -> Response<ResponseBody> {
        let problem = serde_json::json!({
            "type": format!("urn:mintshelf:problem:{}", self.code),
            "title": self.status.canonical_reason().unwrap_or("Error"),
            "status": self.status.as_u16(),
            "detail": self.what,
            "code": self.code,
        });
        let body = if bare { Bytes::new() } else { Bytes::from(format!("{problem}\n")) };
        let mut response = Response::new(ResponseBody::whole(body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let kind = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, kind);
        if self.after > 0 {
            // Whole seconds, rounded up (RFC 9110 10.2.3).
            let seconds = self.after.div_ceil(1_000_000_000);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        for (name, value) in self.more {
            headers.insert(name, value.clone());
        }
        if self.last {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
