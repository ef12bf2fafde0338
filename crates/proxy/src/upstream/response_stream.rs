//! Response bodies that are streamed to the client as the server sends them.

use super::connection::UpstreamConnection;
use crate::body::{byte_count, FramePoll};
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

type EndCallback = Box<dyn FnOnce(Outcome)>;
type ReturnConnection = Box<dyn FnOnce(UpstreamConnection)>;

/// The remainder of a response body, and the connection that it arrives on.
pub(crate) struct Remainder {
    pub(crate) connection: UpstreamConnection,
    pub(crate) body: Incoming,
}

/// A response body that is streamed, with the connection that it arrives on. Dropping it before its
/// end closes that connection. Memory is bounded by the buffers of the two connections.
pub struct ResponseStream {
    /// Returns the connection to the pool when the response is complete.
    return_connection: Option<ReturnConnection>,
    /// Frames that were read before the response was passed to the client.
    queued: VecDeque<Frame<Bytes>>,
    queued_bytes: u64,
    /// The remainder of the body; `None` once the body has arrived completely, or has failed.
    remainder: Option<Remainder>,
    /// A server that sends nothing for this long, while the client reads, has stalled.
    stall_timeout: Duration,
    stall_timer: Pin<Box<Sleep>>,
    is_stall_timer_set: bool,
    /// The outcome of the attempt that is reported if the response completes.
    outcome: Outcome,
    on_end: Option<EndCallback>,
    /// A value that is dropped with the stream.
    guard: Option<Box<dyn Any>>,
}

impl ResponseStream {
    /// Creates a body of which the frames in `queued` have arrived.
    pub(crate) fn new(
        queued: VecDeque<Frame<Bytes>>,
        remainder: Option<Remainder>,
        stall_timeout: Duration,
        outcome: Outcome,
        return_connection: ReturnConnection,
    ) -> Self {
        let data = queued.iter().filter_map(Frame::data_ref);
        let queued_bytes = data.map(|data| byte_count(data.len())).sum();
        ResponseStream {
            return_connection: Some(return_connection),
            queued,
            queued_bytes,
            remainder,
            stall_timeout,
            stall_timer: Box::pin(sleep(stall_timeout)),
            is_stall_timer_set: false,
            outcome,
            on_end: None,
            guard: None,
        }
    }

    /// Keeps `guard` until the stream is dropped.
    pub fn attach_guard(&mut self, guard: Box<dyn Any>) {
        self.guard = Some(guard);
    }

    /// Calls `callback` once, with the outcome of the attempt, when the body has been read, has
    /// failed, or is dropped.
    pub fn on_end(&mut self, callback: impl FnOnce(Outcome) + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    /// Reports the outcome of the attempt, once.
    fn end(&mut self, outcome: Outcome) {
        if let Some(callback) = self.on_end.take() {
            callback(outcome);
        }
    }

    /// Closes the connection and reports the outcome of the attempt.
    fn fail(&mut self, outcome: Outcome, error: io::Error) -> io::Error {
        self.remainder = None;
        self.end(outcome);
        error
    }

    /// Ends a response that has arrived completely, and returns its connection to the pool.
    fn complete(&mut self) {
        let return_connection = self.return_connection.take();
        if let Some((remainder, callback)) = self.remainder.take().zip(return_connection) {
            callback(remainder.connection);
        }
        self.end(self.outcome);
    }

    /// Waits for a server that has sent nothing further, up to the stall timeout.
    fn poll_stall(&mut self, cx: &mut Context<'_>) -> FramePoll {
        if !std::mem::replace(&mut self.is_stall_timer_set, true) {
            self.stall_timer.as_mut().reset(Instant::now() + self.stall_timeout);
        }
        if self.stall_timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        let error = io::Error::new(
            io::ErrorKind::TimedOut,
            "the server sent no data for the stall timeout",
        );
        Poll::Ready(Some(Err(self.fail(Outcome::TimedOut, error))))
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        let is_complete = self.remainder.take().is_none();
        self.end(if is_complete { self.outcome } else { Outcome::Cancelled });
    }
}

impl Body for ResponseStream {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        let this = &mut *self;
        if let Some(frame) = this.queued.pop_front() {
            this.queued_bytes -= frame.data_ref().map_or(0, |data| byte_count(data.len()));
            return Poll::Ready(Some(Ok(frame)));
        }
        let Some(remainder) = &mut this.remainder else {
            this.end(this.outcome);
            return Poll::Ready(None);
        };
        remainder.connection.drive(cx);
        match Pin::new(&mut remainder.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                this.is_stall_timer_set = false;
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                Poll::Ready(Some(Err(this.fail(Outcome::Reset, io::Error::other(error)))))
            }
            Poll::Ready(None) => {
                this.complete();
                Poll::Ready(None)
            }
            Poll::Pending => this.poll_stall(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.queued.is_empty() && self.remainder.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let remaining_bytes = match &self.remainder {
            Some(remainder) => remainder.body.size_hint().exact(),
            None => Some(0),
        };
        let has_trailers = self.queued.iter().any(Frame::is_trailers);
        match remaining_bytes.filter(|_| !has_trailers) {
            Some(remaining_bytes) => SizeHint::with_exact(self.queued_bytes + remaining_bytes),
            None => SizeHint::default(),
        }
    }
}
