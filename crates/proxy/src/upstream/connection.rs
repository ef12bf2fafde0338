//! A connection to a server, which carries one exchange at a time.

use super::connection_limits::ConnectionPermit;
use super::request_body::RequestBody;
use super::write_progress::WriteProgress;
use crate::body::{byte_count, short_length};
use crate::headers::map_bytes;
use crate::memory::{MemoryBudget, MemoryClaim, MemoryUse};
use crate::tcp::{pending, ObservedStream, Pending, SharedStream};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mintshelf_balancer::api::{Outcome, ServerId};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, timeout, Instant};

/// A response that pauses half-way for this long is treated as incomplete. Servers write a response
/// in one go, so a pause means that its stated length is too long, that its head does not end, or
/// that the server was cut off while writing. A server that writes in small steps would not work.
const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// The HTTP library's side of a connection, which does the I/O when polled.
pub(crate) type ConnectionDriver = Connection<TokioIo<ObservedStream<WriteProgress>>, RequestBody>;

/// A server and its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The number that identifies the server.
    pub server: ServerId,
    /// The address that the server listens on.
    pub address: SocketAddr,
}

/// Identifies the server, and its cluster, that an idle connection belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct PoolKey {
    pub(crate) cluster: u32,
    pub(crate) server: ServerId,
}

/// Counts a connection against the process's file descriptors and the cluster's limits, until
/// dropped.
#[derive(Debug)]
#[must_use = "the connection counts for as long as this lives"]
pub(crate) struct ConnectionGuards {
    pub(crate) _descriptor: OwnedSemaphorePermit,
    pub(crate) _connection: ConnectionPermit,
}

/// A connection to a server. Its user polls the driver, not a task of its own, so that dropping the
/// connection closes the socket immediately: no copy of a request outlives its attempt.
pub(crate) struct UpstreamConnection {
    pub(crate) sender: SendRequest<RequestBody>,
    /// The HTTP library's side of the connection; `None` once the library has ended the connection.
    pub(crate) driver: Option<Pin<Box<ConnectionDriver>>>,
    pub(crate) stream: SharedStream,
    pub(crate) progress: Rc<WriteProgress>,
    pub(crate) memory: Rc<MemoryBudget>,
    /// The memory of the exchange; `None` without one.
    pub(crate) claim: Option<MemoryClaim>,
    pub(crate) target: Target,
    pub(crate) key: PoolKey,
    pub(crate) idle_since: Instant,
    pub(crate) idle_timeout: Duration,
    pub(crate) guards: ConnectionGuards,
}

/// The byte stream of a connection that was upgraded by a 101 response.
pub(crate) struct UpgradedStream {
    pub(crate) stream: SharedStream,
    /// Bytes that were read after the 101 response.
    pub(crate) read_ahead: Bytes,
    pub(crate) guards: ConnectionGuards,
}

