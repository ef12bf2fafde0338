//! Probes: whether a server is healthy, and how loaded.

use crate::headers::parse_load_report;
use crate::upstream::connection::Target;
use crate::upstream::exchange::Upstream;
use crate::upstream::request_body::RequestBody;
use hyper::{header, Request, StatusCode};
use mintshelf_balancer::api::Outcome;
use std::time::Duration;
use tokio::time::timeout;

/// How probes are made in this deployment.
#[derive(Debug)]
pub struct HealthChecker {
    /// The fields of a load report, empty where there are none.
    pub fields: Vec<String>,
    /// A probe unanswered for so long has failed.
    pub timeout: Duration,
}

impl HealthChecker {
    /// Probes a server; the outcome and its load report.
    pub async fn run(&self, upstream: &Upstream, to: Target) -> (Outcome, Option<Vec<f64>>) {
        let path = if self.fields.is_empty() { "/-/healthy" } else { "/-/load" };
        let mut request = Request::new(RequestBody::default());
        *request.uri_mut() = hyper::Uri::from_static(path);
        if let Ok(host) = to.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        match timeout(self.timeout, upstream.get(to, request)).await {
            Ok(Ok((StatusCode::OK, body))) => {
                let text = std::str::from_utf8(&body).unwrap_or_default();
                let report = parse_load_report(text, &self.fields).filter(|r| !r.is_empty());
                (Outcome::Ok, report)
            }
            Ok(Ok(_)) => (Outcome::Error, None),
            Ok(Err(outcome)) => (outcome, None),
            Err(_) => (Outcome::TimedOut, None),
        }
    }
}
