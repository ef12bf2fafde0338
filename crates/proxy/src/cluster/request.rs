//! Requests to a cluster's runtime, and their final outcomes.

use crate::memory::MemoryAccount;
use crate::upstream::attempt_control::ResponseRecipient;
use crate::upstream::request_body::RequestBody;
use crate::upstream::response::UpstreamResponse;
use hyper::header::HeaderValue;
use hyper::Request;
use mintshelf_balancer::api::{ClassId, TenantId};
use mintshelf_time::Nanos;
use std::rc::Rc;
use tokio::sync::OwnedSemaphorePermit;

/// The final outcome of a request.
pub enum RequestOutcome {
    /// A server answered the request with this response.
    Served(Box<UpstreamResponse>),
    /// The request is rejected; the client may safely send it again.
    Rejected {
        /// Delay after which the client may retry, in nanoseconds.
        retry_after: Nanos,
        /// Send time of the first attempt that a server may have run; `None` if there is no such
        /// attempt.
        ran_at: Option<Nanos>,
    },
    /// The request is rejected because the cluster is down or recovering. The value is the delay
    /// after which the client may retry, in nanoseconds.
    RejectedDuringOutage(Nanos),
    /// The request failed, and may have run.
    Failed {
        /// Whether the last attempt timed out.
        timed_out: bool,
    },
}

/// Properties of a request that the decision module uses.
pub struct RequestMetadata {
    /// Class of the request; the class's settings apply to the request's attempts.
    pub class: ClassId,
    /// Tenant that the request belongs to.
    pub tenant: TenantId,
    /// Hash of the object that the request concerns; `None` if the object is unknown.
    pub key: Option<u64>,
    /// Expected work of the request, in nanoseconds; `None` if unknown.
    pub cost_estimate: Option<Nanos>,
    /// Whether the client marked the request as a retry.
    pub is_repeat: bool,
    /// Maximum time that the client waits for the response, in nanoseconds.
    pub client_timeout: Nanos,
}

/// A request as it is sent to servers, with the memory budget that its body uses.
pub struct UpstreamRequest {
    /// Head and body of the request, of which each attempt makes a copy when it is sent.
    pub message: Rc<Request<RequestBody>>,
    /// The id that the client gave the request; no two pending requests may share one.
    pub transaction_id: Option<HeaderValue>,
    /// The body's bytes in the memory budget, reserved until the last attempt has ended.
    pub body_permit: Option<OwnedSemaphorePermit>,
    /// The account of the request's memory, kept until the last attempt has ended.
    pub memory: Rc<MemoryAccount>,
    /// The client that waits for the response; `None` for a request that this process originates.
    pub client: Option<Rc<dyn ResponseRecipient>>,
}
