//! The interface of request handlers, and the bodies of their responses.

use super::connection::Client;
use super::request_body::ClientBody;
use super::scanned_head::ScannedHead;
use crate::body::{FramePoll, MessageBody};
use crate::upstream::response_stream::ResponseStream;
use bytes::Bytes;
use hyper::body::{Body, SizeHint};
use hyper::{Request, Response};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The body of a response to a client: buffered, or streamed from a server.
pub type ResponseBody = MessageBody<Box<ResponseStream>>;

/// A request on a client connection.
pub struct ClientRequest {
    /// The state of the client connection on which the request arrived.
    pub client: Rc<Client>,
    /// What the head scanner found in the head of the request.
    pub head: ScannedHead,
    /// The request. Its body is in memory only as far as the handler has read it. What the handler
    /// leaves unread is the connection's concern.
    pub request: Request<ClientBody>,
    /// Whether the shutdown was announced before the request arrived.
    pub is_draining: bool,
}

/// Responds to the requests of client connections.
pub trait RequestHandler: 'static {
    /// Maximum number of headers in a request. By default it is the HTTP library's 100, with which
    /// the library is faster than with a limit that is set.
    const HEADERS_MAX: Option<usize> = None;

    /// Returns the delay of the event loop: how long data or a connection that is noticed now may
    /// have waited in the kernel. Zero if the handler does not measure it.
    fn loop_lag(&self) -> Duration {
        Duration::ZERO
    }

    /// Responds to one request. Once the shutdown is announced, every response closes its
    /// connection, whatever its headers are. A handler must enter
    /// [`Phase::Busy`](super::connection::Phase::Busy) on the client before it forwards what it
    /// has read.
    fn respond(
        self: Rc<Self>,
        request: ClientRequest,
    ) -> impl Future<Output = Response<ResponseBody>>;
}

/// A response body that sets `is_response_read` of its client when the HTTP library drops the body.
pub(crate) struct TrackedBody {
    body: ResponseBody,
    client: Rc<Client>,
}

impl TrackedBody {
    /// Wraps the body of a response to `client`.
    pub(crate) fn new(body: ResponseBody, client: Rc<Client>) -> Self {
        TrackedBody { body, client }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.is_response_read.set(true);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            self.client.exchange().fail_response();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
