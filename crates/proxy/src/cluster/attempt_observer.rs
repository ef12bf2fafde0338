//! Logs how attempts end, and reports servers that are suspected to have failed to the owner of
//! other connections to them.

use super::attempt_record::EndedAttempt;
use crate::clock::Clock;
use crate::endpoints::Endpoints;
use crate::request_log::RequestLog;
use mintshelf_balancer::api::{Outcome, RequestId, ServerId};
use mintshelf_time::{MICROSECOND, MILLISECOND};
use std::cell::RefCell;
use tracing::{debug, Level};

type SuspectedFailureCallback = Box<dyn Fn(ServerId)>;

/// The log of a cluster's attempts.
struct ClusterLog {
    cluster: String,
    log: RequestLog,
}

/// Observes how the attempts of a cluster end.
pub(crate) struct AttemptObserver {
    clock: Clock,
    endpoints: Endpoints,
    /// The log of the attempts; `None` if single requests are not logged.
    log: Option<ClusterLog>,
    on_suspected_failure: RefCell<Option<SuspectedFailureCallback>>,
}

impl AttemptObserver {
    /// Creates an observer that logs under the name of the cluster, or not at all without one;
    /// `endpoints` has the servers' addresses.
    pub(crate) fn new(cluster: Option<String>, endpoints: Endpoints, clock: Clock) -> Self {
        let log = cluster.map(|cluster| ClusterLog { cluster, log: RequestLog::new(&clock) });
        AttemptObserver { clock, endpoints, log, on_suspected_failure: RefCell::default() }
    }

    /// Sets the callback for each server at which an attempt failed to connect, was reset or timed
    /// out.
    pub(crate) fn on_suspected_failure(&self, callback: SuspectedFailureCallback) {
        *self.on_suspected_failure.borrow_mut() = Some(callback);
    }

    /// Logs the end of an attempt, and reports the server if the server is suspected to have
    /// failed.
    pub(crate) fn attempt_ended(&self, id: &RequestId, ended: &EndedAttempt) {
        debug!(
            request = %id,
            attempt = ended.number.get() + 1,
            server = ended.server,
            outcome = ?ended.outcome,
            took_us = ended.elapsed / MICROSECOND,
            "attempt concluded"
        );
        self.log_failure(ended);
        if matches!(ended.outcome, Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut) {
            if let Some(callback) = &*self.on_suspected_failure.borrow() {
                callback(ended.server);
            }
        }
    }

    fn log_failure(&self, ended: &EndedAttempt) {
        if matches!(ended.outcome, Outcome::Ok | Outcome::Rejected | Outcome::Cancelled) {
            return;
        }
        let Some(ClusterLog { cluster, log }) = &self.log else { return };
        if !tracing::enabled!(Level::INFO) {
            return;
        }
        let Some(omitted) = log.try_write(&self.clock) else { return };
        let endpoint = self.endpoints.address(ended.server);
        let endpoint = endpoint.map(|address| address.to_string()).unwrap_or_default();
        tracing::info!(
            %cluster,
            endpoint,
            attempt = ended.number.get() + 1,
            outcome = ?ended.outcome,
            took_ms = ended.elapsed / MILLISECOND,
            omitted,
            "attempt ended"
        );
    }
}
