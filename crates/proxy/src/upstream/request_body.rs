//! The body of a request on its way to servers: held whole, or passed on as it comes.

use crate::headers::BufferedBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// A request's body; clones are for further attempts.
#[derive(Clone)]
pub enum RequestBody {
    /// All of it is here and can be sent again.
    Buffered(BufferedBody),
    /// It is still coming.
    Streamed(StreamedBody),
}

impl Default for RequestBody {
    fn default() -> Self {
        RequestBody::Buffered(BufferedBody::default())
    }
}

/// A body that is passed on as its client sends it.
#[derive(Clone)]
pub struct StreamedBody {
    /// What had come before the first attempt; every attempt can send it.
    prefix: Option<Bytes>,
    /// This attempt has taken bytes that can't be had again.
    mine: bool,
    shared: Rc<Shared>,
}

struct Shared {
    prefix: usize,
    rest: RefCell<Incoming>,
    /// Bytes have gone that can't be sent again.
    begun: Cell<bool>,
    finished: Cell<bool>,
    /// When bytes last came.
    progress: Cell<Instant>,
    on_begin: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl StreamedBody {
    /// A body whose first bytes are here.
    pub fn new(prefix: Bytes, rest: Incoming) -> Self {
        let shared = Shared {
            prefix: prefix.len(),
            rest: RefCell::new(rest),
            begun: Cell::new(false),
            finished: Cell::new(false),
            progress: Cell::new(Instant::now()),
            on_begin: RefCell::default(),
        };
        StreamedBody { prefix: Some(prefix), mine: false, shared: Rc::new(shared) }
    }

    /// Whether bytes have gone that can't be sent again.
    pub fn begun(&self) -> bool {
        self.shared.begun.get()
    }

    /// Calls this when the first such bytes go.
    pub fn on_begin(&self, call: impl FnOnce() + 'static) {
        if !self.begun() {
            *self.shared.on_begin.borrow_mut() = Some(Box::new(call));
        }
    }

    /// Waits until the client has stopped sending for `stall`, or has sent all and an answer
    /// has been awaited for `patience` since.
    pub async fn overdue(&self, stall: Duration, patience: Duration) {
        loop {
            let wait = if self.shared.finished.get() { patience } else { stall };
            let at = self.shared.progress.get() + wait;
            if at <= Instant::now() {
                return;
            }
            sleep_until(at).await;
        }
    }

    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.shared.begun.get() && !self.mine {
            let gone = io::Error::other("the body has gone to another server");
            return Poll::Ready(Some(Err(gone)));
        }
        let polled = Pin::new(&mut *self.shared.rest.borrow_mut()).poll_frame(cx);
        match &polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(_))) => {
                self.mine = true;
                self.shared.progress.set(Instant::now());
                if !self.shared.begun.replace(true) {
                    let call = self.shared.on_begin.borrow_mut().take();
                    call.into_iter().for_each(|call| call());
                }
            }
            Poll::Ready(Some(Err(_)) | None) => {
                self.shared.progress.set(Instant::now());
                self.shared.finished.set(true);
            }
        }
        polled.map_err(io::Error::other)
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            RequestBody::Buffered(held) => {
                Pin::new(held).poll_frame(cx).map_err(|never| match never {})
            }
            RequestBody::Streamed(upload) => {
                if let Some(prefix) = upload.prefix.take().filter(|p| !p.is_empty()) {
                    return Poll::Ready(Some(Ok(Frame::data(prefix))));
                }
                upload.poll_rest(cx)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            RequestBody::Buffered(held) => held.is_end_stream(),
            RequestBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            RequestBody::Buffered(held) => held.size_hint(),
            RequestBody::Streamed(upload) => {
                let prefix = upload.prefix.as_ref().map_or(0, |_| upload.shared.prefix as u64);
                match upload.shared.rest.borrow().size_hint().exact() {
                    Some(rest) => SizeHint::with_exact(prefix + rest),
                    None => SizeHint::default(),
                }
            }
        }
    }
}
