//! One attempt of a request: its exchange with a server, and how its result is handled.
//!
//! An attempt is started by `attempt_start.rs`, exchanges the request with its server under its
//! deadlines and its own timeout (a hedge may be requested meanwhile), delivers the response to the
//! client and reports its outcome.

use super::attempt_context::AttemptContext;
use super::attempt_record::AttemptEnd;
use super::attempt_supervisor::AttemptSupervisor;
use super::attempt_timeouts::{self, AttemptTimeouts};
use crate::upstream::attempt_control::AttemptControl;
use crate::upstream::connection::Target;
use crate::upstream::exchange::{AttemptDeadlines, AttemptMessage};
use crate::upstream::response::{
    AttemptResult, UpgradedConnection, UpstreamBody, UpstreamResponse,
};
use mintshelf_balancer::api::{AttemptNumber, ClassId, Event, Outcome, RequestId};
use std::rc::Rc;

/// One attempt in progress.
pub(super) struct AttemptTask<S> {
    pub(super) context: Rc<AttemptContext>,
    pub(super) supervisor: Rc<S>,
    pub(super) id: RequestId,
    pub(super) number: AttemptNumber,
    pub(super) class: ClassId,
    /// Timeouts of the attempt itself, in addition to its request's deadline.
    pub(super) timeouts: Option<AttemptTimeouts>,
}

impl<S: AttemptSupervisor> AttemptTask<S> {
    /// Runs the attempt to its end; `target` is `None` if the server is no longer listed.
    pub(super) async fn run(
        self,
        target: Option<Target>,
        message: AttemptMessage,
        deadlines: AttemptDeadlines,
        control: Rc<AttemptControl>,
    ) {
        let result = match target {
            Some(target) => self.exchange(target, message, deadlines, &control).await,
            None => Outcome::ConnectFailed.into(),
        };
        self.finish(result);
    }

    async fn exchange(
        &self,
        target: Target,
        message: AttemptMessage,
        deadlines: AttemptDeadlines,
        control: &AttemptControl,
    ) -> AttemptResult {
        let context = &self.context;
        let attempt = context.upstream.attempt(target, message, deadlines, control);
        let Some(timeouts) = self.timeouts else { return attempt.await };
        let on_timeout =
            |timeout_ns| context.on_timeout(self.class, timeout_ns, self.supervisor.can_retry());
        let hedge = || self.request_hedge();
        attempt_timeouts::run(attempt, timeouts, control, on_timeout, hedge).await
    }

    /// Requests a hedge from the decision module, if the hedge budget of the class allows one.
    fn request_hedge(&self) {
        if self.context.retries.try_hedge(self.class) {
            self.supervisor.handle(Event::HedgeRequested { id: self.id.clone() });
        }
    }

    /// Delivers the response, if there is one, and reports how the attempt ended.
    fn finish(self, result: AttemptResult) {
        let outcome = result.outcome;
        let load_report = self.context.parse_load_report(result.load_report.as_deref());
        let Some(response) = result.response else {
            return self.end(outcome, load_report);
        };
        let UpstreamResponse { status, headers, body } = response;
        match body {
            // The client would take what this server states of its attempt as true of the request.
            UpstreamBody::Stream(_) if outcome.never_ran() && self.others_may_have_run() => {
                self.end(outcome, load_report);
            }
            UpstreamBody::Stream(mut stream) => {
                stream.on_end(self.stream_response());
                let body = UpstreamBody::Stream(stream);
                self.deliver(UpstreamResponse { status, headers, body });
            }
            UpstreamBody::Upgraded(mut connection) => {
                self.count_socket(&mut connection);
                let body = UpstreamBody::Upgraded(connection);
                self.deliver(UpstreamResponse { status, headers, body });
                self.context.socket_load.report_due();
            }
            // The request may have run, but the response is unusable: it must not be retried.
            UpstreamBody::InvalidUpgrade => {
                self.report_stream_started();
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
        if matches!(outcome, Outcome::Error | Outcome::Full) {
            self.supervisor.store_fallback(&self.id, outcome, response);
        } else {
            self.deliver(response);
        }
        self.end(outcome, load_report);
    }

    fn others_may_have_run(&self) -> bool {
        self.supervisor.others_may_have_run(&self.id, self.number)
    }

    /// Reports that this attempt's response goes to the client, so that no other attempt's may.
    fn report_stream_started(&self) {
        let event = Event::StreamStarted { id: self.id.clone(), attempt: self.number };
        self.supervisor.handle(event);
    }

    /// Reports that the response is streamed to the client; returns a callback that reports its end.
    fn stream_response(&self) -> impl FnOnce(Outcome) + 'static {
        self.report_stream_started();
        let responded_at = Some(self.context.clock.now());
        let supervisor = self.supervisor.clone();
        let id = self.id.clone();
        let number = self.number;
        move |outcome| {
            let end = AttemptEnd { number, outcome, load_report: None, responded_at };
            supervisor.attempt_ended(&id, end);
        }
    }

    /// Counts a WebSocket towards the server's load until its connection is dropped.
    fn count_socket(&self, connection: &mut UpgradedConnection) {
        let report_end = self.stream_response();
        let on_end = Box::new(move || report_end(Outcome::Ok));
        let guard = self.context.socket_load.open(connection.target.server, on_end);
        connection.load_guard = Some(Box::new(guard));
    }

    fn deliver(&self, response: UpstreamResponse) {
        self.supervisor.deliver(&self.id, response);
    }

    fn end(self, outcome: Outcome, load_report: Option<Vec<f64>>) {
        let end = AttemptEnd { number: self.number, outcome, load_report, responded_at: None };
        self.supervisor.attempt_ended(&self.id, end);
    }
}
