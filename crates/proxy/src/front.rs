//! What answers the requests of clients' connections, and the bodies of its answers.

use crate::clients::Client;
use crate::stream::ServerStream;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::{Request, Response};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// What answers the requests of a connection.
pub trait Front: 'static {
    /// Most headers in a request, where that is not the library's 100: the library is faster
    /// with its own.
    const HEADERS_MAX: Option<usize> = None;

    /// Answers one request; `draining` if the planned end was announced before it came. Once
    /// it is, every answer closes its connection, whatever the front says. Where it
    /// sends on what it reads it enters [`Phase::Busy`] on the client first.
    fn respond(
        self: Rc<Self>,
        client: Rc<Client>,
        request: Request<Incoming>,
        draining: bool,
    ) -> impl Future<Output = Response<FrontBody>>;
}

/// The body of an answer: at hand, or as a server sends it.
pub enum FrontBody {
    /// At hand.
    Whole(Full<Bytes>),
    /// As it comes.
    Stream(Box<ServerStream>),
}

impl FrontBody {
    /// A body at hand.
    pub fn whole(bytes: Bytes) -> Self {
        FrontBody::Whole(Full::new(bytes))
    }
}

/// An answer's body on its way to a client.
pub(crate) struct Outgoing {
    body: FrontBody,
    client: Rc<Client>,
}

impl Outgoing {
    /// To this client.
    pub(crate) fn new(body: FrontBody, client: Rc<Client>) -> Self {
        Outgoing { body, client }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.client.handed_over.set(true);
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.body {
            FrontBody::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            FrontBody::Stream(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            FrontBody::Whole(body) => body.is_end_stream(),
            FrontBody::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            FrontBody::Whole(body) => body.size_hint(),
            FrontBody::Stream(body) => body.size_hint(),
        }
    }
}
