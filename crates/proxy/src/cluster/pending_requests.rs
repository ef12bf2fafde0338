//! The pending requests of a cluster and their attempts.

use super::attempt_record::{Attempt, AttemptEnd, EndedAttempt, NewAttempt};
use super::executed_ids::ExecutedIds;
use super::fallback::Fallback;
use super::pending_response::PendingResponse;
use super::request::{RequestOutcome, UpstreamRequest};
use crate::upstream::attempt_control::AttemptControl;
use hyper::header::HeaderValue;
use mintshelf_balancer::api::{
    AttemptNumber, Class, ClassId, Effect, Event, Outcome, RequestId, ServerId,
};
use mintshelf_time::Nanos;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// A request, from its acceptance until its final response was sent and its last attempt ended.
pub(crate) struct PendingRequest {
    pub(crate) upstream_request: UpstreamRequest,
    pub(crate) class: ClassId,
    /// Whether the request may run any number of times.
    is_safe: bool,
    /// Latency objective in nanoseconds, measured from the start of an attempt.
    pub(crate) latency_objective: Nanos,
    pub(crate) deadline: Nanos,
    /// Slot for the final outcome; `None` once the client has its response or has disconnected.
    pub(crate) response: Option<Rc<PendingResponse<RequestOutcome>>>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) attempts_in_flight: usize,
    pub(crate) fallback: Fallback,
    /// Whether the attempt that ended last timed out.
    pub(crate) timed_out: bool,
}

impl PendingRequest {
    /// Creates a request without attempts.
    pub(crate) fn new(
        upstream_request: UpstreamRequest,
        class: ClassId,
        class_settings: Option<&Class>,
        deadline: Nanos,
        response: Rc<PendingResponse<RequestOutcome>>,
    ) -> Self {
        PendingRequest {
            upstream_request,
            class,
            is_safe: class_settings.is_some_and(|settings| settings.effect == Effect::Safe),
            latency_objective: class_settings
                .map_or(Nanos::MAX, |settings| settings.latency_objective),
            deadline,
            response: Some(response),
            attempts: Vec::new(),
            attempts_in_flight: 0,
            fallback: Fallback::default(),
            timed_out: false,
        }
    }

    /// Returns the send time of the first attempt that a server may have run; `None` if there is no
    /// such attempt.
    pub(crate) fn ran_at(&self) -> Option<Nanos> {
        self.attempts.iter().find(|attempt| attempt.may_have_run()).map(|attempt| attempt.sent_at)
    }

    /// Returns whether an attempt other than this one may have run.
    pub(crate) fn others_may_have_run(&self, number: AttemptNumber) -> bool {
        let mut attempts = self.attempts.iter().enumerate();
        attempts.any(|(index, attempt)| index != number.index() && attempt.may_have_run())
    }

    /// Adds an attempt at `server` that starts at `now`.
    pub(crate) fn add_attempt(&mut self, server: ServerId, now: Nanos) -> NewAttempt {
        let number = AttemptNumber::from_index(self.attempts.len());
        let control = Rc::new(AttemptControl::new(self.upstream_request.client.clone()));
        let is_duplicate = self.in_flight().any(|attempt| attempt.server == server);
        self.attempts.push(Attempt {
            server,
            sent_at: now,
            control: control.clone(),
            outcome: None,
        });
        self.attempts_in_flight += 1;
        NewAttempt { number, control, is_duplicate }
    }

    /// Returns the attempts that have not ended.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight())
    }
}

/// A request whose client still waits for its response.
pub(crate) struct WaitingRequest {
    pub(crate) id: RequestId,
    pub(crate) class: ClassId,
    pub(crate) ran_at: Option<Nanos>,
}

/// All pending requests of a cluster.
#[derive(Default)]
pub(crate) struct PendingRequests {
    by_id: HashMap<RequestId, PendingRequest>,
    /// Transaction ids of the requests in `by_id`.
    transaction_ids: HashSet<HeaderValue>,
    executed_ids: ExecutedIds,
    last_id: u64,
}

impl PendingRequests {
    /// Reserves the transaction id of a request. Returns false if a pending request has the same id,
    /// or one that may have run and must not run again; a request without an id needs no
    /// reservation.
    pub(crate) fn reserve_transaction_id(&mut self, request: &UpstreamRequest) -> bool {
        match &request.transaction_id {
            Some(id) if self.executed_ids.contains(id) => false,
            Some(id) => self.transaction_ids.insert(id.clone()),
            None => true,
        }
    }

    /// Adds a request and returns its id.
    pub(crate) fn insert(&mut self, request: PendingRequest) -> RequestId {
        self.last_id += 1;
        let id: RequestId = self.last_id.to_string().into();
        self.by_id.insert(id.clone(), request);
        id
    }

    /// Returns a pending request.
    pub(crate) fn get(&self, id: &RequestId) -> Option<&PendingRequest> {
        self.by_id.get(id)
    }

