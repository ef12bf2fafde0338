//! The exchange of one attempt with its server: acquires a connection, sends the request and
//! receives the response.

use super::attempt_control::AttemptControl;
use super::connection::{Target, UpstreamConnection};
use super::connection_limits::ConnectionUse;
use super::pool::{ConnectionBounds, Upstream};
use super::receive::SMALL_BODY_MAX;
use super::request_body::{RequestBody, StreamedBody};
use super::response::{AttemptResult, UpstreamProtocol};
use super::write_progress::WriteProgress;
use crate::body::short_length;
use crate::headers::{map_bytes, BODY_MAX};
use crate::memory::{MemoryAccount, MemoryUse};
use crate::platform_protocol::REMAINING_MS;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Request, StatusCode};
use mintshelf_balancer::api::Outcome;
use mintshelf_websocket::handshake::HandshakeRequest;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Time limits of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptDeadlines {
    /// Time at which the attempt times out.
    pub end: Instant,
    /// The request must be completely sent before this time.
    pub send_by: Option<Instant>,
    /// Maximum time to establish a connection, if shorter than the cluster's connect timeout.
    pub connect_timeout: Option<Duration>,
    /// A connection that has been idle for longer is not used.
    pub max_idle: Option<Duration>,
}

/// What an attempt sends, and the account that its memory belongs to.
#[derive(Clone)]
pub struct AttemptMessage {
    /// The head and the body of the request. They are copied when the attempt is sent.
    pub request: Rc<Request<RequestBody>>,
    /// The account of the request's memory.
    pub memory: Rc<MemoryAccount>,
}

/// Memory that the HTTP library takes for a connection to a server and a short request, in bytes.
const CONNECTION_BYTES: usize = 24 << 10;

/// How far an attempt has got.
#[derive(Default)]
struct ExchangeProgress {
    /// Whether there was memory for the attempt, so that it could approach its server.
    is_admitted: Cell<bool>,
    /// The write progress of the connection that the attempt uses, once it has one.
    written: RefCell<Option<Rc<WriteProgress>>>,
}

impl ExchangeProgress {
    fn follow(&self, progress: Rc<WriteProgress>) {
        *self.written.borrow_mut() = Some(progress);
    }

    /// Returns whether the server may have received the complete request.
    fn is_sent(&self) -> bool {
        self.written.borrow().as_ref().is_some_and(|progress| progress.is_complete())
    }
}

/// The body of a streamed request, and the maximum pause of the client that sends it.
struct Upload {
    body: StreamedBody,
    stall_timeout: Duration,
}

impl Upstream {
    /// Sends a request exactly once, on one connection, without retries.
    pub async fn attempt(
        self: &Rc<Self>,
        target: Target,
        message: AttemptMessage,
        deadlines: AttemptDeadlines,
        control: &AttemptControl,
    ) -> AttemptResult {
        let progress = ExchangeProgress::default();
        let upload = self.streamed_upload(&message.request);
        let response_timeout = deadlines.end.saturating_duration_since(Instant::now());
        let stopped = tokio::select! {
            biased;
            result = self.exchange(target, message, &progress, deadlines, control) => return result,
            () = control.cancelled() => Outcome::Cancelled,
            () = timed_out(upload, response_timeout, deadlines.end) => Outcome::TimedOut,
            () = send_deadline_missed(&progress, deadlines.send_by) => Outcome::Unused,
        };
        // The exchange was dropped, which closed its connection. A request that had not been written
        // completely by then can't have run.
        AttemptResult::from(match stopped {
            stopped if progress.is_sent() || stopped == Outcome::Unused => stopped,
            // A lack of memory on this side says nothing about the server.
            _ if !progress.is_admitted.get() => Outcome::Unused,
            _ => Outcome::ConnectFailed,
        })
    }

    fn streamed_upload(&self, request: &Request<RequestBody>) -> Option<Upload> {
        match (request.body(), &self.protocol) {
            (RequestBody::Streamed(body), UpstreamProtocol::Plain(protocol)) => {
                Some(Upload { body: body.clone(), stall_timeout: protocol.stall_timeout })
            }
            _ => None,
        }
    }

    async fn exchange(
        self: &Rc<Self>,
        target: Target,
        message: AttemptMessage,
        progress: &ExchangeProgress,
        deadlines: AttemptDeadlines,
        control: &AttemptControl,
    ) -> AttemptResult {
        let AttemptMessage { request, memory } = message;
        let handshake = request.extensions().get::<Arc<HandshakeRequest>>().cloned();
        let reserve = memory.reserve(MemoryUse::Attempt, attempt_bytes(&request));
        let admitted_connection = async {
            let reservation = reserve.await;
            progress.is_admitted.set(true);
            let connection = self.connection_for(target, handshake.is_some(), deadlines);
            // Boxed, so that the future of an attempt that waits for memory is small.
            Box::pin(connection).await.map(|connection| (connection, reservation))
        };
        let connection = tokio::select! {
            biased;
            () = control.client_disconnected() => Err(Outcome::Unused),
            connection = admitted_connection => connection,
        };
        let (mut connection, reservation) = match connection {
            Ok(admitted) => admitted,
            Err(outcome) => return outcome.into(),
        };
        self.wait_for_arriving_list().await;
        control.connected();
        // Connecting may have taken so long that the deduplication window has passed, that the
        // client has disconnected, or that the server is draining.
        let is_late = deadlines.send_by.is_some_and(|by| by <= Instant::now());
        if is_late || control.is_client_disconnected() || !self.takes_requests(target) {
            self.release(connection);
            return Outcome::Unused.into();
        }
        progress.follow(connection.progress.clone());
        connection.claim = reservation.allocate();
        let request = self.copy_request(&request, deadlines.end);
        match handshake {
            Some(handshake) => {
                Box::pin(self.exchange_handshake(connection, request, &handshake)).await
            }
            None => Box::pin(self.exchange_request(connection, request)).await,
        }
    }

