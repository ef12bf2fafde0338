//! The requests at a sidecar, and their attempts.

use mintshelf_balancer::api::{AttemptNumber, Outcome, RequestId, ServerId};
use mintshelf_time::Nanos;
use std::collections::HashMap;

/// Maximum number of attempts of one request.
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// The client of a request, and its class.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestOwner {
    pub(crate) client: usize,
    pub(crate) class: usize,
}

struct Attempt {
    server: ServerId,
    sent_at: Nanos,
    has_ended: bool,
}

struct PendingRequest {
    owner: RequestOwner,
    deadline: Nanos,
    /// Whether the client awaits a final response.
    is_open: bool,
    attempts: Vec<Attempt>,
}

impl PendingRequest {
    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.has_ended)
    }
}

/// An attempt that begins.
pub(super) struct BegunAttempt {
    pub(super) number: AttemptNumber,
    /// The deadline of its request.
    pub(super) deadline: Nanos,
    /// Whether another one is in flight, or there are too many.
    pub(super) is_excess: bool,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) owner: RequestOwner,
    pub(super) server: ServerId,
    pub(super) elapsed: Nanos,
    /// Whether its response is the final one for the client.
    pub(super) is_served: bool,
    /// Whether the client awaits no response any more.
    pub(super) is_request_finished: bool,
}

/// Owns the requests that are open or have an attempt in flight.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
}

impl RequestTable {
    /// Adds a request whose client awaits a response.
    pub(super) fn open(&mut self, id: RequestId, owner: RequestOwner, deadline: Nanos) {
        let request = PendingRequest { owner, deadline, is_open: true, attempts: Vec::new() };
        self.requests.insert(id, request);
    }

    /// The client and class of a request.
    pub(super) fn owner(&self, id: &RequestId) -> Option<RequestOwner> {
        self.requests.get(id).map(|request| request.owner)
    }

    /// The clients that await a final response, in order.
    pub(super) fn open_clients(&self) -> Vec<usize> {
        let open = self.requests.values().filter(|request| request.is_open);
        let mut clients: Vec<usize> = open.map(|request| request.owner.client).collect();
        clients.sort_unstable();
        clients
    }

    /// Ends the wait of a request's client; `None` if it does not wait.
    pub(super) fn close(&mut self, id: &RequestId) -> Option<RequestOwner> {
        let request = self.requests.get_mut(id).filter(|request| request.is_open)?;
        request.is_open = false;
        let owner = request.owner;
        self.remove_if_done(id);
        Some(owner)
    }

    /// Begins an attempt of a request.
    pub(super) fn begin_attempt(
        &mut self,
        now: Nanos,
        id: &RequestId,
        server: ServerId,
    ) -> Option<BegunAttempt> {
        let request = self.requests.get_mut(id)?;
        let number = AttemptNumber::from_index(request.attempts.len());
        let is_excess = request.has_attempt_in_flight() || number.get() >= MAX_ATTEMPTS;
        request.attempts.push(Attempt { server, sent_at: now, has_ended: false });
        Some(BegunAttempt { number, deadline: request.deadline, is_excess })
    }

    /// Ends an attempt; `None` if it is unknown or has ended before. A response ends the wait of
    /// the client.
    pub(super) fn end_attempt(
        &mut self,
        now: Nanos,
        id: &RequestId,
        number: AttemptNumber,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(id)?;
        let attempt = request.attempts.get_mut(number.index());
        let attempt = attempt.filter(|attempt| !attempt.has_ended)?;
        attempt.has_ended = true;
        let is_served = request.is_open && outcome == Outcome::Ok;
        if is_served {
            request.is_open = false;
        }
        let ended = EndedAttempt {
            owner: request.owner,
            server: attempt.server,
            elapsed: now - attempt.sent_at,
            is_served,
            is_request_finished: !request.is_open,
        };
        self.remove_if_done(id);
        Some(ended)
    }

    fn remove_if_done(&mut self, id: &RequestId) {
        let request = self.requests.get(id);
        if request.is_some_and(|request| !request.is_open && !request.has_attempt_in_flight()) {
            self.requests.remove(id);
        }
    }
}
