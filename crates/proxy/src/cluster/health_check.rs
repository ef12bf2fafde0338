//! Health checks: whether a server is healthy, and how loaded.

use crate::headers::parse_load_report;
use crate::platform_protocol::{HEALTH_PATH, LOAD_PATH};
use crate::upstream::connection::Target;
use crate::upstream::pool::Upstream;
use crate::upstream::request_body::RequestBody;
use hyper::{header, Request, StatusCode, Uri};
use mintshelf_balancer::api::Outcome;
use std::time::Duration;
use tokio::time::timeout;

/// How health checks are made in a cluster.
#[derive(Debug)]
pub struct HealthChecker {
    /// The fields of a load report; empty where servers send none.
    pub report_fields: Vec<String>,
    /// A check that is unanswered for this long has failed.
    pub timeout: Duration,
}

/// What a health check found.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheckResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The load report's values, in the order of the fields.
    pub load_report: Option<Vec<f64>>,
}

impl From<Outcome> for HealthCheckResult {
    fn from(outcome: Outcome) -> Self {
        HealthCheckResult { outcome, load_report: None }
    }
}

impl HealthChecker {
    /// Checks a server.
    pub async fn check(&self, upstream: &Upstream, target: Target) -> HealthCheckResult {
        let path = if self.report_fields.is_empty() { HEALTH_PATH } else { LOAD_PATH };
        let mut request = Request::new(RequestBody::default());
        *request.uri_mut() = Uri::from_static(path);
        if let Ok(host) = target.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        match timeout(self.timeout, upstream.get(target, request)).await {
            Ok(Ok((StatusCode::OK, body))) => {
                let text = std::str::from_utf8(&body).unwrap_or_default();
                let report = parse_load_report(text, &self.report_fields);
                let load_report = report.filter(|report| !report.is_empty());
                HealthCheckResult { outcome: Outcome::Ok, load_report }
            }
            Ok(Ok(_)) => Outcome::Error.into(),
            Ok(Err(outcome)) => outcome.into(),
            Err(_) => Outcome::TimedOut.into(),
        }
    }
}