    /// Copies a request for the server, which is told on the platform how much time is left until
    /// `end`.
    fn copy_request(&self, request: &Request<RequestBody>, end: Instant) -> Request<RequestBody> {
        let mut copy = request.clone();
        if self.protocol == UpstreamProtocol::Platform {
            set_remaining_time(&mut copy, end);
        }
        copy
    }

    async fn connection_for(
        &self,
        target: Target,
        is_handshake: bool,
        deadlines: AttemptDeadlines,
    ) -> Result<UpstreamConnection, Outcome> {
        let AttemptDeadlines { connect_timeout, max_idle, .. } = deadlines;
        if is_handshake {
            // A WebSocket keeps its connection and gets a new one, as an idle one may be closing.
            return self.connect(target, connect_timeout, ConnectionUse::Socket).await;
        }
        self.acquire(target, ConnectionBounds { connect_timeout, max_idle }).await
    }

    async fn exchange_handshake(
        self: &Rc<Self>,
        mut connection: UpstreamConnection,
        request: Request<RequestBody>,
        handshake: &HandshakeRequest,
    ) -> AttemptResult {
        match connection.send_handshake(request).await {
            Ok(response) if response.status() == StatusCode::SWITCHING_PROTOCOLS => {
                self.receive_upgrade(connection, response, handshake).await
            }
            Ok(response) => self.receive_plain(connection, response).await,
            Err(outcome) => outcome.into(),
        }
    }

    async fn exchange_request(
        self: &Rc<Self>,
        mut connection: UpstreamConnection,
        request: Request<RequestBody>,
    ) -> AttemptResult {
        // Except on the platform, a server may begin to run a request before its last byte.
        let is_plain = self.protocol != UpstreamProtocol::Platform;
        match connection.send(request, is_plain).await {
            Ok(response) if is_plain => self.receive_plain(connection, response).await,
            Ok(response) => self.receive_platform(connection, response).await,
            Err(outcome) => outcome.into(),
        }
    }

    /// Sends a request of this process and returns the status and the short body of the response.
    /// The caller limits the time. Does not wait for memory, which requests of clients need more.
    ///
    /// # Errors
    /// The outcome, if no complete response arrived; [`Outcome::Unused`] if there is no memory for
    /// the request, which says nothing about the server.
    pub async fn get(
        &self,
        target: Target,
        request: Request<RequestBody>,
    ) -> Result<(StatusCode, Bytes), Outcome> {
        let memory = MemoryAccount::open(self.memory());
        let reservation = memory.try_reserve(MemoryUse::Attempt, attempt_bytes(&request));
        let reservation = reservation.ok_or(Outcome::Unused)?;
        let mut connection = self.acquire(target, ConnectionBounds::default()).await?;
        connection.claim = reservation.allocate();
        let (head, body) = connection.send(request, false).await?.into_parts();
        let body = connection.read_body(body, SMALL_BODY_MAX).await?;
        self.release(connection);
        Ok((head.status, body))
    }
}

/// Returns the memory that an attempt takes, in bytes: the copies of the head and of the body, and a
/// connection.
fn attempt_bytes(request: &Request<RequestBody>) -> usize {
    let body_bytes = short_length(request.body()).unwrap_or(BODY_MAX);
    map_bytes(request.headers()) + body_bytes + CONNECTION_BYTES
}

/// Waits until an attempt times out. For a streamed body, the time for the response starts when the
/// body has been sent.
async fn timed_out(upload: Option<Upload>, response_timeout: Duration, end: Instant) {
    match upload {
        Some(upload) => upload.body.timed_out(upload.stall_timeout, response_timeout).await,
        None => sleep_until(end).await,
    }
}

/// Waits until a request has missed the time by which the request must be sent: a server that
/// received the request later might have dropped the idempotency key. Never completes for a request
/// that was sent.
async fn send_deadline_missed(progress: &ExchangeProgress, send_by: Option<Instant>) {
    let Some(send_by) = send_by else { return pending().await };
    sleep_until(send_by).await;
    if progress.is_sent() {
        pending::<()>().await;
    }
}

/// Sets the header that tells the server the remaining time for which this sidecar will wait.
/// Called once the attempt has a connection, as connecting uses up part of the time.
fn set_remaining_time(request: &mut Request<RequestBody>, end: Instant) {
    let remaining = end.saturating_duration_since(Instant::now()).as_millis();
    let remaining_ms = u64::try_from(remaining).unwrap_or(u64::MAX);
    request.headers_mut().insert(REMAINING_MS, HeaderValue::from(remaining_ms));
}
