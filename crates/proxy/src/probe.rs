//! Probes: whether a server is healthy, and how loaded.

use crate::body::Outbound;
use crate::link::To;
use crate::message::parse_report;
use crate::upstream::Upstream;
use hyper::{header, Request, StatusCode};
use mintshelf_balancer::api::Outcome;
use std::time::Duration;
use tokio::time::timeout;

/// How probes are made in this deployment.
#[derive(Debug)]
pub struct Probing {
    /// The fields of a load report, empty where there are none.
    pub fields: Vec<String>,
    /// A probe unanswered for so long has failed.
    pub timeout: Duration,
}

impl Probing {
    /// Probes a server; the outcome and its load report.
    pub async fn run(&self, upstream: &Upstream, to: To) -> (Outcome, Option<Vec<f64>>) {
        let path = if self.fields.is_empty() { "/-/healthy" } else { "/-/load" };
        let mut request = Request::new(Outbound::default());
        *request.uri_mut() = hyper::Uri::from_static(path);
        if let Ok(host) = to.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        match timeout(self.timeout, upstream.get(to, request)).await {
            Ok(Ok((StatusCode::OK, body))) => {
                let text = std::str::from_utf8(&body).unwrap_or_default();
                let report = parse_report(text, &self.fields).filter(|r| !r.is_empty());
                (Outcome::Ok, report)
            }
            Ok(Ok(_)) => (Outcome::Error, None),
            Ok(Err(outcome)) => (outcome, None),
            Err(_) => (Outcome::TimedOut, None),
        }
    }
}