impl UpstreamConnection {
    /// Sends a request and waits for the head of its response; `may_run_early` is whether the server
    /// may begin to run the request before its last byte.
    ///
    /// # Errors
    /// The outcome of the attempt, if no head arrived.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
        may_run_early: bool,
    ) -> Result<Response<Incoming>, Outcome> {
        let body_bytes = if may_run_early { 0 } else { request.body().size_hint().lower() };
        self.send_with(request, body_bytes, drive).await
    }

    /// Sends a request, which the server may run once it has `body_bytes` of its body; `poll_driver`
    /// polls the HTTP library.
    async fn send_with(
        &mut self,
        request: Request<RequestBody>,
        body_bytes: u64,
        mut poll_driver: impl FnMut(&mut Option<Pin<Box<ConnectionDriver>>>, &mut Context<'_>),
    ) -> Result<Response<Incoming>, Outcome> {
        self.progress.start_request(body_bytes);
        self.progress.count_head(map_bytes(request.headers()));
        let mut response = pin!(self.sender.send_request(request));
        let driver = &mut self.driver;
        let progress = &self.progress;
        let response_head = poll_fn(|cx| {
            poll_driver(driver, cx);
            response.as_mut().poll(cx)
        });
        tokio::select! {
            biased;
            result = response_head => result.map_err(|error| outcome_of_error(progress, &error)),
            () = response_stalled(progress) => Err(Outcome::Error),
        }
    }

    /// Reads the body of a response to its end.
    ///
    /// # Errors
    /// The outcome of the attempt, if the body is longer than `max_bytes`, stalls or is cut off.
    pub(crate) async fn read_body(
        &mut self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, Outcome> {
        if body.size_hint().lower() > byte_count(max_bytes) {
            return Err(Outcome::Error);
        }
        // In one piece, so that it is known whether there is memory for all of it.
        let capacity = short_length(&body).unwrap_or(max_bytes).min(max_bytes);
        self.admit_body(capacity).await;
        let mut received = Vec::with_capacity(capacity);
        let mut read_to_end = pin!(async {
            loop {
                let frame = poll_fn(|cx| {
                    drive(&mut self.driver, cx);
                    Pin::new(&mut body).poll_frame(cx)
                });
                let Some(frame) = frame.await else { return Ok(()) };
                let frame = frame.map_err(|error| outcome_of_error(&self.progress, &error))?;
                let data = frame.into_data().unwrap_or_default();
                if received.len() + data.len() > max_bytes {
                    return Err(Outcome::Error);
                }
                received.extend_from_slice(&data);
            }
        });
        loop {
            match timeout(RESPONSE_STALL_TIMEOUT, read_to_end.as_mut()).await {
                Ok(result) => break result?,
                // The rest of the response waits for memory on this side.
                Err(_) if self.progress.take_paused() => {}
                Err(_) => return Err(Outcome::Error),
            }
        }
        Ok(Bytes::from(received))
    }

    /// Waits until there is memory for a response body.
    pub(crate) async fn admit_body(&mut self, bytes: usize) {
        self.memory.admit(MemoryUse::ResponseBody, bytes).await;
        if let Some(claim) = &mut self.claim {
            claim.grow(bytes);
        }
        self.progress.admit_body();
    }

    /// Sends a WebSocket handshake and waits for the head of its response. After a 101, call
    /// [`UpstreamConnection::into_upgraded`]; otherwise the connection is used as after
    /// [`UpstreamConnection::send`].
    ///
    /// # Errors
    /// The outcome of the attempt, if no head arrived.
    pub(crate) async fn send_handshake(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, Outcome> {
        // After a 101 the driver completes. It is kept, as it holds the bytes that it read after the
        // response.
        let mut driver_has_ended = false;
        let poll_driver = |driver: &mut Option<Pin<Box<ConnectionDriver>>>,
                           cx: &mut Context<'_>| {
            if let Some(driver) = driver.as_mut().filter(|_| !driver_has_ended) {
                driver_has_ended = driver.poll_without_shutdown(cx).is_ready();
            }
        };
        let response = self.send_with(request, 0, poll_driver).await?;
        if driver_has_ended && response.status() != StatusCode::SWITCHING_PROTOCOLS {
            self.driver = None;
        }
        Ok(response)
    }

    /// Takes the byte stream out of the HTTP library after a 101. `None` if the library fails or does
    /// not finish in time.
    pub(crate) async fn into_upgraded(self) -> Option<UpgradedStream> {
        let mut driver = Pin::into_inner(self.driver?);
        let ended = poll_fn(|cx| driver.poll_without_shutdown(cx));
        timeout(RESPONSE_STALL_TIMEOUT, ended).await.ok()?.ok()?;
        let read_ahead = driver.into_parts().read_buf;
        Some(UpgradedStream { stream: self.stream, read_ahead, guards: self.guards })
    }

    /// Returns whether the connection can carry another request immediately.
    pub(crate) fn is_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        drive(&mut self.driver, cx);
        self.driver.is_some()
            && (self.progress.is_complete() || !self.progress.has_started())
            && matches!(self.sender.poll_ready(cx), Poll::Ready(Ok(())))
    }

    /// Polls the HTTP library, which reads and writes on the connection.
    pub(crate) fn drive(&mut self, cx: &mut Context<'_>) {
        drive(&mut self.driver, cx);
    }

    /// Returns whether an idle connection is open and within its idle timeout. Peeks with a system
    /// call, as the reactor may not have reported yet that the server closed or reset the
    /// connection.
    pub(crate) fn is_alive(&self) -> bool {
        let may_idle = self.idle_since.elapsed() < self.idle_timeout;
        self.driver.is_some() && may_idle && pending(&self.stream) == Pending::Nothing
    }
}

/// Polls a driver, and drops the driver when it has ended.
fn drive(driver: &mut Option<Pin<Box<ConnectionDriver>>>, cx: &mut Context<'_>) {
    if let Some(connection) = driver {
        if connection.as_mut().poll(cx).is_ready() {
            *driver = None;
        }
    }
}

/// Waits until a response that has partly arrived stalls.
async fn response_stalled(progress: &WriteProgress) {
    loop {
        let deadline = progress.partial_response_at().map(|at| at + RESPONSE_STALL_TIMEOUT);
        match deadline {
            Some(deadline) if deadline <= Instant::now() => return,
            _ => sleep_until(deadline.unwrap_or(Instant::now() + RESPONSE_STALL_TIMEOUT)).await,
        }
    }
}

/// Returns the outcome of an attempt whose exchange failed with `error`. A request that was not
/// completely written can't have run.
pub(crate) fn outcome_of_error(progress: &WriteProgress, error: &hyper::Error) -> Outcome {
    if !progress.is_complete() {
        Outcome::ConnectFailed
    } else if error.is_parse() {
        Outcome::Error
    } else {
        Outcome::Reset
    }
}
