//! Where requests pass the limits of tenants, routes and clusters: what those decide, done.

use crate::clock::Clock;
use crate::cluster::request_log::RequestLog;
use crate::gateway::rejection::Rejection;
use hyper::StatusCode;
use mintshelf_admission::admission::{Admission, AdmissionConfig, LimitExceeded, LimitUsage};
use mintshelf_admission::queue::{
    QueueDecision, QueueEntry, QueueTicket, QueueTransitions, RejectReason,
};
use mintshelf_balancer::api::Nanos;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Poll, Waker};
use tokio::time::timeout_at;

const SECOND: Nanos = 1_000_000_000;

type Key = (Rc<str>, QueueTicket);

/// One that waits at a cluster.
#[derive(Default)]
struct Waiter {
    /// What became of it.
    end: Option<Result<(), RejectReason>>,
    waker: Option<Waker>,
}

/// All limits in force, and those that wait.
pub struct AdmissionController {
    admission: RefCell<Admission>,
    waiters: RefCell<HashMap<Key, Waiter>>,
    clock: Clock,
    notes: RequestLog,
}

impl Default for AdmissionController {
    fn default() -> Self {
        let clock = Clock::start();
        let notes = RequestLog::new(&clock);
        AdmissionController {
            admission: RefCell::default(),
            waiters: RefCell::default(),
            clock,
            notes,
        }
    }
}

/// A request that counts against its tenant and its route until this is dropped.
pub struct TenantPermit {
    gates: Rc<AdmissionController>,
    /// Whose it is.
    pub tenant: Rc<str>,
    route: Rc<str>,
}

impl Drop for TenantPermit {
    fn drop(&mut self) {
        self.gates.admission.borrow_mut().leave(&self.tenant, &self.route);
    }
}

/// A request that has a place at its cluster until this is dropped.
pub struct ClusterPermit {
    gates: Rc<AdmissionController>,
    cluster: Rc<str>,
    tenant: Rc<str>,
}

impl Drop for ClusterPermit {
    fn drop(&mut self) {
        let now = self.gates.clock.now();
        let moves = self.gates.admission.borrow_mut().done(now, &self.cluster, &self.tenant);
        self.gates.carry(&self.cluster, moves);
    }
}

/// Bytes of a body that count against its tenant until this is dropped.
pub struct BodyPermit {
    gates: Rc<AdmissionController>,
    tenant: Rc<str>,
    bytes: u64,
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.gates.admission.borrow_mut().empty(&self.tenant, self.bytes);
    }
}

/// A wait at a cluster; dropped before its end it gives up the place, or what came of it.
struct Waiting<'a> {
    gates: &'a Rc<AdmissionController>,
    key: Key,
    tenant: Rc<str>,
}

