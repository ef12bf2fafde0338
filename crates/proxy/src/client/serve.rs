//! Serves one client connection from the accept to the close.

use super::accept_queue::AcceptedConnection;
use super::closing::{
    read_deadline, reject_unread, wait_for_close, wait_for_reset, CloseMode, CloseReason,
};
use super::connection::{Client, ClientTimeouts, Phase};
use super::handler::{ClientRequest, RequestHandler, ResponseBody, TrackedBody};
use super::registry::Clients;
use super::request_body::{discard_delivered, discard_unread_bodies};
use super::request_memory::RequestMemory;
use crate::memory::{MemoryBudget, MemoryUse};
use crate::tcp::{
    close_gracefully, pending, reset_on_close, ObservedStream, Pending, SharedStream,
};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1::{Builder, Connection};
use hyper::service::{service_fn, Service};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tracing::debug;

/// Maximum size of a request head, and of the HTTP library's buffer in each direction, in bytes.
const BUFFER_MAX: usize = 32 << 10;

/// Memory that the HTTP library takes for a connection with a short request, in bytes.
const CONNECTION_BYTES: usize = 24 << 10;

/// The result of polling the HTTP library's side of a connection.
enum ConnectionStep {
    /// The connection has no request, and its buffers are wanted.
    Idle,
    /// The connection has ended, or is to be upgraded.
    Ended,
    /// The connection has failed.
    Failed,
}

/// The step that follows when the HTTP library has finished with a connection.
enum NextStep {
    /// Serve further requests, starting with these bytes, which were read after the last request.
    ServeAgain(Bytes),
    Close {
        mode: CloseMode,
        reason: CloseReason,
    },
    /// Hand the connection over to another protocol, with the bytes that were read after the
    /// request.
    Upgrade(Bytes),
}

/// Serves the connections of one listening socket with a handler.
pub(super) struct ConnectionServer<H> {
    pub(super) handler: Rc<H>,
    pub(super) clients: Rc<Clients>,
    pub(super) timeouts: ClientTimeouts,
    pub(super) memory: Rc<MemoryBudget>,
    /// Cancelled when the graceful shutdown of the process is announced.
    pub(super) draining: CancellationToken,
}

impl<H: RequestHandler> ConnectionServer<H> {
    /// Serves a connection until it is closed. Until then `_permit` counts it towards the maximum
    /// number of client connections of the process.
    pub(super) async fn serve_connection(
        self: Rc<Self>,
        accepted: AcceptedConnection,
        _permit: OwnedSemaphorePermit,
    ) {
        if accepted.stream.set_nodelay(true).is_err() {
            return;
        }
        let stream = Rc::new(RefCell::new(accepted.stream));
        // A request that has already arrived may have waited as long as its connection.
        let accept_wait = match pending(&stream) {
            Pending::Bytes => accepted.arrived_after.elapsed(),
            Pending::Nothing | Pending::End => Duration::ZERO,
        };
        let memory = RequestMemory::new(&self.memory);
        let client =
            Client::new(stream.clone(), accepted.peer, self.timeouts.clone(), accept_wait, memory);
        let client = Rc::new(client);
        let number = self.clients.add(client.clone());
        let mut read_ahead = Bytes::new();
        loop {
            // Boxed, so that a WebSocket that follows does not keep the memory of this future.
            let next = Box::pin(self.serve_next(&stream, &client, read_ahead)).await;
            client.memory.release_buffers();
            match next {
                NextStep::ServeAgain(bytes) => {
                    let is_in_body = client.is_in_body();
                    debug!(peer = %client.peer, read_ahead = bytes.len(), is_in_body,
                        "serving client connection again");
                    read_ahead = bytes;
                }
                NextStep::Close { mode, reason } => {
                    close(&stream, &client, mode, reason).await;
                    break;
                }
                NextStep::Upgrade(bytes) => {
                    upgrade(&stream, &client, bytes).await;
                    break;
                }
            }
        }
        self.clients.remove(number);
    }

    /// Waits for a request, then serves requests. A connection without a request has no buffers.
    async fn serve_next(
        self: &Rc<Self>,
        stream: &SharedStream,
        client: &Rc<Client>,
        read_ahead: Bytes,
    ) -> NextStep {
        if read_ahead.is_empty() {
            tokio::select! {
                biased;
                () = self.wait_for_request(stream, client) => {}
                (mode, reason) = wait_for_close(client, &self.draining) => {
                    return NextStep::Close { mode, reason };
                }
            }
        }
        Box::pin(self.serve_requests(stream, client, read_ahead)).await
    }

    /// Waits until bytes have arrived, and until there is memory to read a request.
    async fn wait_for_request(&self, stream: &SharedStream, client: &Client) {
        wait_for_bytes(stream).await;
        client.memory.pause();
        self.memory.admit(MemoryUse::RequestStart, CONNECTION_BYTES).await;
        client.memory.resume();
    }

