//! Rejections of requests that violate the platform's protocol.

use bytes::Bytes;
use hyper::StatusCode;
use thiserror::Error;

/// The status and text of the response with which the sidecar rejects a request.
#[derive(Debug, Clone, Copy, Error)]
#[error("{status}: {detail}")]
pub(crate) struct RejectedRequest {
    pub(crate) status: StatusCode,
    /// The body of the response.
    detail: &'static str,
}

impl RejectedRequest {
    pub(crate) fn new(status: StatusCode, detail: &'static str) -> Self {
        RejectedRequest { status, detail }
    }

    /// Rejects a malformed request with 400.
    pub(crate) fn bad_request(detail: &'static str) -> Self {
        RejectedRequest::new(StatusCode::BAD_REQUEST, detail)
    }

    /// Returns the body of the response.
    pub(crate) fn body(&self) -> Bytes {
        Bytes::from_static(self.detail.as_bytes())
    }
}