impl Waiting<'_> {
    async fn end(&self) -> Result<(), RejectReason> {
        poll_fn(|cx| {
            let mut waiters = self.gates.waiters.borrow_mut();
            let waiter = waiters.entry(self.key.clone()).or_default();
            if let Some(end) = waiter.end.take() {
                waiters.remove(&self.key);
                return Poll::Ready(end);
            }
            waiter.waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let waiter = self.gates.waiters.borrow_mut().remove(&self.key);
        match waiter.map(|waiter| waiter.end) {
            // Nobody took the place that it was given.
            Some(Some(Ok(()))) => drop(self.gates.through(&self.key.0, &self.tenant)),
            Some(None) => self.gates.admission.borrow_mut().give_up(&self.key.0, self.key.1),
            Some(Some(Err(_))) | None => {}
        }
    }
}

impl AdmissionController {
    /// Puts limits in force; what is under way counts on.
    pub fn set(&self, set: &AdmissionConfig) {
        let moves = self.admission.borrow_mut().set(self.clock.now(), set);
        moves.into_iter().for_each(|(cluster, moves)| self.carry(&cluster, moves));
    }

    /// Tells those that wait what became of them.
    fn carry(&self, cluster: &Rc<str>, moves: QueueTransitions) {
        let go = moves.go.into_iter().map(|ticket| (ticket, Ok(())));
        let refused = moves.refused.into_iter().map(|(ticket, why)| (ticket, Err(why)));
        for (ticket, end) in go.chain(refused) {
            let mut waiters = self.waiters.borrow_mut();
            let waiter = waiters.entry((cluster.clone(), ticket)).or_default();
            waiter.end = Some(end);
            if let Some(waker) = waiter.waker.take() {
                waker.wake();
            }
        }
    }

    fn through(self: &Rc<Self>, cluster: &Rc<str>, tenant: &Rc<str>) -> ClusterPermit {
        ClusterPermit { gates: self.clone(), cluster: cluster.clone(), tenant: tenant.clone() }
    }

    /// A request has come; its body has not.
    pub fn enter(
        self: &Rc<Self>,
        tenant: Rc<str>,
        route: &Rc<str>,
    ) -> Result<TenantPermit, Rejection> {
        let now = self.clock.now();
        match self.admission.borrow_mut().enter(now, &tenant, route) {
            Ok(()) => Ok(TenantPermit { gates: self.clone(), tenant, route: route.clone() }),
            Err(over) => {
                let (code, what, after) = match over {
                    LimitExceeded::TenantRate(after) => {
                        ("tenant-rate", "its tenant asks more than its rate; it has not run", after)
                    }
                    LimitExceeded::TenantConcurrency => (
                        "tenant-concurrency",
                        "its tenant has as many under way as it may; it has not run",
                        SECOND,
                    ),
                    LimitExceeded::RouteRate(after) => (
                        "route-rate",
                        "the route is asked more than its rate; it has not run",
                        after,
                    ),
                    LimitExceeded::RouteConcurrency => (
                        "route-concurrency",
                        "the route has as many under way as it may; it has not run",
                        SECOND,
                    ),
                };
                self.note(&tenant, route, code);
                Err(Rejection::new(StatusCode::TOO_MANY_REQUESTS, code, what).after(after))
            }
        }
    }

    /// Writes which limit refused a request, and at which route or cluster.
    fn note(&self, tenant: &str, at: &str, limit: &'static str) {
        if !tracing::enabled!(tracing::Level::INFO) {
            return;
        }
        if let Some(left_out) = self.notes.may_write(&self.clock) {
            tracing::info!(tenant, at, limit, left_out, "a limit refused a request");
        }
    }

    /// Takes so many bytes for a tenant's body.
    pub fn fill(self: &Rc<Self>, tenant: &Rc<str>, bytes: u64) -> Result<BodyPermit, Rejection> {
        if self.admission.borrow_mut().fill(tenant, bytes) {
            return Ok(BodyPermit { gates: self.clone(), tenant: tenant.clone(), bytes });
        }
        let what = "its tenant's bodies take all the room that it has; it has not run";
        self.note(tenant, "", "tenant-room");
        let refusal = Rejection::new(StatusCode::TOO_MANY_REQUESTS, "tenant-room", what);
        // The body is not read, so nothing can come behind it.
        Err(refusal.after(SECOND).last())
    }

    /// Waits for a place at a cluster: until there is one, or it is refused, which is at once
    /// when it can't be answered in time any more. No place where the cluster has no limit.
    /// Back comes what is left of its patience too; `advice` tells when to come back.
    pub async fn pass(
        self: &Rc<Self>,
        cluster: &Rc<str>,
        patience: Nanos,
        offer: QueueEntry,
        advice: impl Fn() -> Nanos,
    ) -> Result<(Option<ClusterPermit>, Nanos), Rejection> {
        let now = self.clock.now();
        let (tenant, needs) = (offer.tenant.clone(), offer.needs);
        let offer = QueueEntry { deadline: now.saturating_add(patience), ..offer };
        let offered = self.admission.borrow_mut().offer(now, cluster, offer);
        let Some((verdict, moves)) = offered else { return Ok((None, patience)) };
        self.carry(cluster, moves);
        let end = match verdict {
            QueueDecision::Go => Ok(()),
            QueueDecision::Rejected(why) => Err(why),
            QueueDecision::Wait(ticket) => {
                let key = (cluster.clone(), ticket);
                self.waiters.borrow_mut().insert(key.clone(), Waiter::default());
                let waiting = Waiting { gates: self, key, tenant: tenant.clone() };
                let until = self.clock.instant(now.saturating_add(patience.saturating_sub(needs)));
                timeout_at(until, waiting.end()).await.unwrap_or(Err(RejectReason::TooLate))
            }
        };
        let left = || patience.saturating_sub(self.clock.now().saturating_sub(now)).max(1);
        end.map(|()| (Some(self.through(cluster, &tenant)), left())).map_err(|why| {
            let (code, what) = match why {
                RejectReason::Full => {
                    ("queue-full", "too many wait for the cluster; it has not run")
                }
                RejectReason::TooLate => {
                    ("queue-late", "it waited too long to be answered in time; it has not run")
                }
            };
            self.note(&tenant, cluster, code);
            Rejection::new(StatusCode::SERVICE_UNAVAILABLE, code, what).after(advice().max(SECOND))
        })
    }

    /// How much is under way.
    pub fn levels(&self) -> LimitUsage {
        self.admission.borrow().levels()
    }
}
