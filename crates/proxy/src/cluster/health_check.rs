//! Health checks of servers, with their load reports.

use super::spec::ClusterSpec;
use crate::clock::Clock;
use crate::headers::parse_load_report;
use crate::platform_protocol::{HEALTH_PATH, LOAD_PATH};
use crate::upstream::connection::Target;
use crate::upstream::pool::Upstream;
use crate::upstream::request_body::RequestBody;
use bytes::Bytes;
use hyper::{header, Request, StatusCode, Uri};
use mintshelf_balancer::api::{Event, Outcome, ServerId};
use mintshelf_time::Nanos;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Performs the health checks of a cluster.
pub(super) struct HealthChecker {
    /// The fields of a load report; empty if servers send none.
    report_fields: Vec<String>,
    /// A check without a response for this long has failed.
    timeout: Duration,
    upstream: Rc<Upstream>,
    clock: Clock,
}

/// The result of a health check.
struct HealthCheckResult {
    outcome: Outcome,
    /// The load report's values, in the order of the fields.
    load_report: Option<Vec<f64>>,
}

impl From<Outcome> for HealthCheckResult {
    fn from(outcome: Outcome) -> Self {
        HealthCheckResult { outcome, load_report: None }
    }
}

impl HealthCheckResult {
    /// Builds the event of a check that took `elapsed` nanoseconds.
    fn event(self, server: ServerId, elapsed: Nanos) -> Event {
        let HealthCheckResult { outcome, load_report } = self;
        Event::Probed { server, outcome, elapsed, report: load_report }
    }
}

/// Returns the event for a server that is no longer listed, so that it can't be checked.
pub(super) fn unlisted_server(server: ServerId) -> Event {
    HealthCheckResult::from(Outcome::ConnectFailed).event(server, 0)
}

impl HealthChecker {
    /// Creates a checker of a cluster's servers.
    pub(super) fn new(spec: &ClusterSpec, upstream: Rc<Upstream>, clock: Clock) -> Self {
        let report_fields = spec.health_report_fields();
        let timeout = Duration::from_nanos(spec.settings.connect_timeout);
        HealthChecker { report_fields, timeout, upstream, clock }
    }

    /// Checks a server; returns the event that reports the result.
    pub(super) async fn check(&self, target: Target) -> Event {
        let sent_at = self.clock.now();
        let result = self.exchange(target).await;
        let elapsed = self.clock.now().saturating_sub(sent_at);
        result.event(target.server, elapsed)
    }

    async fn exchange(&self, target: Target) -> HealthCheckResult {
        match timeout(self.timeout, self.upstream.get(target, self.request(target))).await {
            Ok(Ok((StatusCode::OK, body))) => self.healthy(&body),
            Ok(Ok(_)) => Outcome::Error.into(),
            Ok(Err(outcome)) => outcome.into(),
            Err(_) => Outcome::TimedOut.into(),
        }
    }

    fn request(&self, target: Target) -> Request<RequestBody> {
        let path = if self.report_fields.is_empty() { HEALTH_PATH } else { LOAD_PATH };
        let mut request = Request::new(RequestBody::default());
        *request.uri_mut() = Uri::from_static(path);
        if let Ok(host) = target.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }

    /// Returns the result of a check that a server answered with 200.
    fn healthy(&self, body: &Bytes) -> HealthCheckResult {
        let text = std::str::from_utf8(body).unwrap_or_default();
        let report = parse_load_report(text, &self.report_fields);
        let load_report = report.filter(|report| !report.is_empty());
        HealthCheckResult { outcome: Outcome::Ok, load_report }
    }
}
