//! The current exchange of a client connection: one request with its body, and the response.
//!
//! The exchange ends when the response is written and the body has been read to its end. Only then
//! do the bytes that follow on the connection belong to another request.

use super::unread_body::{BodyDisposal, UnreadBody};
use crate::headers::expects_continue;
use hyper::body::{Body, Incoming};
use hyper::{Request, Version};
use std::cell::{Cell, RefCell};

/// The state of one exchange, shared by the connection and the body of the request.
#[derive(Debug)]
pub(super) struct Exchange {
    /// Whether the body has been read to its end.
    is_body_read: Cell<bool>,
    /// Whether a read of the body has been tried, which sends a `100 Continue` that is expected.
    is_body_started: Cell<bool>,
    expects_continue: bool,
    /// Number of bytes of the body that have not been read; `None` without a stated length.
    remaining_bytes: Cell<Option<u64>>,
    /// The body, if its reader has dropped it before its end.
    dropped_body: RefCell<Option<Incoming>>,
    /// What becomes of a body that is not read; `None` until that is decided, at the latest when the
    /// response begins.
    disposal: Cell<Option<BodyDisposal>>,
    /// Whether the client speaks HTTP/1.0, which has no chunks.
    is_http_10: bool,
    /// Whether the end of the connection is the end of the response.
    is_close_delimited: Cell<bool>,
    /// Whether the body of the response has failed.
    has_response_failed: Cell<bool>,
    /// Whether the response has been written.
    is_response_written: Cell<bool>,
}

impl Default for Exchange {
    /// Creates an exchange before the first request: there is nothing to read.
    fn default() -> Self {
        Exchange {
            is_body_read: Cell::new(true),
            is_body_started: Cell::new(false),
            expects_continue: false,
            remaining_bytes: Cell::new(Some(0)),
            dropped_body: RefCell::default(),
            disposal: Cell::default(),
            is_http_10: false,
            is_close_delimited: Cell::new(false),
            has_response_failed: Cell::new(false),
            is_response_written: Cell::new(false),
        }
    }
}

impl Exchange {
    /// Begins the exchange of a request that the HTTP library has delivered.
    pub(super) fn begin(request: &Request<Incoming>) -> Self {
        Exchange {
            is_body_read: Cell::new(request.body().is_end_stream()),
            expects_continue: expects_continue(request.headers()),
            remaining_bytes: Cell::new(request.body().size_hint().exact()),
            is_http_10: request.version() == Version::HTTP_10,
            ..Exchange::default()
        }
    }

    /// Records that a read of the body has been tried.
    pub(super) fn start_body(&self) {
        self.is_body_started.set(true);
    }

    /// Records that a part of the body has been read.
    pub(super) fn count_body(&self, body: &Incoming) {
        self.remaining_bytes.set(body.size_hint().exact());
    }

    /// Returns whether a part of the body with a stated length has not been read.
    pub(super) fn has_remaining_bytes(&self) -> bool {
        self.remaining_bytes.get().is_some_and(|bytes| bytes > 0)
    }

    /// Records that the body has been read to its end.
    pub(super) fn finish_body(&self) {
        self.is_body_read.set(true);
    }

    /// Returns whether the body has been read to its end.
    pub(super) fn is_body_read(&self) -> bool {
        self.is_body_read.get()
    }

    /// Keeps a body that its reader has dropped before its end. Without it, the HTTP library closes
    /// the connection or discards an unstated part of the body.
    pub(super) fn keep_dropped_body(&self, body: Incoming) {
        if !self.closes_behind_response() {
            self.dropped_body.replace(Some(body));
        }
    }

    /// Takes the body that is to be discarded, if there is one.
    pub(super) fn take_discarded_body(&self) -> Option<Incoming> {
        let is_discarded = self.disposal.get() == Some(BodyDisposal::Discard);
        is_discarded.then(|| self.dropped_body.take()).flatten()
    }

    /// Returns whether what becomes of the rest of the body has still to be decided. A body that could
    /// not be read closes the connection.
    pub(super) fn is_body_undecided(&self) -> bool {
        !self.is_body_read() && self.disposal.get().is_none()
    }

    /// Decides, when the response begins, what becomes of a body that has not been read to its end;
    /// `has_arrived` is whether all of it has arrived, `is_memory_low` whether the process economizes
    /// on memory.
    pub(super) fn dispose_of_body(&self, has_arrived: bool, is_memory_low: bool) {
        let unread = UnreadBody {
            remaining_bytes: self.remaining_bytes.get(),
            has_arrived,
            awaits_continue: self.expects_continue && !self.is_body_started.get(),
            is_memory_low,
        };
        match unread.disposal() {
            BodyDisposal::Discard => self.disposal.set(Some(BodyDisposal::Discard)),
            BodyDisposal::Close => self.close_behind_response(),
        }
    }

    /// Closes the connection behind the response, whatever follows the request.
    pub(super) fn close_behind_response(&self) {
        self.disposal.set(Some(BodyDisposal::Close));
        self.dropped_body.take();
    }

    /// Returns whether the connection is closed behind the response.
    pub(super) fn closes_behind_response(&self) -> bool {
        self.disposal.get() == Some(BodyDisposal::Close)
    }

    /// Records that a response begins; `has_length` is whether it states its length.
    pub(super) fn begin_response(&self, has_length: bool) {
        self.is_close_delimited.set(self.is_http_10 && !has_length);
    }

    /// Records that the body of the response has failed.
    pub(super) fn fail_response(&self) {
        self.has_response_failed.set(true);
    }

    /// Returns whether an orderly end of the connection would pass off a part of the response as the
    /// complete response (RFC 9112 8).
    pub(super) fn is_response_truncated(&self) -> bool {
        let is_complete = self.is_response_written.get() && !self.has_response_failed.get();
        self.is_close_delimited.get() && !is_complete
    }

    /// Records that the response has been written.
    pub(super) fn finish_response(&self) {
        self.is_response_written.set(true);
    }

    /// Returns whether the response is written while the body is not read to its end.
    pub(super) fn awaits_body_end(&self) -> bool {
        self.is_response_written.get() && !self.is_body_read()
    }

    /// Returns whether the bytes behind the request may be served as another request.
    pub(super) fn may_be_followed(&self) -> bool {
        self.is_body_read() && !self.closes_behind_response()
    }
}