    /// Returns a pending request for modification.
    pub(crate) fn get_mut(&mut self, id: &RequestId) -> Option<&mut PendingRequest> {
        self.by_id.get_mut(id)
    }

    /// Returns the number of pending requests.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no request is pending.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns the requests whose clients still wait, sorted by id: the iteration order of the map
    /// is random.
    pub(crate) fn waiting(&self) -> Vec<WaitingRequest> {
        let is_waiting = |(_, request): &(&RequestId, &PendingRequest)| request.response.is_some();
        let waiting = self.by_id.iter().filter(is_waiting);
        let mut waiting: Vec<_> = waiting
            .map(|(id, request)| WaitingRequest {
                id: id.clone(),
                class: request.class,
                ran_at: request.ran_at(),
            })
            .collect();
        waiting.sort_unstable_by(|first, second| first.id.cmp(&second.id));
        waiting
    }

    /// Resolves a request with the final outcome; returns the outcome if no client waits for the
    /// outcome. A fallback response takes the place of a rejection or failure that it does not
    /// contradict.
    pub(crate) fn resolve(
        &mut self,
        id: &RequestId,
        outcome: RequestOutcome,
    ) -> Option<RequestOutcome> {
        let Some(request) = self.by_id.get_mut(id) else { return Some(outcome) };
        let fallback = request.fallback.take(request.ran_at().is_some());
        let outcome = match (outcome, fallback) {
            (RequestOutcome::Rejected { .. } | RequestOutcome::Failed { .. }, Some(fallback)) => {
                RequestOutcome::Served(Box::new(fallback))
            }
            (RequestOutcome::Failed { .. }, None) => {
                RequestOutcome::Failed { timed_out: request.timed_out }
            }
            (outcome, _) => outcome,
        };
        let Some(response) = request.response.take() else { return Some(outcome) };
        response.resolve(outcome);
        // Attempts that are still in flight, such as a slower hedge, are not needed any more.
        request.in_flight().for_each(|attempt| attempt.control.cancel());
        self.remove_if_finished(id);
        None
    }

    /// Cancels an attempt, if the attempt is in flight.
    pub(crate) fn cancel_attempt(&self, id: &RequestId, number: AttemptNumber) {
        let attempts = self.by_id.get(id).map(|request| &request.attempts);
        if let Some(attempt) = attempts.and_then(|attempts| attempts.get(number.index())) {
            attempt.control.cancel();
        }
    }

    /// Records that a client disconnected before its response; attempts that have been sent continue
    /// to their end. Returns whether the client was still waiting.
    pub(crate) fn client_disconnected(&mut self, id: &RequestId) -> bool {
        let Some(request) = self.by_id.get_mut(id) else { return false };
        if request.response.take().is_none() {
            return false;
        }
        request.in_flight().for_each(|attempt| attempt.control.mark_client_disconnected());
        self.remove_if_finished(id);
        true
    }

    /// Records the end of an attempt; returns `None` if the attempt has already ended or the
    /// request is unknown.
    pub(crate) fn end_attempt(
        &mut self,
        id: &RequestId,
        end: AttemptEnd,
        now: Nanos,
    ) -> Option<EndedAttempt> {
        let request = self.by_id.get_mut(id)?;
        let attempt = request.attempts.get_mut(end.number.index())?;
        if !attempt.is_in_flight() {
            return None;
        }
        attempt.outcome = Some(end.outcome);
        request.attempts_in_flight -= 1;
        request.timed_out = end.outcome == Outcome::TimedOut;
        // Latency is measured to the response head: the length of the body must not affect it.
        let elapsed = end.responded_at.unwrap_or(now).saturating_sub(attempt.sent_at);
        let server = attempt.server;
        let ended = EndedAttempt {
            number: end.number,
            outcome: end.outcome,
            class: request.class,
            server,
            elapsed,
            is_in_time: elapsed <= request.latency_objective,
            event: Event::AttemptEnded {
                id: id.clone(),
                attempt: end.number,
                outcome: end.outcome,
                is_request_finished: request.response.is_none(),
                elapsed,
                server,
                report: end.load_report,
            },
        };
        self.remove_if_finished(id);
        Some(ended)
    }

    /// Removes a request that is resolved and has no attempt in flight.
    fn remove_if_finished(&mut self, id: &RequestId) {
        let is_finished = |request: &PendingRequest| {
            request.response.is_none() && request.attempts_in_flight == 0
        };
        if !self.by_id.get(id).is_some_and(is_finished) {
            return;
        }
        let Some(removed) = self.by_id.remove(id) else { return };
        let must_not_run_again = !removed.is_safe && removed.ran_at().is_some();
        if let Some(transaction_id) = removed.upstream_request.transaction_id {
            self.transaction_ids.remove(&transaction_id);
            if must_not_run_again {
                self.executed_ids.insert(&transaction_id);
            }
        }
    }
}