    /// Serves requests until one side ends the connection, a request upgrades it, or it is idle and
    /// is to give up its buffers.
    async fn serve_requests(
        self: &Rc<Self>,
        stream: &SharedStream,
        client: &Rc<Client>,
        read_ahead: Bytes,
    ) -> NextStep {
        let _buffers = client.memory.claim_buffers(CONNECTION_BYTES);
        let observed = ObservedStream::new(stream.clone(), client.clone(), read_ahead);
        let observed = observed.admitted_by(&self.memory);
        let service = service_fn(|request| Box::pin(self.respond(client.clone(), request)));
        let mut builder = Builder::new();
        builder.max_buf_size(BUFFER_MAX);
        builder.half_close(self.timeouts.allows_half_close);
        if let Some(max) = H::HEADERS_MAX {
            builder.max_headers(max);
        }
        let mut connection = builder.serve_connection(TokioIo::new(observed), service);
        let result = tokio::select! {
            biased;
            result = poll_fn(|cx| Self::poll_connection(&mut connection, client, cx)) => result,
            () = wait_until_buffers_wanted(client) => ConnectionStep::Idle,
            (mode, reason) = wait_for_close(client, &self.draining) => {
                return NextStep::Close { mode, reason };
            }
            () = wait_for_reset(stream, client, self.timeouts.allows_half_close) => {
                let reason = CloseReason::ResetByClient;
                return NextStep::Close { mode: CloseMode::Immediate, reason };
            }
            never = discard_unread_bodies(client) => match never {},
        };
        match result {
            ConnectionStep::Idle => NextStep::ServeAgain(connection.into_parts().read_buf),
            ConnectionStep::Ended => {
                self.next_step(connection.into_parts().read_buf, stream, client)
            }
            // The HTTP library has responded with 400 to the malformed request.
            ConnectionStep::Failed => {
                NextStep::Close { mode: CloseMode::Graceful, reason: CloseReason::MalformedRequest }
            }
        }
    }

    /// Polls the HTTP library's side of a connection.
    fn poll_connection<S>(
        connection: &mut Connection<TokioIo<ObservedStream<Client>>, S>,
        client: &Client,
        cx: &mut Context<'_>,
    ) -> Poll<ConnectionStep>
    where
        S: Service<Request<Incoming>, Response = Response<TrackedBody>, Error = Infallible>,
        S: Unpin,
        S::Future: Unpin,
    {
        match connection.poll_without_shutdown(cx) {
            Poll::Ready(Ok(())) => Poll::Ready(ConnectionStep::Ended),
            Poll::Ready(Err(_)) => Poll::Ready(ConnectionStep::Failed),
            Poll::Pending if client.holds_idle_buffers() => Poll::Ready(ConnectionStep::Idle),
            Poll::Pending => Poll::Pending,
        }
    }

    fn next_step(&self, read_ahead: Bytes, stream: &SharedStream, client: &Rc<Client>) -> NextStep {
        if client.upgrade.borrow().is_some() {
            return NextStep::Upgrade(read_ahead);
        }
        // The client may have sent another request before it could read `Connection: close`. That
        // request was received and has to get a response.
        let has_more = !read_ahead.is_empty() || pending(stream) == Pending::Bytes;
        let may_serve = has_more && self.draining.is_cancelled() && discard_delivered(client);
        if may_serve && client.exchange().may_be_followed() {
            NextStep::ServeAgain(read_ahead)
        } else {
            NextStep::Close { mode: CloseMode::Graceful, reason: CloseReason::Ended }
        }
    }

    async fn respond(
        self: &Rc<Self>,
        client: Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<TrackedBody>, Infallible> {
        let is_draining = self.draining.is_cancelled();
        let request = client.begin_request(request);
        client.memory.count_head(request.headers());
        // Taken here, for every request, so that each is judged by its own head.
        let head = client.next_head();
        let request = ClientRequest { client: client.clone(), head, request, is_draining };
        let mut response = self.handler.clone().respond(request).await;
        // Checked again, as the shutdown may have been announced while the request waited. Without
        // `close` its client would reuse a connection that is about to be closed.
        client.decide_close(&mut response, self.draining.is_cancelled());
        client.begin_response(&response);
        Ok(response.map(|body: ResponseBody| TrackedBody::new(body, client)))
    }
}

/// Waits until bytes can be read from a connection, or its end.
async fn wait_for_bytes(stream: &SharedStream) {
    let mut byte = [0];
    // An error is reported by the next read.
    poll_fn(|cx| stream.borrow_mut().poll_peek(cx, &mut ReadBuf::new(&mut byte))).await.ok();
}

/// Waits until a connection without a request is to give up its buffers.
async fn wait_until_buffers_wanted(client: &Client) {
    loop {
        client.buffers_wanted.notified().await;
        if client.phase() == Phase::Idle {
            return;
        }
    }
}

/// Closes a connection in the way that its last response and the reason allow.
async fn close(stream: &SharedStream, client: &Client, mode: CloseMode, reason: CloseReason) {
    debug!(peer = %client.peer, ?mode, ?reason, "closing client connection");
    reject_unread(stream, client, reason);
    if client.exchange().is_response_truncated() {
        reset_on_close(stream);
    } else if mode == CloseMode::Graceful {
        close_when_read(stream, client).await;
    }
}

/// Closes a connection when its client has read everything or when it is evicted.
async fn close_when_read(stream: &SharedStream, client: &Client) {
    let read_deadline = read_deadline(client);
    client.enter(Phase::Closing);
    let evicted = async {
        client.eviction.cancelled().await;
        sleep_until(read_deadline).await;
    };
    tokio::select! {
        biased;
        () = close_gracefully(stream) => {}
        () = evicted => {}
    }
}

/// Hands a connection over to its new protocol after the 101, and waits until that has ended.
async fn upgrade(stream: &SharedStream, client: &Client, read_ahead: Bytes) {
    client.stop_scanning();
    let upgrade = client.upgrade.borrow_mut().take();
    if let Some(upgrade) = upgrade {
        (upgrade.0)(stream.clone(), read_ahead).await;
    }
}
