//! The body of an answer, passed on as its server sends it.

use crate::upstream::connection::UpstreamConnection;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use mintshelf_balancer::api::Outcome;
use std::any::Any;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

type OnEnd = Box<dyn FnOnce(Outcome)>;
type GiveBack = Box<dyn FnOnce(UpstreamConnection)>;

/// An answer that is still coming, with the connection that it comes on. Dropping it closes
/// that connection; memory is bounded by the buffers of the two connections.
pub struct ResponseStream {
    /// Takes the connection back when the answer has ended.
    give_back: Option<GiveBack>,
    /// Read before the answer was passed on.
    queued: VecDeque<Frame<Bytes>>,
    queued_bytes: u64,
    /// Absent once all has come.
    rest: Option<(UpstreamConnection, Incoming)>,
    /// A server that sends nothing for so long, while it is asked, has stopped.
    stall: Duration,
    stalled: Pin<Box<Sleep>>,
    waiting: bool,
    /// How the attempt ends if all comes.
    outcome: Outcome,
    on_end: Option<OnEnd>,
    /// Given back when it is over.
    kept: Option<Box<dyn Any>>,
}

impl ResponseStream {
    /// An answer of which a part is here already.
    pub(crate) fn new(
        queued: VecDeque<Frame<Bytes>>,
        rest: Option<(UpstreamConnection, Incoming)>,
        stall: Duration,
        outcome: Outcome,
        give_back: GiveBack,
    ) -> Self {
        let queued_bytes = queued.iter().filter_map(Frame::data_ref).map(|d| d.len() as u64).sum();
        let stalled = Box::pin(sleep(stall));
        let (waiting, on_end, kept) = (false, None, None);
        ResponseStream {
            give_back: Some(give_back),
            queued,
            queued_bytes,
            rest,
            stall,
            stalled,
            waiting,
            outcome,
            on_end,
            kept,
        }
    }

    /// Keeps something until it is over.
    pub fn keep(&mut self, kept: Box<dyn Any>) {
        self.kept = Some(kept);
    }

    /// Calls this once, with how the attempt ended, when all has gone or it is dropped.
    pub fn on_end(&mut self, call: impl FnOnce(Outcome) + 'static) {
        self.on_end = Some(Box::new(call));
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(call) = self.on_end.take() {
            call(outcome);
        }
    }

    fn broken(&mut self, outcome: Outcome, error: io::Error) -> io::Error {
        self.rest = None;
        self.end(outcome);
        error
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        let whole = self.rest.take().is_none();
        self.end(if whole { self.outcome } else { Outcome::Cancelled });
    }
}

impl Body for ResponseStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if let Some(frame) = this.queued.pop_front() {
            this.queued_bytes -= frame.data_ref().map_or(0, |data| data.len() as u64);
            return Poll::Ready(Some(Ok(frame)));
        }
        let Some((link, incoming)) = &mut this.rest else {
            this.end(this.outcome);
            return Poll::Ready(None);
        };
        link.drive(cx);
        match Pin::new(incoming).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.waiting = false;
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                let error = this.broken(Outcome::Reset, io::Error::other(error));
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) => {
                if let Some(((link, _), give_back)) = this.rest.take().zip(this.give_back.take()) {
                    give_back(link);
                }
                this.end(this.outcome);
                Poll::Ready(None)
            }
            Poll::Pending => {
                if !std::mem::replace(&mut this.waiting, true) {
                    this.stalled.as_mut().reset(Instant::now() + this.stall);
                }
                if this.stalled.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                let stopped = io::Error::new(io::ErrorKind::TimedOut, "the server has stopped");
                Poll::Ready(Some(Err(this.broken(Outcome::TimedOut, stopped))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.queued.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let rest = match &self.rest {
            Some((_, incoming)) => incoming.size_hint().exact(),
            None => Some(0),
        };
        let trailers = self.queued.iter().any(Frame::is_trailers);
        match rest.filter(|_| !trailers) {
            Some(rest) => SizeHint::with_exact(self.queued_bytes + rest),
            None => SizeHint::default(),
        }
    }
}
