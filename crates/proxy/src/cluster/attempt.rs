//! One attempt of a request: what it is sent with, and what its end means for the request.

use super::attempt_timeouts::{self, AttemptTimeouts};
use super::pending_requests::{AttemptEnd, NewAttempt, PendingRequest};
use super::request::RequestOutcome;
use super::runtime::ClusterRuntime;
use super::state::RuntimeState;
use super::trace;
use crate::headers::parse_load_report;
use crate::upstream::attempt_control::AttemptControl;
use crate::upstream::connection::Target;
use crate::upstream::exchange::AttemptDeadlines;
use crate::upstream::request_body::RequestBody;
use crate::upstream::response::{
    AttemptResult, UpgradedConnection, UpstreamBody, UpstreamResponse,
};
use hyper::Request;
use mintshelf_balancer::api::{AttemptNumber, ClassId, Event, Outcome, RequestId, ServerId};
use mintshelf_retry::attempts::{RetryConditions, TimeoutAction};
use mintshelf_time::Nanos;
use std::rc::Rc;

impl ClusterRuntime {
    /// Starts an attempt; `timeout_at` is 0 where only the request's deadline bounds it. It ends
    /// at once, unused, where it may not be sent.
    pub(super) fn start_attempt(
        self: &Rc<Self>,
        state: &mut RuntimeState,
        id: &RequestId,
        server: ServerId,
        timeout_at: Nanos,
    ) {
        let now = self.clock.now();
        let Some(request) = state.requests.get_mut(id) else { return };
        let send_by = self.send_by(request);
        let NewAttempt { number, control, is_duplicate } = request.add_attempt(server, now);
        let end_at = match timeout_at {
            0 => request.deadline,
            at => at.min(request.deadline),
        };
        // Two attempts at one server would wait in the same queue.
        let is_excess = request.attempts.len() > self.max_attempts || is_duplicate;
        if control.has_client_left() {
            // Nobody reads the response.
            state.abort(id, RequestOutcome::Failed { timed_out: false });
        }
        let Some(request) = state.requests.get_mut(id) else { return };
        let response = request.response.clone().filter(|_| !is_excess && end_at > now);
        let Some(response) = response else {
            let end = AttemptEnd::new(number, Outcome::Unused);
            let ended = state.requests.end_attempt(id, end, now);
            state.events.extend(ended.map(|ended| ended.event));
            return;
        };
        let attempt = AttemptTask {
            runtime: self.clone(),
            id: id.clone(),
            number,
            class: request.class,
            timeouts: self.timeouts(request, number, now),
        };
        let message = self.message(request, id, number);
        let deadlines = self.deadlines(request.class, end_at, send_by);
        let target = self.source.target(server);
        trace::attempt_began(id, number, server, target.map(|target| target.address));
        response.start(Box::pin(attempt.run(target, message, deadlines, control)));
    }

    /// When a further attempt of an idempotent request has to be with a server at the latest. The
    /// module decides when it starts; its connection and its writing take time.
    fn send_by(&self, request: &PendingRequest) -> Option<Nanos> {
        let window = self.classes.get(request.class.index())?.window()?;
        Some(request.ran_at()?.saturating_add(window))
    }

    /// The request as this attempt sends it.
    fn message(
        self: &Rc<Self>,
        request: &PendingRequest,
        id: &RequestId,
        number: AttemptNumber,
    ) -> Request<RequestBody> {
        let message = request.request.request.clone();
        if let RequestBody::Streamed(body) = message.body() {
            // A body of which a part was taken can't be sent again: the module may not retry.
            let runtime = Rc::downgrade(self);
            let id = id.clone();
            body.on_first_frame(move || {
                if let Some(runtime) = runtime.upgrade() {
                    runtime.post(Event::StreamStarted { id, attempt: number });
                }
            });
        }
        message
    }

    /// The attempt's own timeouts; none for a streamed body, which can't be sent again.
    fn timeouts(
        &self,
        request: &PendingRequest,
        number: AttemptNumber,
        now: Nanos,
    ) -> Option<AttemptTimeouts> {
        if matches!(request.request.request.body(), RequestBody::Streamed(_)) {
            return None;
        }
        self.retries.timeouts(request.class, number, now)
    }

    fn deadlines(&self, class: ClassId, end_at: Nanos, send_by: Option<Nanos>) -> AttemptDeadlines {
        let bounds = self.retries.connection_bounds(class);
        AttemptDeadlines {
            end: self.clock.instant(end_at),
            send_by: send_by.map(|at| self.clock.instant(at)),
            connect_timeout: bounds.map(|bounds| bounds.connect_timeout),
            max_idle: bounds.map(|bounds| bounds.max_idle),
        }
    }

    /// Whether an attempt whose own timeout has passed is to end now; else when to look again.
    fn on_timeout(&self, class: ClassId, timeout_ns: Nanos) -> TimeoutAction {
        let conditions = RetryConditions {
            has_budget: self.state.borrow().balancer.can_retry(),
            has_other_endpoint: self.source.endpoints.len() > 1,
        };
        self.retries.on_timeout(class, self.clock.now(), timeout_ns, conditions)
    }

