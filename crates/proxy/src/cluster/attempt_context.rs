//! The context that all attempts of a cluster share: clock, classes and connections to its servers.

use super::attempt_timeouts::AttemptTimeouts;
use super::pending_requests::PendingRequest;
use super::retry_trackers::RetryTrackers;
use super::socket_load::SocketLoad;
use super::spec::ClusterSpec;
use crate::clock::Clock;
use crate::headers::parse_load_report;
use crate::upstream::exchange::AttemptDeadlines;
use crate::upstream::pool::Upstream;
use crate::upstream::request_body::RequestBody;
use mintshelf_balancer::api::{AttemptNumber, Class, ClassId};
use mintshelf_retry::attempts::{RetryConditions, TimeoutAction};
use mintshelf_time::Nanos;
use std::rc::Rc;

/// The context that all attempts of a cluster share. It excludes the decision module's state, which
/// only the runtime changes.
pub(super) struct AttemptContext {
    pub(super) clock: Clock,
    pub(super) classes: Vec<Class>,
    /// Maximum number of attempts of one request.
    pub(super) max_attempts: usize,
    pub(super) upstream: Rc<Upstream>,
    pub(super) retries: RetryTrackers,
    pub(super) socket_load: Rc<SocketLoad>,
    /// Fields of the load reports in responses; `None` if responses carry no reports.
    pub(super) report_fields: Option<Vec<String>>,
}

impl AttemptContext {
    /// Creates the context of a cluster from its spec.
    pub(super) fn new(spec: &ClusterSpec, upstream: Rc<Upstream>, clock: Clock) -> Self {
        AttemptContext {
            clock,
            classes: spec.settings.classes.clone(),
            max_attempts: spec.settings.max_attempts as usize,
            upstream,
            retries: RetryTrackers::new(spec.retry_policies.clone(), clock.now()),
            socket_load: SocketLoad::new(spec.socket_weight),
            report_fields: spec.response_report_fields(),
        }
    }

    /// Returns the latest time at which a retry or hedge of an idempotent request may be sent:
    /// after it, servers may have dropped the request's idempotency key. The decision module checks
    /// when an attempt starts, but connecting and writing take further time.
    pub(super) fn send_by(&self, request: &PendingRequest) -> Option<Nanos> {
        let window = self.classes.get(request.class.index())?.resend_window()?;
        Some(request.ran_at()?.saturating_add(window))
    }

    /// Returns the deadlines of an attempt that ends at `end_at` and must be sent by `send_by`.
    pub(super) fn deadlines(
        &self,
        class: ClassId,
        end_at: Nanos,
        send_by: Option<Nanos>,
    ) -> AttemptDeadlines {
        let bounds = self.retries.connection_bounds(class);
        AttemptDeadlines {
            end: self.clock.instant(end_at),
            send_by: send_by.map(|at| self.clock.instant(at)),
            connect_timeout: bounds.map(|bounds| bounds.connect_timeout),
            max_idle: bounds.map(|bounds| bounds.max_idle),
        }
    }

    /// Returns the timeouts of an attempt itself; `None` for a streamed body, which can't be sent
    /// again.
    pub(super) fn timeouts(
        &self,
        request: &PendingRequest,
        number: AttemptNumber,
        now: Nanos,
    ) -> Option<AttemptTimeouts> {
        if matches!(request.upstream_request.message.body(), RequestBody::Streamed(_)) {
            return None;
        }
        self.retries.timeouts(request.class, number, now)
    }

    /// Decides what happens to an attempt whose own timeout has passed; `has_budget` is whether the
    /// retry budget allows a retry.
    pub(super) fn on_timeout(
        &self,
        class: ClassId,
        timeout_ns: Nanos,
        has_budget: bool,
    ) -> TimeoutAction {
        let has_other_endpoint = self.upstream.endpoint_count() > 1;
        let conditions = RetryConditions { has_budget, has_other_endpoint };
        self.retries.on_timeout(class, self.clock.now(), timeout_ns, conditions)
    }

    /// Parses the load report of a response, if responses of this cluster carry one.
    pub(super) fn parse_load_report(&self, text: Option<&str>) -> Option<Vec<f64>> {
        parse_load_report(text?, self.report_fields.as_deref()?)
    }
}
