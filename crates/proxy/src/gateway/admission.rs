//! Applies the limits of tenants, routes and clusters to requests.

use super::limit_rejections::{body_rejection, limit_rejection, queue_rejection, MIN_RETRY_AFTER};
use super::queue_waiters::{QueueWaiters, RemovedWait, WaitResult, WaiterKey};
use super::rejection::Rejection;
use crate::clock::Clock;
use crate::request_log::RequestLog;
use mintshelf_admission::admission::{Admission, AdmissionConfig, LimitUsage};
use mintshelf_admission::queue::{Enqueued, QueueDecision, QueueEntry, RejectReason};
use mintshelf_time::Nanos;
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use tokio::time::timeout_at;
use tracing::Level;

/// The current limits, and the requests that wait in the queues of clusters.
pub struct AdmissionController {
    admission: RefCell<Admission>,
    waiters: QueueWaiters,
    clock: Clock,
    log: RequestLog,
}

impl Default for AdmissionController {
    fn default() -> Self {
        let clock = Clock::start();
        AdmissionController {
            admission: RefCell::default(),
            waiters: QueueWaiters::default(),
            clock,
            log: RequestLog::new(&clock),
        }
    }
}

/// Counts a request towards the limits of its tenant and route until dropped.
#[must_use = "the request is no longer counted when this is dropped"]
pub struct TenantPermit {
    controller: Rc<AdmissionController>,
    /// Name of the tenant towards whose limits the request counts.
    pub tenant: Rc<str>,
    route: Rc<str>,
}

impl Drop for TenantPermit {
    fn drop(&mut self) {
        self.controller.admission.borrow_mut().end_request(&self.tenant, &self.route);
    }
}

/// Holds a slot of a cluster's concurrency limit until dropped.
#[must_use = "the slot is released when this is dropped"]
pub struct ClusterPermit {
    controller: Rc<AdmissionController>,
    cluster: Rc<str>,
    tenant: Rc<str>,
}

impl Drop for ClusterPermit {
    fn drop(&mut self) {
        let controller = &self.controller;
        let now = controller.clock.now();
        let transitions =
            controller.admission.borrow_mut().complete(now, &self.cluster, &self.tenant);
        controller.waiters.notify(&self.cluster, transitions);
    }
}

/// Reserves bytes of a tenant's body quota until dropped.
#[must_use = "the bytes are released when this is dropped"]
pub struct BodyPermit {
    controller: Rc<AdmissionController>,
    tenant: Rc<str>,
    bytes: u64,
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.controller.admission.borrow_mut().release_body(&self.tenant, self.bytes);
    }
}

/// A request to the queue of a cluster.
pub struct QueueRequest {
    /// Name of the tenant of the request.
    pub tenant: Rc<str>,
    /// Whether the client has sent this request before.
    pub is_repeat: bool,
    /// The priority of the request, 0 or more. Among waiting requests of one tenant with the same
    /// `is_repeat`, those with a larger number are admitted first and, when the queue is full,
    /// rejected last.
    pub priority_weight: f64,
    /// Maximum time that the client waits for the response, in nanoseconds.
    pub client_timeout: Nanos,
    /// The expected latency of the response, in nanoseconds.
    pub expected_latency: Nanos,
}

/// A request that may be sent to its cluster.
pub struct AdmittedRequest {
    /// The slot that the request holds at the cluster; `None` if the cluster has no limit.
    pub permit: Option<ClusterPermit>,
    /// The client's timeout less the time spent in the queue, in nanoseconds.
    pub remaining_timeout: Nanos,
}

/// The wait of a request in a cluster's queue. If dropped before the wait has ended, the request
/// leaves the queue or releases its slot.
struct QueueWait<'a> {
    controller: &'a Rc<AdmissionController>,
    key: WaiterKey,
    tenant: Rc<str>,
}

impl QueueWait<'_> {
    async fn result(&self) -> WaitResult {
        poll_fn(|cx| self.controller.waiters.poll_result(&self.key, cx)).await
    }
}

impl Drop for QueueWait<'_> {
    fn drop(&mut self) {
        let WaiterKey { cluster, ticket } = &self.key;
        match self.controller.waiters.remove(&self.key) {
            // The slot was granted but not used.
            Some(RemovedWait::Resolved(Ok(()))) => {
                drop(self.controller.cluster_permit(cluster, &self.tenant));
            }
            Some(RemovedWait::Unresolved) => {
                self.controller.admission.borrow_mut().cancel(cluster, *ticket);
            }
            Some(RemovedWait::Resolved(Err(_))) | None => {}
        }
    }
}

impl AdmissionController {
    /// Applies new limits. Requests in flight stay counted.
    pub fn configure(&self, config: &AdmissionConfig) {
        let transitions = self.admission.borrow_mut().configure(self.clock.now(), config);
        for (cluster, transitions) in transitions {
            self.waiters.notify(&cluster, transitions);
        }
    }

