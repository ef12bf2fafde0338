//! Decides when this side closes a client connection, and how.

use super::connection::{Client, Phase};
use crate::tcp::{is_reset, SharedStream};
use std::future::{pending, poll_fn};
use std::task::Poll;
use std::time::Duration;
use tokio::time::{sleep, Instant};
use tokio_util::sync::CancellationToken;

/// Minimum time between the end of a response and the eviction of its connection, in which the
/// client can read the response.
const RESPONSE_READ_TIME: Duration = Duration::from_millis(20);
/// Interval of the checks whether a connection that is to be closed has unread bytes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Idle connections are closed this long after SIGTERM. By then no new connections arrive, and a
/// client whose request crosses the close can send it again elsewhere.
const IDLE_SHUTDOWN_DELAY: Duration = Duration::from_millis(450);

/// Response to a request that is not read.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    retry-after: 1\r\ncontent-length: 0\r\n\r\n";

/// The manner in which a connection is closed: after the client has read everything, or at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// After the client has read everything that was sent to it.
    Graceful,
    /// Immediately: the client cannot receive a response or does not read it.
    Immediate,
}

/// The reason why the sidecar closes a client connection, for the debug log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The connection was idle for too long, or a request or the reading of its response took too
    /// long.
    TimedOut,
    /// The connection was evicted because capacity for further connections was low or used up.
    Evicted,
    /// The request was not finished, or its response not read, and others wait for memory or for a
    /// connection.
    CapacityShort,
    /// The connection was idle while the process shuts down.
    ShutDown,
    /// The client reset the connection.
    ResetByClient,
    /// A request was malformed.
    MalformedRequest,
    /// The client closed the connection, or a response had `Connection: close`.
    Ended,
}

/// Waits until a connection times out, is evicted, or is idle during the shutdown, and returns how
/// and why to close it. Unread bytes are served first: closing a socket with unread bytes sends a
/// reset, and the reset may discard a response that the client has not read yet.
pub(super) async fn wait_for_close(
    client: &Client,
    draining: &CancellationToken,
) -> (CloseMode, CloseReason) {
    let reason = tokio::select! {
        () = wait_for_timeout(client) => CloseReason::TimedOut,
        () = wait_for_eviction(client) => CloseReason::Evicted,
        () = wait_for_forced_eviction(client) => CloseReason::CapacityShort,
        () = wait_for_shutdown(client, draining) => CloseReason::ShutDown,
    };
    let mode = match client.phase() {
        // The request will not get a response, or the client does not read its response.
        Phase::Busy => CloseMode::Immediate,
        _ => CloseMode::Graceful,
    };
    (mode, reason)
}

async fn wait_for_timeout(client: &Client) {
    loop {
        if client.phase.deadline() > Instant::now() {
            client.phase.wait_for_deadline().await;
        } else if client.phase() == Phase::Idle && client.has_pending() {
            sleep(POLL_INTERVAL).await;
        } else {
            return;
        }
    }
}

async fn wait_for_eviction(client: &Client) {
    client.eviction.cancelled().await;
    // A request that has arrived in the meantime is served first.
    wait_until_closable(client, |phase| phase <= Phase::Discarding).await;
}

async fn wait_for_forced_eviction(client: &Client) {
    client.forced_eviction.cancelled().await;
    if !client.may_be_cut_off() && !client.is_response_stalled() {
        // The request has become complete in the meantime, and gets its response.
        client.close_after_response();
        pending::<()>().await;
    }
}

async fn wait_for_shutdown(client: &Client, draining: &CancellationToken) {
    draining.cancelled().await;
    sleep(IDLE_SHUTDOWN_DELAY).await;
    wait_until_closable(client, |phase| phase == Phase::Idle).await;
}

/// Waits until a connection is in a phase in which it may be closed and has no unread request, which
/// is served first.
async fn wait_until_closable(client: &Client, is_closable_in: impl Fn(Phase) -> bool) {
    while !is_closable_in(client.phase()) || client.has_unread_request() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Rejects a request that has arrived in part or not been read, if its connection is closed for lack
/// of capacity. It was not forwarded, so the client may send it again.
pub(super) fn reject_unread(stream: &SharedStream, client: &Client, reason: CloseReason) {
    let lacks_capacity = match reason {
        CloseReason::Evicted | CloseReason::CapacityShort => true,
        CloseReason::TimedOut => client.memory.is_paused(),
        _ => false,
    };
    let is_unread =
        client.is_unfinished() || (client.phase() <= Phase::Idle && client.has_pending());
    if lacks_capacity && is_unread {
        // The client may have reset the connection.
        stream.borrow().try_write(REJECTION).ok();
    }
}

/// Waits until the client resets a connection while its request is in flight, which the HTTP
/// library does not check for. Waits forever unless `allows_half_close`: otherwise the end of the
/// client's stream already counts as a disconnect.
pub(super) async fn wait_for_reset(
    stream: &SharedStream,
    client: &Client,
    allows_half_close: bool,
) {
    poll_fn(|cx| {
        if !allows_half_close || client.phase() != Phase::Busy {
            return Poll::Pending;
        }
        let is_ready = stream.borrow().poll_read_ready(cx).is_ready();
        if is_ready && is_reset(stream) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Returns the time by which a client could have read its last response: the current time if the
/// connection was evicted before its first request.
pub(super) fn read_deadline(client: &Client) -> Instant {
    match client.phase() {
        Phase::New if client.eviction.is_cancelled() && !client.is_unfinished() => Instant::now(),
        Phase::Idle | Phase::Discarding => client.phase_since() + RESPONSE_READ_TIME,
        _ => Instant::now() + RESPONSE_READ_TIME,
    }
}
