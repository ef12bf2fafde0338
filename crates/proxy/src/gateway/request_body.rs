//! Reads the body of a request: buffers it if it is short and complete, otherwise streams it.

use super::rejection::Rejection;
use crate::body::{short_length, BufferedBody};
use crate::budget::{acquire_bytes, BodyBudgets};
use crate::client::connection::{Client, Phase};
use crate::client::request_body::ClientBody;
use crate::headers::BODY_MAX;
use crate::memory::MemoryUse;
use crate::upstream::request_body::{RequestBody, StreamedBody};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use hyper::StatusCode;
use mintshelf_time::SECOND;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout, timeout_at, Instant};

/// Maximum time that a body waits for capacity in the body budget.
const CAPACITY_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait for the end of a body that is not known to be short, before the body is streamed. A
/// body that is buffered completely can be sent again by a retry.
const COMPLETION_WAIT: Duration = Duration::from_millis(5);

/// The part of a request body that the proxy buffers before it sends the request to a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BufferPlan {
    /// Whether the length of the body is known and at most [`BODY_MAX`].
    is_short: bool,
    /// Maximum number of bytes of the body to buffer.
    pub(crate) max_bytes: usize,
}

impl BufferPlan {
    /// Returns the plan for an unread body.
    pub(crate) fn of(body: &ClientBody) -> Self {
        let length = short_length(body);
        BufferPlan { is_short: length.is_some(), max_bytes: length.unwrap_or(BODY_MAX) }
    }
}

/// A request body and its permit in the process's body budget.
#[derive(Default)]
pub(crate) struct BudgetedBody {
    pub(crate) body: RequestBody,
    pub(crate) permit: Option<OwnedSemaphorePermit>,
}

/// Reads the start of a body, or all of it if it is short.
///
/// # Errors
/// The rejection, if the budget has no capacity for the body or the body cannot be read.
pub(crate) async fn read_body(
    budgets: &BodyBudgets,
    client: &Client,
    mut body: ClientBody,
) -> Result<BudgetedBody, Rejection> {
    if body.is_end_stream() {
        return Ok(BudgetedBody::default());
    }
    let plan = BufferPlan::of(&body);
    let max_bytes = plan.max_bytes.max(1);
    let admitted = async {
        budgets.memory.admit(MemoryUse::RequestGrowth, max_bytes).await;
        acquire_bytes(&budgets.bytes, max_bytes).await
    };
    let Ok(Ok(permit)) = timeout(CAPACITY_WAIT, admitted).await else {
        return Err(no_capacity());
    };
    client.admit_body(max_bytes);
    client.enter(Phase::Busy);
    let start = read_start(plan, &mut body).await?;
    if client.is_body_ambiguous() {
        return Err(Rejection::ambiguous_framing("the body's chunks can be read in two ways"));
    }
    let body = if plan.is_short || start.is_complete {
        RequestBody::Buffered(BufferedBody::new(start.bytes))
    } else {
        RequestBody::Streamed(StreamedBody::new(start.bytes, body))
    };
    Ok(BudgetedBody { body, permit: Some(permit) })
}

struct BodyStart {
    bytes: Bytes,
    is_complete: bool,
}

async fn read_start(plan: BufferPlan, body: &mut ClientBody) -> Result<BodyStart, Rejection> {
    let mut buffered = BytesMut::new();
    let mut is_complete = false;
    let deadline = Instant::now() + COMPLETION_WAIT;
    while !is_complete && buffered.len() < plan.max_bytes.max(1) {
        let next_frame = body.frame();
        let frame = match plan.is_short {
            true => Some(next_frame.await),
            false => timeout_at(deadline, next_frame).await.ok(),
        };
        match frame {
            None => break,
            Some(None) => is_complete = true,
            Some(Some(Ok(frame))) => buffered.extend_from_slice(&data_of(frame)),
            Some(Some(Err(_))) => return Err(unreadable_body()),
        }
    }
    Ok(BodyStart { bytes: buffered.freeze(), is_complete })
}

fn data_of(frame: Frame<Bytes>) -> Bytes {
    frame.into_data().unwrap_or_default()
}

fn no_capacity() -> Rejection {
    let detail = "there is no room for its body now; it has not run";
    let rejection = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "no-room", detail);
    rejection.retry_after(SECOND).closing_connection()
}

fn unreadable_body() -> Rejection {
    let detail = "the body can't be read";
    Rejection::new(StatusCode::BAD_REQUEST, "body", detail).closing_connection()
}
