//! Reads the body of a platform request, which is buffered completely before the first attempt.

use super::rejection::RejectedRequest;
use crate::body::{byte_count, short_length, BufferedBody};
use crate::budget::{acquire_bytes, BodyBudgets};
use crate::client::connection::Client;
use crate::client::request_body::ClientBody;
use crate::headers::BODY_MAX;
use crate::memory::MemoryUse;
use crate::upstream::request_body::RequestBody;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::StatusCode;
use mintshelf_time::Nanos;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout, Instant};

/// Maximum time that a body waits for capacity in the body budget.
const CAPACITY_WAIT_MAX: Duration = Duration::from_secs(1);

/// A request body and its permit in the process's body budget.
pub(super) struct BudgetedBody {
    pub(super) body: RequestBody,
    pub(super) permit: Option<OwnedSemaphorePermit>,
    /// Time that the body waited for capacity in the budget. The body may have arrived completely
    /// before that wait.
    pub(super) capacity_wait: Duration,
}

/// Reads a complete body. Waits for capacity no longer than the client waits.
///
/// # Errors
/// The rejection, if the body is too long or incomplete, or if there is no capacity for it.
pub(super) async fn read_body(
    budgets: &BodyBudgets,
    client: &Client,
    body: &mut ClientBody,
    client_timeout: Nanos,
) -> Result<BudgetedBody, RejectedRequest> {
    if body.size_hint().lower() > byte_count(BODY_MAX) {
        return Err(too_long());
    }
    let capacity_wait_max = CAPACITY_WAIT_MAX.min(Duration::from_nanos(client_timeout));
    let max_bytes = short_length(body).unwrap_or(BODY_MAX);
    let mut capacity_wait = admit_memory(budgets, client, max_bytes, capacity_wait_max).await?;
    // In one piece: the memory has been admitted for all of it.
    let mut buffered = Vec::with_capacity(max_bytes);
    let mut permit: Option<OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| RejectedRequest::bad_request("body\n"))?;
        let Ok(data) = frame.into_data() else { continue };
        if buffered.len() + data.len() > BODY_MAX {
            return Err(too_long());
        }
        let wait_began_at = Instant::now();
        let more = acquire_bytes(&budgets.bytes, data.len());
        let wait_left = capacity_wait_max.saturating_sub(capacity_wait);
        let Ok(Ok(more)) = timeout(wait_left, more).await else {
            return Err(no_capacity());
        };
        capacity_wait += wait_began_at.elapsed();
        match &mut permit {
            Some(permit) => permit.merge(more),
            None => permit = Some(more),
        }
        buffered.extend_from_slice(&data);
    }
    let body = RequestBody::Buffered(BufferedBody::new(Bytes::from(buffered)));
    Ok(BudgetedBody { body, permit, capacity_wait })
}

/// Waits until there is memory for a body; returns how long that took.
async fn admit_memory(
    budgets: &BodyBudgets,
    client: &Client,
    bytes: usize,
    max_wait: Duration,
) -> Result<Duration, RejectedRequest> {
    let wait_began_at = Instant::now();
    if bytes > 0 {
        let admitted = budgets.memory.admit(MemoryUse::RequestGrowth, bytes);
        timeout(max_wait, admitted).await.map_err(|_| no_capacity())?;
        client.admit_body(bytes);
    }
    Ok(wait_began_at.elapsed())
}

/// Rejects a request that has not been sent to a server, so that the client may retry.
fn no_capacity() -> RejectedRequest {
    RejectedRequest::new(StatusCode::SERVICE_UNAVAILABLE, "no room\n")
}

fn too_long() -> RejectedRequest {
    RejectedRequest::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long\n")
}