    /// Returns the requests that count against the limits now, by tenant and by cluster.
    pub fn usage(&self) -> LimitUsage {
        self.admission.borrow().usage()
    }

    fn cluster_permit(self: &Rc<Self>, cluster: &Rc<str>, tenant: &Rc<str>) -> ClusterPermit {
        ClusterPermit { controller: self.clone(), cluster: cluster.clone(), tenant: tenant.clone() }
    }

    /// Admits a request under the limits of its tenant and route, before its body is read.
    ///
    /// # Errors
    /// The rejection, if one of the limits is exceeded.
    pub fn admit_request(
        self: &Rc<Self>,
        tenant: Rc<str>,
        route: &Rc<str>,
    ) -> Result<TenantPermit, Rejection> {
        let admitted = self.admission.borrow_mut().begin_request(self.clock.now(), &tenant, route);
        match admitted {
            Ok(()) => Ok(TenantPermit { controller: self.clone(), tenant, route: route.clone() }),
            Err(exceeded) => {
                let rejection = limit_rejection(&exceeded);
                self.log_rejection(&tenant, route, rejection.code);
                Err(rejection)
            }
        }
    }

    /// Logs the limit that rejected a request, and the route or cluster.
    fn log_rejection(&self, tenant: &str, scope: &str, limit: &'static str) {
        if !tracing::enabled!(Level::INFO) {
            return;
        }
        if let Some(omitted) = self.log.try_write(&self.clock) {
            tracing::info!(tenant, scope, limit, omitted, "request rejected by limit");
        }
    }

    /// Reserves bytes of a tenant's body quota.
    ///
    /// # Errors
    /// The rejection, if the tenant's quota does not have that many bytes left.
    pub fn reserve_body(
        self: &Rc<Self>,
        tenant: &Rc<str>,
        bytes: u64,
    ) -> Result<BodyPermit, Rejection> {
        if self.admission.borrow_mut().try_reserve_body(tenant, bytes) {
            return Ok(BodyPermit { controller: self.clone(), tenant: tenant.clone(), bytes });
        }
        let rejection = body_rejection();
        self.log_rejection(tenant, "", rejection.code);
        Err(rejection)
    }

    /// Waits until the request gets a slot at the cluster or is rejected. It is rejected as soon as
    /// it can no longer be served in time. `retry_after` returns when the client may retry a
    /// rejected request, in nanoseconds.
    ///
    /// # Errors
    /// The rejection, if the queue is full or the request cannot be served in time.
    pub async fn admit_to_cluster(
        self: &Rc<Self>,
        cluster: &Rc<str>,
        request: QueueRequest,
        retry_after: impl Fn() -> Nanos,
    ) -> Result<AdmittedRequest, Rejection> {
        let started_at = self.clock.now();
        let QueueRequest { tenant, client_timeout, expected_latency, .. } = request;
        let entry = QueueEntry {
            tenant: tenant.clone(),
            is_repeat: request.is_repeat,
            priority_weight: request.priority_weight,
            deadline: started_at.saturating_add(client_timeout),
            expected_latency,
        };
        let offered = self.admission.borrow_mut().enqueue(started_at, cluster, entry);
        let Some(Enqueued { decision, transitions }) = offered else {
            return Ok(AdmittedRequest { permit: None, remaining_timeout: client_timeout });
        };
        self.waiters.notify(cluster, transitions);
        let max_wait = client_timeout.saturating_sub(expected_latency);
        let result = match decision {
            QueueDecision::Admit => Ok(()),
            QueueDecision::Reject(reason) => Err(reason),
            QueueDecision::Wait(ticket) => {
                let key = WaiterKey { cluster: cluster.clone(), ticket };
                self.wait_in_queue(key, &tenant, started_at.saturating_add(max_wait)).await
            }
        };
        if let Err(reason) = result {
            let rejection = queue_rejection(reason);
            self.log_rejection(&tenant, cluster, rejection.code);
            return Err(rejection.retry_after(retry_after().max(MIN_RETRY_AFTER)));
        }
        let permit = Some(self.cluster_permit(cluster, &tenant));
        let waited = self.clock.now().saturating_sub(started_at);
        let remaining_timeout = client_timeout.saturating_sub(waited).max(1);
        Ok(AdmittedRequest { permit, remaining_timeout })
    }

    async fn wait_in_queue(
        self: &Rc<Self>,
        key: WaiterKey,
        tenant: &Rc<str>,
        deadline: Nanos,
    ) -> WaitResult {
        self.waiters.insert(key.clone());
        let wait = QueueWait { controller: self, key, tenant: tenant.clone() };
        let deadline = self.clock.instant(deadline);
        timeout_at(deadline, wait.result()).await.unwrap_or(Err(RejectReason::DeadlineUnreachable))
    }
}
