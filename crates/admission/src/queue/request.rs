//! Requests submitted to a queue, and the queue's decisions.

use mintshelf_time::Nanos;
use std::rc::Rc;

/// A request submitted to a queue.
#[derive(Debug, Clone)]
pub struct QueueEntry {
    /// The tenant of the request.
    pub tenant: Rc<str>,
    /// Whether the client has sent this request before.
    pub is_repeat: bool,
    /// The priority weight of the request; a negative weight counts as 0.
    pub priority_weight: f64,
    /// The time at which the client stops waiting, in nanoseconds.
    pub deadline: Nanos,
    /// Minimum latency expected of the response, in nanoseconds; 0 if unknown.
    pub expected_latency: Nanos,
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct QueueTicket(u64);

impl QueueTicket {
    /// Returns the ticket of the next request that joins the queue.
    pub(super) fn next(self) -> Self {
        QueueTicket(self.0 + 1)
    }
}

impl Default for QueueTicket {
    /// Returns the ticket before the first: a start for counting that no request gets.
    fn default() -> Self {
        QueueTicket(0)
    }
}

/// The decision on a submitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// Admitted; the caller must end it with [`FairQueue::complete`].
    ///
    /// [`FairQueue::complete`]: super::FairQueue::complete
    Admit,
    /// Waits until its ticket appears in a [`QueueTransitions`], or until it is cancelled.
    Wait(QueueTicket),
    /// The request is rejected and does not join the queue.
    Reject(RejectReason),
}

/// The reason for which a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// The queue is full, and all requests in it take precedence.
    QueueFull,
    /// The expected response would come after its deadline.
    DeadlineUnreachable,
}

/// A waiting request that is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RejectedTicket {
    /// The ticket of the request.
    pub ticket: QueueTicket,
    /// The reason for the rejection.
    pub reason: RejectReason,
}

/// The requests that stop waiting after a change of a queue.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QueueTransitions {
    /// Admitted requests; the caller must end each with [`FairQueue::complete`].
    ///
    /// [`FairQueue::complete`]: super::FairQueue::complete
    pub admitted: Vec<QueueTicket>,
    /// The waiting requests that were rejected, with the reasons.
    pub rejected: Vec<RejectedTicket>,
}

impl QueueTransitions {
    pub(super) fn reject(&mut self, ticket: QueueTicket, reason: RejectReason) {
        self.rejected.push(RejectedTicket { ticket, reason });
    }
}

/// The result of submitting a request to a queue.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "requests that wait never learn that they are admitted or rejected"]
pub struct Enqueued {
    /// The decision on the submitted request.
    pub decision: QueueDecision,
    /// The resulting changes for requests that were waiting.
    pub transitions: QueueTransitions,
}

/// Number of requests in a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueUsage {
    /// Number of requests that were admitted and have not ended.
    pub in_flight: usize,
    /// Number of requests that wait to be admitted.
    pub queued: usize,
}
