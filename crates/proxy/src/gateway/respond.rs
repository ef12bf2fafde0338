//! Converts the outcome of a request at its cluster to the response for the client.

use super::admission::{ClusterPermit, TenantPermit};
use super::config::ServingConfig;
use super::edits::{append_via, apply_edits};
use super::rejection::Rejection;
use crate::client::handler::ResponseBody;
use crate::cluster::request::RequestOutcome;
use crate::headers::strip_for_next_hop;
use crate::upstream::response::{UpstreamBody, UpstreamResponse};
use hyper::{Response, StatusCode};
use mintshelf_config::model::Forward;

/// The permits that a request holds until its response has ended, released in the order of the
/// fields.
pub(crate) struct RequestPermits {
    pub(crate) _cluster: Option<ClusterPermit>,
    pub(crate) _tenant: TenantPermit,
}

/// Returns the server's response if the request was served.
///
/// # Errors
/// The rejection, if the request was not served.
pub(crate) fn served_response(
    outcome: Option<RequestOutcome>,
) -> Result<UpstreamResponse, Rejection> {
    match outcome {
        Some(RequestOutcome::Served(response)) => Ok(*response),
        Some(RequestOutcome::Rejected { retry_after, ran_at }) => {
            let detail = match ran_at {
                None => "no server can take it now; it has not run",
                Some(_) => "no server can take it now; it may have run, and may be repeated",
            };
            let rejection = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "overloaded", detail);
            Err(rejection.retry_after(retry_after))
        }
        Some(RequestOutcome::RejectedDuringOutage(retry_after)) => {
            let detail = "the cluster is out or coming back; it has not run";
            let rejection = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "outage", detail);
            Err(rejection.retry_after(retry_after))
        }
        Some(RequestOutcome::Failed { timed_out: true }) => {
            let detail = "no server answered in time; it may have run";
            Err(Rejection::new(StatusCode::GATEWAY_TIMEOUT, "upstream-timeout", detail))
        }
        Some(RequestOutcome::Failed { timed_out: false }) | None => {
            Err(upstream_failed("the server broke off; it may have run"))
        }
    }
}

/// Returns the rejection of a request whose exchange with its server failed.
pub(crate) fn upstream_failed(detail: &'static str) -> Rejection {
    Rejection::new(StatusCode::BAD_GATEWAY, "upstream-failed", detail)
}

/// Converts a server's response to the response for the client.
pub(crate) fn client_response(
    serving: &ServingConfig,
    forward: &Forward,
    response: UpstreamResponse,
) -> Response<ResponseBody> {
    let UpstreamResponse { status, mut headers, body } = response;
    strip_for_next_hop(&mut headers);
    if let Some(via) = &serving.forwarding.via {
        append_via(&mut headers, via);
    }
    apply_edits(&mut headers, &forward.response);
    let body = match body {
        UpstreamBody::Complete(body) => ResponseBody::buffered(body),
        UpstreamBody::Stream(stream) => ResponseBody::Streamed(stream),
        UpstreamBody::Upgraded(_) | UpstreamBody::InvalidUpgrade => ResponseBody::default(),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
