//! Serves client requests: recovery ramp, decision module, final outcome.

use super::pending_requests::PendingRequest;
use super::pending_response::{AttemptSet, PendingResponse};
use super::request::{RequestMetadata, RequestOutcome, UpstreamRequest};
use super::runtime::ClusterRuntime;
use super::trace;
use mintshelf_balancer::api::{ClassId, Event, RequestId};
use mintshelf_time::Nanos;
use std::rc::Rc;
use tokio::time::Instant;

impl ClusterRuntime {
    /// Passes a client's request to the decision module and waits for the final outcome. Returns
    /// `None` if a pending request has the same transaction id: a server would take the new request
    /// for a hedge of the pending one. So too if one with that id may have run and must not run
    /// again. Dropping the future reports to the decision module that the
    /// client has disconnected.
    pub async fn serve(
        self: &Rc<Self>,
        metadata: RequestMetadata,
        request: UpstreamRequest,
    ) -> Option<RequestOutcome> {
        let now = self.clock.now();
        let Some(recovery) = &self.recovery else {
            return self.balance(now, metadata, request).await;
        };
        let class = metadata.class;
        if !recovery.admit(now) {
            return Some(RequestOutcome::RejectedDuringOutage(self.retry_after(class)));
        }
        let outcome = self.balance(now, metadata, request).await?;
        Some(recovery.request_ended(
            self.clock.now(),
            self.context.classes.get(class.index()),
            outcome,
        ))
    }

    async fn balance(
        self: &Rc<Self>,
        now: Nanos,
        metadata: RequestMetadata,
        request: UpstreamRequest,
    ) -> Option<RequestOutcome> {
        if request.client.as_ref().is_some_and(|client| client.has_disconnected()) {
            // The response would not be read, so the request must not use a server, the retry budget
            // or a slot in a queue.
            return Some(RequestOutcome::Failed { timed_out: false });
        }
        let response = Rc::new(PendingResponse::default());
        let id = self.open_request(now, &metadata, request, response.clone())?;
        let attempts = AttemptSet::new(response);
        let started_at = Instant::now();
        let mut waiting = WaitingClient { runtime: self, id, attempts, started_at };
        let outcome = waiting.attempts.response().await;
        trace::request_concluded(&waiting.id, Some(&outcome), started_at.elapsed());
        Some(outcome)
    }

    /// Returns the delay after which a client whose request was not sent to a server may retry, in
    /// nanoseconds; 0 on the platform.
    pub fn retry_after(&self, class: ClassId) -> Nanos {
        let class = self.context.classes.get(class.index());
        let recovery = self.recovery.as_ref();
        let retry_after =
            recovery.and_then(|recovery| recovery.retry_after(self.clock.now(), class, None));
        retry_after.unwrap_or(0)
    }

    /// Records a request and passes the request to the decision module; returns `None` if the
    /// transaction id is that of a request that is pending, or must not run again.
    fn open_request(
        self: &Rc<Self>,
        now: Nanos,
        metadata: &RequestMetadata,
        request: UpstreamRequest,
        response: Rc<PendingResponse<RequestOutcome>>,
    ) -> Option<RequestId> {
        let mut state = self.state.borrow_mut();
        if !state.requests.reserve_transaction_id(&request) {
            return None;
        }
        let class = metadata.class;
        let deadline = now.saturating_add(metadata.client_timeout);
        self.context.retries.record_request(class);
        let settings = self.context.classes.get(class.index());
        let pending = PendingRequest::new(request, class, settings, deadline, response);
        let id = state.requests.insert(pending);
        trace::request_began(&id, &state.requests, metadata.client_timeout);
        state.events.push_back(Event::Request {
            id: id.clone(),
            class: metadata.class,
            tenant: metadata.tenant,
            key: metadata.key,
            cost_estimate: metadata.cost_estimate,
            is_client_retry: metadata.is_repeat,
            client_timeout: metadata.client_timeout,
        });
        self.turn(&mut state);
        Some(id)
    }
}

/// A client that waits for its response. If dropped before that, it reports to the decision module
/// that the client has disconnected.
struct WaitingClient<'a> {
    runtime: &'a Rc<ClusterRuntime>,
    id: RequestId,
    attempts: AttemptSet<RequestOutcome>,
    started_at: Instant,
}

impl Drop for WaitingClient<'_> {
    fn drop(&mut self) {
        self.attempts.detach();
        let mut state = self.runtime.state.borrow_mut();
        if state.client_disconnected(&self.id) {
            trace::request_concluded(&self.id, None, self.started_at.elapsed());
            self.runtime.turn(&mut state);
        }
    }
}
