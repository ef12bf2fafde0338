//! Sends a request to its cluster: through the cluster's queue, then to the decision module.

use super::admission::{ClusterPermit, QueueRequest};
use super::config::{ClusterHandle, ServingConfig};
use super::rejection::Rejection;
use crate::cluster::request::{RequestMetadata, RequestOutcome, UpstreamRequest};
use mintshelf_balancer::api::{ClassId, TenantId};
use mintshelf_time::Nanos;
use std::rc::Rc;

/// The options with which a request is sent to a cluster.
pub(crate) struct DispatchOptions {
    /// The id of the request's class in the decision module.
    pub(crate) class: ClassId,
    /// The priority of the request, 0 or more. Among waiting requests of one tenant with the same
    /// `is_repeat`, those with a larger number are admitted first and, when the queue is full,
    /// rejected last.
    pub(crate) priority_weight: f64,
    /// Whether the request was sent before, for example if this is a retry by the client.
    pub(crate) is_repeat: bool,
    /// Maximum time that the client waits for the response, in nanoseconds.
    pub(crate) client_timeout: Nanos,
    /// Name of the request's tenant; `None` if the listener has no limits.
    pub(crate) tenant: Option<Rc<str>>,
}

/// The outcome of a request that was sent to its cluster, and the slot that the request holds
/// there.
pub(crate) struct Dispatched {
    /// The outcome; `None` if a request with the same transaction id is in flight.
    pub(crate) outcome: Option<RequestOutcome>,
    /// The slot that the request holds at the cluster; `None` if the cluster has no limit.
    pub(crate) permit: Option<ClusterPermit>,
}

/// Sends a request to a cluster: through its queue, if the cluster has a limit, and then to the
/// decision module.
///
/// # Errors
/// The rejection, if the request does not get a slot at the cluster in time.
pub(crate) async fn dispatch(
    serving: &ServingConfig,
    cluster_name: &str,
    cluster: &ClusterHandle,
    options: DispatchOptions,
    request: UpstreamRequest,
) -> Result<Dispatched, Rejection> {
    let DispatchOptions { class, priority_weight, is_repeat, client_timeout, tenant } = options;
    let mut permit = None;
    let mut client_timeout = client_timeout;
    let limits = serving.admission.as_ref().and_then(|admission| {
        Some((&admission.controller, admission.cluster_names.get(cluster_name)?))
    });
    if let Some(((controller, cluster_name), tenant)) = limits.zip(tenant) {
        let runtime = &cluster.runtime;
        let queued = QueueRequest {
            tenant,
            is_repeat,
            priority_weight,
            client_timeout,
            // While the latency is unknown, a request may wait until its deadline.
            expected_latency: runtime.median_latency(class).unwrap_or(0),
        };
        let retry_after = || runtime.retry_after(class);
        let admitted = controller.admit_to_cluster(cluster_name, queued, retry_after).await?;
        permit = admitted.permit;
        client_timeout = admitted.remaining_timeout;
    }
    let metadata = RequestMetadata {
        class,
        tenant: TenantId::default(),
        key: None,
        cost_estimate: None,
        is_repeat,
        client_timeout,
    };
    let outcome = cluster.runtime.serve(metadata, request).await;
    Ok(Dispatched { outcome, permit })
}
