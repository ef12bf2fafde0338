//! Reading the body of a platform request, which is always complete before an attempt sends it.

use super::rejection::RejectedRequest;
use crate::body::{byte_count, BufferedBody};
use crate::budget::acquire_bytes;
use crate::headers::BODY_MAX;
use crate::upstream::request_body::RequestBody;
use bytes::BytesMut;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use mintshelf_time::Nanos;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

/// How long a body waits for capacity among the bodies in memory.
const CAPACITY_WAIT_MAX: Duration = Duration::from_secs(1);

/// A request's body, and its bytes in the budget of the process.
pub(super) struct BudgetedBody {
    pub(super) body: RequestBody,
    pub(super) permit: Option<OwnedSemaphorePermit>,
    /// How long it waited for capacity. All of it may have arrived before.
    pub(super) capacity_wait: Duration,
}

/// Reads a body to its end, where there is capacity for it while its client waits.
///
/// # Errors
/// The rejection of a body that is too long, breaks off or finds no capacity.
pub(super) async fn read_body(
    budget: &Arc<Semaphore>,
    body: &mut Incoming,
    client_timeout: Nanos,
) -> Result<BudgetedBody, RejectedRequest> {
    if body.size_hint().lower() > byte_count(BODY_MAX) {
        return Err(too_long());
    }
    let capacity_wait_max = CAPACITY_WAIT_MAX.min(Duration::from_nanos(client_timeout));
    let mut capacity_wait = Duration::ZERO;
    let mut buffered = BytesMut::new();
    let mut permit: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
        let frame = frame.map_err(|_| RejectedRequest::bad_request("body\n"))?;
        let Ok(data) = frame.into_data() else { continue };
        if buffered.len() + data.len() > BODY_MAX {
            return Err(too_long());
        }
        let wait_began_at = Instant::now();
        let more = acquire_bytes(budget, data.len());
        let wait_left = capacity_wait_max.saturating_sub(capacity_wait);
        let Ok(Ok(more)) = timeout(wait_left, more).await else {
            // Nothing has been sent for it: the client may try again.
            return Err(RejectedRequest::new(StatusCode::SERVICE_UNAVAILABLE, "no room\n"));
        };
        capacity_wait += wait_began_at.elapsed();
        match &mut permit {
            Some(permit) => permit.merge(more),
            None => permit = Some(more),
        }
        buffered.extend_from_slice(&data);
    }
    let body = RequestBody::Buffered(BufferedBody::new(buffered.freeze()));
    Ok(BudgetedBody { body, permit, capacity_wait })
}

fn too_long() -> RejectedRequest {
    RejectedRequest::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long\n")
}
