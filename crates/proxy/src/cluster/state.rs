//! Requests that are open, with their attempts: what each has come to.

use crate::client::connection::Client;
use crate::cluster::pending_response::{AttemptControl, PendingResponse};
use crate::upstream::exchange::UpstreamResponse;
use crate::upstream::request_body::RequestBody;
use hyper::header::HeaderValue;
use hyper::Request;
use mintshelf_balancer::api::*;
use mintshelf_balancer::decide::Balancer;
use mintshelf_retry::shutdown::{ShutdownDeadlines, Verdict};
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio_util::time::{delay_queue, DelayQueue};

/// What a client is told in the end.
pub enum RequestOutcome {
    /// The server's answer.
    Served(Box<UpstreamResponse>),
    /// Trying again is harmless, after a while.
    Refused {
        /// So long.
        after: Nanos,
        /// When the first attempt went that may have run, if any.
        ran_at: Option<Nanos>,
    },
    /// The same, while the whole cluster is out or coming back.
    Paced(Nanos),
    /// Nothing is promised.
    Failed {
        /// The last attempt had no answer in time.
        timed_out: bool,
    },
}

/// What the decision module is told of a request.
pub struct RequestMetadata {
    /// Its class.
    pub class: u32,
    /// Its tenant.
    pub tenant: u32,
    /// What it concerns.
    pub key: Option<u64>,
    /// Expected work, if known.
    pub cost_hint: Option<Nanos>,
    /// Marked by the client as a repeat.
    pub repeat: bool,
    /// How long the client waits.
    pub patience: Nanos,
}

/// A request as it goes to servers, with what its body takes of the budget.
pub struct UpstreamRequest {
    /// Its head and body.
    pub request: Request<RequestBody>,
    /// The id that its client gave it, where no two open requests may share one.
    pub txn: Option<HeaderValue>,
    /// Given back with the last attempt.
    pub _room: Option<OwnedSemaphorePermit>,
    /// Who waits for the answer, if that is a connection with this request open.
    pub client: Option<Rc<Client>>,
}

/// A request from its last byte to its final answer and its last attempt.
pub(crate) struct PendingRequest {
    pub(crate) message: UpstreamRequest,
    pub(crate) class: usize,
    /// When its answer is in time no longer, counted from an attempt's start.
    pub(crate) latency_objective: Nanos,
    pub(crate) deadline: Nanos,
    /// Absent once the client has its answer, or has left.
    pub(crate) reply: Option<Rc<PendingResponse<RequestOutcome>>>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) out: usize,
    /// A server's answer that counts as a failure, passed on if nothing better comes.
    pub(crate) kept: Option<UpstreamResponse>,
    pub(crate) timed_out: bool,
}

impl PendingRequest {
    /// When the first attempt went that may have run, if any.
    pub(crate) fn ran_at(&self) -> Option<Nanos> {
        self.attempts.iter().find(|a| a.may_have_run()).map(|a| a.sent)
    }
}

