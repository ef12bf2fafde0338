//! The mutable state of a cluster's runtime: decision module, pending requests and timers. One turn
//! changes it at a time.

use super::attempt_record::AttemptEnd;
use super::pending_requests::{PendingRequest, PendingRequests};
use super::request::RequestOutcome;
use super::timers::TimerQueue;
use mintshelf_balancer::api::{AttemptNumber, Class, Effect, Event, Outcome, RequestId};
use mintshelf_balancer::decide::Balancer;
use mintshelf_retry::shutdown::{FinalResponse, ShutdownDeadlines};
use mintshelf_time::Nanos;
use std::collections::VecDeque;

/// The state that a cluster's runtime changes while it handles events. One call of the runtime
/// handles all queued events without interruption.
pub(crate) struct RuntimeState {
    pub(crate) balancer: Balancer,
    pub(crate) requests: PendingRequests,
    /// Events that the decision module has not handled yet.
    pub(crate) events: VecDeque<Event>,
    pub(crate) timers: TimerQueue,
}

impl RuntimeState {
    /// Creates the state of a cluster without requests.
    pub(crate) fn new(balancer: Balancer) -> Self {
        RuntimeState {
            balancer,
            requests: PendingRequests::default(),
            events: VecDeque::new(),
            timers: TimerQueue::default(),
        }
    }

    /// Rejects a request, with the send time of the first attempt that a server may have run.
    pub(crate) fn reject(&mut self, id: &RequestId, retry_after: Nanos) {
        let ran_at = self.requests.get(id).and_then(PendingRequest::ran_at);
        drop(self.requests.resolve(id, RequestOutcome::Rejected { retry_after, ran_at }));
    }

    /// Resolves every request whose client still waits. Whether the request is rejected, so that
    /// the client may retry `retry_after` nanoseconds later, or fails depends on the effect of the
    /// request's class and on whether a server may have run the request.
    pub(crate) fn resolve_all(&mut self, classes: &[Class], retry_after: Nanos) {
        for request in self.requests.waiting() {
            let class = classes.get(request.class.index());
            let effect = class.map_or(Effect::Unsafe, |class| class.effect);
            let ran_at = request.ran_at;
            let outcome = match ShutdownDeadlines::final_response(effect, ran_at.is_some()) {
                FinalResponse::Reject => RequestOutcome::Rejected { retry_after, ran_at },
                FinalResponse::Fail => RequestOutcome::Failed { timed_out: false },
            };
            self.abort(&request.id, outcome);
        }
    }

    /// Ends an attempt that has not been sent.
    pub(crate) fn end_unused(&mut self, id: &RequestId, number: AttemptNumber, now: Nanos) {
        let end = AttemptEnd::new(number, Outcome::Unused);
        let ended = self.requests.end_attempt(id, end, now);
        self.events.extend(ended.map(|ended| ended.event));
    }

    /// Fails a request, which may have run.
    pub(crate) fn fail(&mut self, id: &RequestId) {
        drop(self.requests.resolve(id, RequestOutcome::Failed { timed_out: false }));
    }

    /// Resolves a request before the decision module does, and reports its end to the decision
    /// module.
    pub(crate) fn abort(&mut self, id: &RequestId, outcome: RequestOutcome) {
        drop(self.requests.resolve(id, outcome));
        self.events.push_back(Event::ClientDisconnected { id: id.clone() });
    }

    /// Records that a client disconnected before its response; returns whether it was still waiting.
    pub(crate) fn client_disconnected(&mut self, id: &RequestId) -> bool {
        let was_waiting = self.requests.client_disconnected(id);
        if was_waiting {
            self.events.push_back(Event::ClientDisconnected { id: id.clone() });
        }
        was_waiting
    }
}
