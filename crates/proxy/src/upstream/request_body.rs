//! Request bodies: buffered, or streamed from the client to a server.

use crate::body::{byte_count, FramePoll, MessageBody};
use crate::client::request_body::ClientBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The body of a request; each attempt sends a clone of it.
pub type RequestBody = MessageBody<StreamedBody>;

/// A body that is streamed as the client sends it. Its clones, one for each attempt, share the
/// client's stream: the attempt that takes the first frame is the only one that can send the body
/// from then on.
#[derive(Clone)]
pub struct StreamedBody {
    /// The bytes that had arrived before the first attempt; every attempt can send them.
    prefix: Option<Bytes>,
    /// Whether this attempt has taken frames from the client's stream.
    owns_stream: bool,
    source: Rc<BodySource>,
}

/// The client's stream, shared by the attempts.
struct BodySource {
    prefix_bytes: usize,
    stream: RefCell<ClientBody>,
    /// Whether frames have been taken from the stream; frames that were taken can't be sent again.
    is_consumed: Cell<bool>,
    is_finished: Cell<bool>,
    last_progress: Cell<Instant>,
    on_first_frame: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl StreamedBody {
    /// Creates a body of which `prefix` has arrived; `stream` yields the remainder.
    pub fn new(prefix: Bytes, stream: ClientBody) -> Self {
        let source = BodySource {
            prefix_bytes: prefix.len(),
            stream: RefCell::new(stream),
            is_consumed: Cell::new(false),
            is_finished: Cell::new(false),
            last_progress: Cell::new(Instant::now()),
            on_first_frame: RefCell::default(),
        };
        StreamedBody { prefix: Some(prefix), owns_stream: false, source: Rc::new(source) }
    }

    /// Returns whether an attempt has taken frames from the client's stream, so that no other
    /// attempt can send the body.
    pub fn is_consumed(&self) -> bool {
        self.source.is_consumed.get()
    }

    /// Calls `callback` when the first frame is taken from the client's stream. Has no effect if one
    /// has been taken already.
    pub fn on_first_frame(&self, callback: impl FnOnce() + 'static) {
        if !self.is_consumed() {
            *self.source.on_first_frame.borrow_mut() = Some(Box::new(callback));
        }
    }

    /// Waits until the client has sent nothing for `stall_timeout`, or until `response_timeout` has
    /// passed since the body was completely read.
    pub async fn timed_out(&self, stall_timeout: Duration, response_timeout: Duration) {
        loop {
            let wait = if self.source.is_finished.get() { response_timeout } else { stall_timeout };
            let deadline = self.source.last_progress.get() + wait;
            if deadline <= Instant::now() {
                return;
            }
            sleep_until(deadline).await;
        }
    }

    /// Polls the client's stream; fails if another attempt has taken frames from it.
    fn poll_stream(&mut self, cx: &mut Context<'_>) -> FramePoll {
        if self.source.is_consumed.get() && !self.owns_stream {
            let error = io::Error::other("the request body is being sent by another attempt");
            return Poll::Ready(Some(Err(error)));
        }
        let polled = Pin::new(&mut *self.source.stream.borrow_mut()).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(_))) => self.on_frame(),
            Poll::Ready(Some(Err(_)) | None) => {
                self.source.last_progress.set(Instant::now());
                self.source.is_finished.set(true);
            }
        }
        polled.map_err(io::Error::other)
    }

    /// Records that this attempt has taken a frame, and calls the callback for the first one.
    fn on_frame(&mut self) {
        self.owns_stream = true;
        self.source.last_progress.set(Instant::now());
        if self.source.is_consumed.replace(true) {
            return;
        }
        let callback = self.source.on_first_frame.borrow_mut().take();
        if let Some(callback) = callback {
            callback();
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> FramePoll {
        if let Some(prefix) = self.prefix.take().filter(|prefix| !prefix.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        self.poll_stream(cx)
    }

    fn size_hint(&self) -> SizeHint {
        let prefix_bytes = self.prefix.as_ref().map_or(0, |_| byte_count(self.source.prefix_bytes));
        match self.source.stream.borrow().size_hint().exact() {
            Some(stream_bytes) => SizeHint::with_exact(prefix_bytes + stream_bytes),
            None => SizeHint::default(),
        }
    }
}
