//! The admin listener, which serves metrics, the applied configuration and readiness.

use crate::daemon::Daemon;
use crate::metrics;
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Response, StatusCode};
use mintshelf_proxy::client::handler::{ClientRequest, RequestHandler, ResponseBody};
use mintshelf_proxy::gateway::rejection::Rejection;
use std::rc::Rc;

/// Content type of the metrics page.
const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves `/-/metrics`, `/-/config` and `/-/ready`.
pub struct AdminHandler {
    /// The daemon whose state is served.
    pub daemon: Rc<Daemon>,
}

/// The content of a successful response.
struct Page {
    content_type: &'static str,
    text: String,
}

impl AdminHandler {
    fn page(&self, path: &str, is_draining: bool) -> Result<Page, Rejection> {
        match path {
            "/-/metrics" => Ok(Page {
                content_type: OPENMETRICS_CONTENT_TYPE,
                text: metrics::encode(&self.daemon),
            }),
            "/-/config" => {
                let text = format!("{}\n", self.daemon.applied_config());
                Ok(Page { content_type: "application/json", text })
            }
            "/-/ready" if is_draining => {
                let reason = "the planned end has begun";
                Err(Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "draining", reason))
            }
            "/-/ready" => Ok(Page { content_type: "text/plain", text: "ready\n".to_string() }),
            _ => {
                let reason = "there are /-/metrics, /-/config and /-/ready";
                Err(Rejection::new(StatusCode::NOT_FOUND, "no-page", reason))
            }
        }
    }
}

impl RequestHandler for AdminHandler {
    async fn respond(self: Rc<Self>, request: ClientRequest) -> Response<ResponseBody> {
        let ClientRequest { head, request, is_draining, .. } = request;
        let is_head = request.method() == Method::HEAD;
        if let Some(ambiguity) = head.ambiguity {
            return Rejection::ambiguous_framing(ambiguity.reason()).response(is_head);
        }
        if request.method() != Method::GET && !is_head {
            let reason = "the admin listener only tells";
            let rejection = Rejection::new(StatusCode::METHOD_NOT_ALLOWED, "method", reason);
            return rejection.response(is_head);
        }
        let page = match self.page(request.uri().path(), is_draining) {
            Ok(page) => page,
            Err(rejection) => return rejection.response(is_head),
        };
        let body = if is_head { Bytes::new() } else { Bytes::from(page.text) };
        let mut response = Response::new(ResponseBody::buffered(body));
        let content_type = HeaderValue::from_static(page.content_type);
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }
}
