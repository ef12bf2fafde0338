//! The body of a client's request, as handlers read it. A body that is dropped before its end is
//! kept for its connection, which discards the rest.

use super::connection::Client;
use super::exchange::Exchange;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::convert::Infallible;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// The body of a client's request.
pub struct ClientBody {
    /// The HTTP library's body; `None` once reading it has failed.
    incoming: Option<Incoming>,
    exchange: Rc<Exchange>,
    client: Rc<Client>,
}

impl ClientBody {
    pub(super) fn new(incoming: Incoming, exchange: Rc<Exchange>, client: Rc<Client>) -> Self {
        ClientBody { incoming: Some(incoming), exchange, client }
    }

    /// Reads and discards the rest of the body.
    async fn discard(mut self) {
        while let Some(Ok(_)) = self.frame().await {}
    }

    fn finish(&self) {
        self.exchange.finish_body();
        self.client.end_exchange_behind_body(&self.exchange);
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = &mut *self;
        let Some(incoming) = &mut this.incoming else { return Poll::Ready(None) };
        this.exchange.start_body();
        let polled = Pin::new(&mut *incoming).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Err(_))) => {
                this.incoming = None;
                this.exchange.close_behind_response();
            }
            Poll::Ready(Some(Ok(_))) => {
                this.exchange.count_body(incoming);
                if incoming.is_end_stream() {
                    this.finish();
                }
            }
            // A body that ends before its stated length belongs to a connection that has failed.
            Poll::Ready(None) if !this.exchange.has_remaining_bytes() => this.finish(),
            Poll::Ready(None) => this.exchange.close_behind_response(),
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.as_ref().is_none_or(Incoming::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.as_ref().map_or_else(SizeHint::default, Incoming::size_hint)
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        if let Some(incoming) = self.incoming.take().filter(|_| !self.exchange.is_body_read()) {
            self.exchange.keep_dropped_body(incoming);
            self.client.body_dropped.notify_one();
        }
    }
}

/// Discards the rest of the bodies that are not read, one request after the other.
pub(super) async fn discard_unread_bodies(client: &Rc<Client>) -> Infallible {
    loop {
        client.body_dropped.notified().await;
        discard_unread_body(client).await;
    }
}

/// Discards as much of an unread body as the HTTP library has delivered. Returns false if more of it
/// is to come.
pub(super) fn discard_delivered(client: &Rc<Client>) -> bool {
    let discarded = pin!(discard_unread_body(client));
    discarded.poll(&mut Context::from_waker(Waker::noop())).is_ready()
}

async fn discard_unread_body(client: &Rc<Client>) {
    let exchange = client.exchange();
    if let Some(incoming) = exchange.take_discarded_body() {
        ClientBody::new(incoming, exchange, client.clone()).discard().await;
    }
}
