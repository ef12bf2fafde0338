//! What answers the requests of clients' connections, and the bodies of its answers.

use crate::client::connection::Client;
use crate::upstream::response_stream::ResponseStream;
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
pub trait RequestHandler: 'static {
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
    ) -> impl Future<Output = Response<ResponseBody>>;
}

/// The body of an answer: at hand, or as a server sends it.
pub enum ResponseBody {
    /// At hand.
    Whole(Full<Bytes>),
    /// As it comes.
    Stream(Box<ResponseStream>),
}

impl ResponseBody {
    /// A body at hand.
    pub fn whole(bytes: Bytes) -> Self {
        ResponseBody::Whole(Full::new(bytes))
    }
}

/// An answer's body on its way to a client.
pub(crate) struct TrackedBody {
    body: ResponseBody,
    client: Rc<Client>,
}

impl TrackedBody {
    /// To this client.
    pub(crate) fn new(body: ResponseBody, client: Rc<Client>) -> Self {
        TrackedBody { body, client }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.client.handed_over.set(true);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.body {
            ResponseBody::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            ResponseBody::Stream(body) => Pin::new(body.as_mut()).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            ResponseBody::Whole(body) => body.is_end_stream(),
            ResponseBody::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            ResponseBody::Whole(body) => body.size_hint(),
            ResponseBody::Stream(body) => body.size_hint(),
        }
    }
}
