//! Handles the platform's requests to its cluster, from the request head to the response.

use super::metadata::{missing_transaction_id, read_metadata};
use super::rejection::RejectedRequest;
use super::request_body::read_body;
use crate::budget::{BodyBudgets, ResourceBudget};
use crate::client::connection::{Client, Phase};
use crate::client::handler::{ClientRequest, RequestHandler, ResponseBody};
use crate::client::request_body::ClientBody;
use crate::client::scanned_head::ScannedHead;
use crate::cluster::request::{RequestMetadata, RequestOutcome, UpstreamRequest};
use crate::cluster::runtime::ClusterRuntime;
use crate::headers::{close_connection, strip_hop_by_hop, HEADERS_MAX};
use crate::loop_monitor::LoopMonitor;
use crate::platform_protocol::{READY_PATH, TRANSACTION_ID};
use bytes::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode, Version};
use mintshelf_balancer::api::Settings;
use mintshelf_config::platform::Names;
use mintshelf_retry::shutdown::ShutdownDeadlines;
use mintshelf_time::{as_seconds, from_duration, Nanos, SECOND};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep_until;

/// Retry-After of rejections during the shutdown, in nanoseconds: the next process has started by
/// then.
const RESTART_RETRY_AFTER: Nanos = SECOND;

/// Responds to requests in the platform's protocol.
pub struct PlatformHandler {
    runtime: Rc<ClusterRuntime>,
    settings: Settings,
    names: Names,
    body_budgets: BodyBudgets,
    loop_monitor: LoopMonitor,
    /// `None` until the shutdown is announced.
    shutdown: Cell<Option<ShutdownDeadlines>>,
}

impl PlatformHandler {
    /// Creates a handler that sends requests to one cluster.
    pub fn new(
        runtime: Rc<ClusterRuntime>,
        settings: Settings,
        names: Names,
        budget: &ResourceBudget,
    ) -> Rc<Self> {
        let body_budgets = budget.for_bodies();
        let shutdown = Cell::new(None);
        let loop_monitor = LoopMonitor::start();
        Rc::new(PlatformHandler { runtime, settings, names, body_budgets, loop_monitor, shutdown })
    }

    /// Announces the shutdown and returns when all requests in flight have their final responses.
    /// `longest_deadline` is the longest deadline of all classes.
    pub async fn shut_down(&self, longest_deadline: Duration) {
        let clock = self.runtime.clock();
        let deadlines = ShutdownDeadlines::new(clock.now(), from_duration(longest_deadline));
        self.shutdown.set(Some(deadlines));
        sleep_until(clock.instant(deadlines.final_response_at())).await;
        self.runtime.resolve_all(self.restart_retry_after());
    }

    fn restart_retry_after(&self) -> Nanos {
        RESTART_RETRY_AFTER.min(self.settings.max_retry_after)
    }

    /// Reads a request completely and returns its final outcome. The stages are: head, body,
    /// deadlines of the shutdown, decision module. The client may have waited for up to
    /// `wait_before_read` since it sent the request.
    async fn handle(
        &self,
        client: &Rc<Client>,
        request: Request<ClientBody>,
        wait_before_read: Duration,
    ) -> Result<RequestOutcome, RejectedRequest> {
        let (mut head, mut body) = request.into_parts();
        let mut metadata = read_metadata(&head.headers, &self.settings, &self.names)?;
        let transaction_id = head.headers.get(TRANSACTION_ID).cloned();
        let transaction_id = transaction_id.ok_or_else(missing_transaction_id)?;
        let client_timeout = metadata.client_timeout;
        let body = read_body(&self.body_budgets, client, &mut body, client_timeout).await?;
        client.enter(Phase::Busy);
        // The client's timeout starts when it has sent the last byte. That byte may have arrived
        // after the head, or before there was capacity for the body.
        let wait_before_read = wait_before_read.max(self.loop_monitor.lag()) + body.capacity_wait;
        metadata.client_timeout =
            metadata.client_timeout.saturating_sub(from_duration(wait_before_read));
        rewrite_head(&mut head)?;
        if let Some(rejected) = self.apply_shutdown(&mut metadata) {
            return Ok(rejected);
        }
        let request = UpstreamRequest {
            message: Rc::new(Request::from_parts(head, body.body)),
            transaction_id: Some(transaction_id),
            body_permit: body.permit,
            memory: client.memory_account(),
            client: Some(client.clone()),
        };
        let outcome = self.runtime.serve(metadata, request).await;
        outcome.ok_or(RejectedRequest::new(
            StatusCode::CONFLICT,
            "X-Txn is that of an earlier request\n",
        ))
    }