/// One of its attempts.
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    pub(crate) sent: Nanos,
    pub(crate) cancel: Rc<AttemptControl>,
    /// Absent while it is out.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether it has not ended.
    pub(crate) fn out(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it may have had its effect.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// The decision module with all that is open, on one thread.
pub(crate) struct RuntimeState {
    pub(crate) balancer: Balancer,
    pub(crate) taken: HashMap<RequestId, PendingRequest>,
    /// Clients' ids of the requests above.
    pub(crate) open: HashSet<HeaderValue>,
    pub(crate) events: VecDeque<Event>,
    pub(crate) timers: DelayQueue<u64>,
    /// Where in the queue each timer is, by its token.
    pub(crate) timer_keys: HashMap<u64, delay_queue::Key>,
    pub(crate) last_id: u64,
    pub(crate) watch: Option<AbortHandle>,
}

impl RuntimeState {
    /// Refuses a request, and tells what is known of its attempts.
    pub(crate) fn refuse(&mut self, id: &RequestId, after: Nanos) -> Option<RequestOutcome> {
        let ran_at = self.taken.get(id).and_then(PendingRequest::ran_at);
        self.conclude(id, RequestOutcome::Refused { after, ran_at })
    }

    /// Gives a client its final answer; back comes one that nobody takes.
    pub(crate) fn conclude(
        &mut self,
        id: &RequestId,
        reply: RequestOutcome,
    ) -> Option<RequestOutcome> {
        let Some(taken) = self.taken.get_mut(id) else { return Some(reply) };
        let reply = match (reply, taken.kept.take()) {
            (RequestOutcome::Refused { .. } | RequestOutcome::Failed { .. }, Some(kept)) => {
                RequestOutcome::Served(Box::new(kept))
            }
            (RequestOutcome::Failed { .. }, None) => {
                RequestOutcome::Failed { timed_out: taken.timed_out }
            }
            (reply, _) => reply,
        };
        let Some(client) = taken.reply.take() else { return Some(reply) };
        client.reply(reply);
        // A copy that is still out has lost.
        taken.attempts.iter().filter(|a| a.out()).for_each(|a| a.cancel.cancel());
        self.forget(id);
        None
    }

    /// Gives every request that still waits its final answer: what that class is told of one
    /// that may have run, or not. Who is refused may come back `after`.
    pub(crate) fn give_up(&mut self, classes: &[Class], after: Nanos) {
        let waiting = |(id, taken): (&RequestId, &PendingRequest)| {
            taken.reply.as_ref()?;
            Some((id.clone(), taken.class, taken.ran_at()))
        };
        let mut all: Vec<_> = self.taken.iter().filter_map(waiting).collect();
        // The table has no order of its own.
        all.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (id, class, ran_at) in all {
            let effect = classes.get(class).map_or(Effect::Unsafe, |class| class.effect);
            let reply = match ShutdownDeadlines::verdict(effect, ran_at.is_some()) {
                Verdict::Refuse => RequestOutcome::Refused { after, ran_at },
                Verdict::Fail => RequestOutcome::Failed { timed_out: false },
            };
            self.abandon(&id, reply);
        }
    }

    /// Ends a request that the module has not ended.
    pub(crate) fn abandon(&mut self, id: &RequestId, reply: RequestOutcome) {
        drop(self.conclude(id, reply));
        self.events.push_back(Event::ClientDisconnected { id: id.clone() });
    }

    /// Notes that a request's client has gone before its answer: the attempts that have begun go
    /// on to their ends. Whether it still waited.
    pub(crate) fn leave(&mut self, id: &RequestId) -> bool {
        let Some(taken) = self.taken.get_mut(id) else { return false };
        if taken.reply.take().is_none() {
            return false;
        }
        taken.attempts.iter().filter(|a| a.out()).for_each(|a| a.cancel.leave());
        self.forget(id);
        self.events.push_back(Event::ClientDisconnected { id: id.clone() });
        true
    }

    /// Drops a request's record once nothing more can come of it.
    pub(crate) fn forget(&mut self, id: &RequestId) {
        if self.taken.get(id).is_some_and(|t| t.reply.is_none() && t.out == 0) {
            if let Some(taken) = self.taken.remove(id) {
                if let Some(txn) = &taken.message.txn {
                    self.open.remove(txn);
                }
            }
        }
    }

    /// Notes an attempt's end; each has exactly one. Back comes the module's event, and
    /// whether it took no longer than the class's aim.
    pub(crate) fn end_attempt(
        &mut self,
        id: &RequestId,
        number: u32,
        outcome: Outcome,
        report: Option<Vec<f64>>,
        now: Nanos,
    ) -> Option<(Event, bool)> {
        let taken = self.taken.get_mut(id)?;
        let attempt = taken.attempts.get_mut(number as usize).filter(|a| a.out())?;
        attempt.outcome = Some(outcome);
        taken.out -= 1;
        taken.timed_out = outcome == Outcome::TimedOut;
        let took = now.saturating_sub(attempt.sent);
        let server = attempt.server;
        let (finished, in_time) = (taken.reply.is_none(), took <= taken.latency_objective);
        self.forget(id);
        let (id, attempt) = (id.clone(), number);
        let event = Event::AttemptEnded { id, attempt, outcome, finished, took, server, report };
        Some((event, in_time))
    }
}
