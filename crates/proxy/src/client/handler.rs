//! What responds to the requests of clients' connections, and the bodies of its responses.

use super::connection::Client;
use crate::body::{FramePoll, MessageBody};
use crate::upstream::response_stream::ResponseStream;
use bytes::Bytes;
use hyper::body::{Body, Incoming, SizeHint};
use hyper::{Request, Response};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::time::Duration;

/// The body of a response to a client: complete, or as a server sends it.
pub type ResponseBody = MessageBody<Box<ResponseStream>>;

/// A request on a client's connection.
pub struct ClientRequest {
    /// The connection.
    pub client: Rc<Client>,
    /// The request; of its body only what has been read by the handler is in memory.
    pub request: Request<Incoming>,
    /// Whether the shutdown was announced before it came.
    pub is_draining: bool,
}

/// What responds to the requests of a connection.
pub trait RequestHandler: 'static {
    /// Most headers in a request, where that is not the library's 100: the library is faster
    /// with its own.
    const HEADERS_MAX: Option<usize> = None;

    /// How long what is read now may have waited unnoticed, where that is followed.
    fn loop_lag(&self) -> Duration {
        Duration::ZERO
    }

    /// Responds to one request. Once the shutdown is announced every response closes its
    /// connection, whatever the handler says. Before a handler forwards what it reads it enters
    /// [`Phase::Busy`](super::connection::Phase::Busy) on the client.
    fn respond(
        self: Rc<Self>,
        request: ClientRequest,
    ) -> impl Future<Output = Response<ResponseBody>>;
}

/// A response's body on its way to a client, which learns when the library has read it all.
pub(crate) struct TrackedBody {
    body: ResponseBody,
    client: Rc<Client>,
}

impl TrackedBody {
    /// A body for this client.
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
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