    /// Limits the client timeout to the time that the shutdown leaves. Returns the rejection if no
    /// time is left.
    fn apply_shutdown(&self, metadata: &mut RequestMetadata) -> Option<RequestOutcome> {
        let deadlines = self.shutdown.get()?;
        let now = self.runtime.clock().now();
        if let Some(client_timeout) = deadlines.limit_timeout(now, metadata.client_timeout) {
            metadata.client_timeout = client_timeout;
            return None;
        }
        let retry_after = self.restart_retry_after();
        Some(RequestOutcome::Rejected { retry_after, ran_at: None })
    }
}

/// Rewrites a request head to the form that is sent to servers.
fn rewrite_head(head: &mut Parts) -> Result<(), RejectedRequest> {
    strip_hop_by_hop(&mut head.headers);
    head.version = Version::HTTP_11;
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    head.uri = path.parse().map_err(|_| RejectedRequest::bad_request("path\n"))?;
    Ok(())
}

impl RequestHandler for PlatformHandler {
    const HEADERS_MAX: Option<usize> = Some(HEADERS_MAX);

    fn loop_lag(&self) -> Duration {
        self.loop_monitor.lag()
    }

    async fn respond(self: Rc<Self>, request: ClientRequest) -> Response<ResponseBody> {
        let ClientRequest { client, head, request, is_draining } = request;
        let wait_before_read = client.take_accept_wait().max(self.loop_monitor.lag());
        let wait_before_read = wait_before_read + client.take_memory_wait();
        if let Err(rejected) = check_framing(head) {
            return rejected_response(&rejected);
        }
        let mut response = if request.uri().path() == READY_PATH {
            ready_response(is_draining)
        } else {
            match self.handle(&client, request, wait_before_read).await {
                Ok(outcome) => outcome_response(outcome),
                Err(rejected) => rejected_response(&rejected),
            }
        };
        if head.ambiguity.is_some() || client.is_body_ambiguous() {
            // Where the next request begins is not known.
            close_connection(response.headers_mut());
        }
        response
    }
}

/// Rejects a request that may hide another one in its body, or that may be hidden itself.
fn check_framing(head: ScannedHead) -> Result<(), RejectedRequest> {
    if head.is_framed_twice() {
        return Err(RejectedRequest::bad_request("Content-Length and Transfer-Encoding\n"));
    }
    if !head.is_scanned() {
        return Err(RejectedRequest::bad_request("behind a request with an unclear end\n"));
    }
    Ok(())
}

fn ready_response(is_draining: bool) -> Response<ResponseBody> {
    if is_draining {
        text_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"draining\n"))
    } else {
        text_response(StatusCode::OK, Bytes::from_static(b"ready\n"))
    }
}

fn outcome_response(outcome: RequestOutcome) -> Response<ResponseBody> {
    match outcome {
        RequestOutcome::Served(served) => {
            let mut response = text_response(StatusCode::OK, served.body.into_bytes());
            *response.headers_mut() = served.headers;
            strip_hop_by_hop(response.headers_mut());
            response
        }
        RequestOutcome::Rejected { retry_after, .. }
        | RequestOutcome::RejectedDuringOutage(retry_after) => {
            let body = Bytes::from_static(b"refused\n");
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, body);
            let seconds = format!("{:.3}", as_seconds(retry_after));
            let seconds = HeaderValue::from_str(&seconds).ok();
            if let Some(seconds) = seconds.filter(|_| retry_after > 0) {
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            response
        }
        RequestOutcome::Failed { .. } => {
            text_response(StatusCode::BAD_GATEWAY, Bytes::from_static(b"failed\n"))
        }
    }
}

/// Returns the response to a request that violates the protocol. The response closes the
/// connection, as later bytes on the connection cannot be trusted either.
fn rejected_response(rejected: &RejectedRequest) -> Response<ResponseBody> {
    let mut response = text_response(rejected.status, rejected.body());
    close_connection(response.headers_mut());
    response
}

fn text_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(body));
    *response.status_mut() = status;
    response
}