    /// Asks the module for a hedge of a request, if their share allows one.
    fn request_hedge(self: &Rc<Self>, class: ClassId, id: &RequestId) {
        if self.retries.try_hedge(class) {
            self.post(Event::HedgeRequested { id: id.clone() });
        }
    }
}

/// One attempt in progress.
struct AttemptTask {
    runtime: Rc<ClusterRuntime>,
    id: RequestId,
    number: AttemptNumber,
    class: ClassId,
    /// What of its own time limits it.
    timeouts: Option<AttemptTimeouts>,
}

impl AttemptTask {
    async fn run(
        self,
        target: Option<Target>,
        message: Request<RequestBody>,
        deadlines: AttemptDeadlines,
        control: Rc<AttemptControl>,
    ) {
        let result = match target {
            Some(target) => self.exchange(target, message, deadlines, &control).await,
            // It is no longer listed: there is nowhere to connect to.
            None => Outcome::ConnectFailed.into(),
        };
        self.finish(result);
    }

    async fn exchange(
        &self,
        target: Target,
        message: Request<RequestBody>,
        deadlines: AttemptDeadlines,
        control: &AttemptControl,
    ) -> AttemptResult {
        let runtime = &self.runtime;
        let attempt = runtime.upstream.attempt(target, message, deadlines, control);
        let Some(timeouts) = self.timeouts else { return attempt.await };
        let on_timeout = |timeout_ns| runtime.on_timeout(self.class, timeout_ns);
        let hedge = || runtime.request_hedge(self.class, &self.id);
        attempt_timeouts::run(attempt, timeouts, control, on_timeout, hedge).await
    }

    /// Gives the request what came of the attempt, and reports its end.
    fn finish(self, result: AttemptResult) {
        let outcome = result.outcome;
        let fields = self.runtime.report_fields.as_deref();
        let report = result.load_report.zip(fields);
        let load_report = report.and_then(|(text, fields)| parse_load_report(&text, fields));
        let Some(UpstreamResponse { status, headers, body }) = result.response else {
            return self.end(outcome, load_report);
        };
        match body {
            UpstreamBody::Stream(mut stream) => {
                let on_end = self.passed_on();
                stream.on_end(on_end);
                let body = UpstreamBody::Stream(stream);
                self.deliver(UpstreamResponse { status, headers, body });
            }
            UpstreamBody::Upgraded(mut connection) => {
                self.count_socket(&mut connection);
                let body = UpstreamBody::Upgraded(connection);
                self.deliver(UpstreamResponse { status, headers, body });
                self.runtime.socket_load.report_due();
            }
            // It may have run, and what came is no response: it must not be retried.
            UpstreamBody::InvalidUpgrade => {
                self.post_stream_started();
                self.end(Outcome::Error, load_report);
            }
            UpstreamBody::Complete(_) => {
                let response = UpstreamResponse { status, headers, body };
                self.finish_complete(response, outcome, load_report);
            }
        }
    }

    fn finish_complete(
        self,
        response: UpstreamResponse,
        outcome: Outcome,
        load_report: Option<Vec<f64>>,
    ) {
        if !matches!(outcome, Outcome::Error | Outcome::Full) {
            self.deliver(response);
        } else if let Some(request) = self.runtime.state.borrow_mut().requests.get_mut(&self.id) {
            // Another server may do better.
            request.fallback = Some(response);
        }
        self.end(outcome, load_report);
    }

    /// Reports that the response goes to the client, and none of another attempt may.
    fn post_stream_started(&self) {
        let event = Event::StreamStarted { id: self.id.clone(), attempt: self.number };
        self.runtime.post(event);
    }

    /// Reports that the response goes to the client as it arrives; what reports its end.
    fn passed_on(&self) -> impl FnOnce(Outcome) + 'static {
        self.post_stream_started();
        let responded_at = Some(self.runtime.clock.now());
        let runtime = self.runtime.clone();
        let id = self.id.clone();
        let number = self.number;
        move |outcome| {
            let end = AttemptEnd { number, outcome, load_report: None, responded_at };
            runtime.attempt_ended(&id, end);
        }
    }

    /// Counts a WebSocket in the cluster's load until its connection is dropped.
    fn count_socket(&self, connection: &mut UpgradedConnection) {
        let report_end = self.passed_on();
        let on_end = Box::new(move || report_end(Outcome::Ok));
        let guard = self.runtime.socket_load.open(connection.target.server, on_end);
        connection.load_guard = Some(Box::new(guard));
    }

    /// Gives the client its response. One that nobody waits for is dropped after the turn: a
    /// stream reports its end to the runtime when dropped.
    fn deliver(&self, response: UpstreamResponse) {
        let outcome = RequestOutcome::Served(Box::new(response));
        let undelivered = self.runtime.state.borrow_mut().requests.conclude(&self.id, outcome);
        drop(undelivered);
    }

    fn end(self, outcome: Outcome, load_report: Option<Vec<f64>>) {
        let end = AttemptEnd { number: self.number, outcome, load_report, responded_at: None };
        self.runtime.attempt_ended(&self.id, end);
    }
}
