//! The memory that a client connection holds, and the waits of its request for memory.

use super::handler::ResponseBody;
use crate::headers::{map_bytes, BODY_MAX};
use crate::memory::{MemoryAccount, MemoryBudget, MemoryClaim};
use hyper::body::Body;
use hyper::header::HeaderMap;
use hyper::Response;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of a request and its response, or of the fields of their heads, above which the HTTP
/// library's buffers have grown.
const LARGE_EXCHANGE_BYTES: usize = 8 << 10;
/// Maximum number of bytes of a request that the HTTP library buffers.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// The memory of one client connection, its request and its response.
#[derive(Debug)]
pub struct RequestMemory {
    budget: Rc<MemoryBudget>,
    /// The HTTP library's buffers, while it serves the connection.
    buffers: Rc<MemoryAccount>,
    /// The current request with its attempts, and its response.
    account: RefCell<Rc<MemoryAccount>>,
    /// Whether there is memory for the body of the request that is being received.
    is_body_admitted: Cell<bool>,
    /// Time since which unread bytes wait for memory; `None` if they do not wait.
    paused_at: Cell<Option<Instant>>,
    /// Time that the current request has waited unread for memory.
    wait: Cell<Duration>,
    /// Bytes of the current request that have been read.
    read_bytes: Cell<usize>,
    /// Bytes of the current request and its response that have been read and written.
    exchange_bytes: Cell<usize>,
    /// Whether the HTTP library holds large buffers since the last exchange.
    has_large_buffers: Cell<bool>,
}

impl RequestMemory {
    /// Creates the memory of a connection without a request.
    #[must_use]
    pub fn new(budget: &Rc<MemoryBudget>) -> Self {
        RequestMemory {
            budget: budget.clone(),
            buffers: MemoryAccount::open(budget),
            account: RefCell::new(MemoryAccount::open(budget)),
            is_body_admitted: Cell::default(),
            paused_at: Cell::default(),
            wait: Cell::default(),
            read_bytes: Cell::default(),
            exchange_bytes: Cell::default(),
            has_large_buffers: Cell::default(),
        }
    }

    /// Claims the buffers with which the HTTP library serves the connection.
    pub(super) fn claim_buffers(&self, bytes: usize) -> MemoryClaim {
        self.buffers.claim(bytes)
    }

    /// Returns whether the HTTP library serves the connection.
    pub(super) fn holds_buffers(&self) -> bool {
        self.buffers.bytes() > 0
    }

    /// Records that the HTTP library no longer serves the connection.
    pub(super) fn release_buffers(&self) {
        self.end_exchange();
        self.has_large_buffers.set(false);
    }

    /// Returns whether the process economizes on memory.
    pub(super) fn is_low(&self) -> bool {
        self.budget.is_low()
    }

    /// Returns the bytes of the connection, its request and its response.
    pub(super) fn bytes(&self) -> usize {
        self.buffers.bytes() + self.account.borrow().bytes()
    }

    /// Returns the account of the current request.
    pub(super) fn account(&self) -> Rc<MemoryAccount> {
        self.account.borrow().clone()
    }

    /// Records that there is memory for a body of at most `bytes` bytes.
    pub(super) fn admit_body(&self, bytes: usize) {
        self.account.borrow().add(bytes);
        self.is_body_admitted.set(true);
    }

    /// Returns whether there is memory for the body that is being received.
    pub(super) fn is_body_admitted(&self) -> bool {
        self.is_body_admitted.get()
    }

    /// Records that unread bytes wait for memory.
    pub(super) fn pause(&self) {
        if self.paused_at.get().is_none() {
            self.paused_at.set(Some(Instant::now()));
        }
    }

    /// Records that unread bytes no longer wait for memory.
    pub(super) fn resume(&self) {
        if let Some(paused_at) = self.paused_at.take() {
            self.wait.set(self.wait.get() + paused_at.elapsed());
        }
    }

    /// Returns whether unread bytes wait for memory.
    pub(super) fn is_paused(&self) -> bool {
        self.paused_at.get().is_some()
    }

    /// Returns how long the current request has waited unread for memory, once.
    pub(super) fn take_wait(&self) -> Duration {
        self.wait.take()
    }

    /// Counts bytes of the current request, which the HTTP library buffers.
    pub(super) fn count_read(&self, bytes: usize) {
        self.count_traffic(bytes);
        let buffered = self.read_bytes.get().min(READ_BUFFER_BYTES);
        self.read_bytes.set(self.read_bytes.get().saturating_add(bytes));
        let added = self.read_bytes.get().min(READ_BUFFER_BYTES) - buffered;
        self.account.borrow().add(added);
    }

    /// Counts the fields of a head that the HTTP library has delivered.
    pub(super) fn count_head(&self, headers: &HeaderMap) {
        let bytes = map_bytes(headers);
        self.account.borrow().add(bytes);
        if bytes > LARGE_EXCHANGE_BYTES {
            self.has_large_buffers.set(true);
        }
    }

    /// Counts a response that is about to be written.
    pub(super) fn count_response(&self, response: &Response<ResponseBody>) {
        let body_bytes = response.body().size_hint().lower();
        let body_bytes = usize::try_from(body_bytes).unwrap_or(BODY_MAX).min(BODY_MAX);
        self.count_head(response.headers());
        self.account.borrow().add(body_bytes);
    }

    /// Adds to the bytes of the current request and its response.
    pub(super) fn count_traffic(&self, bytes: usize) {
        self.exchange_bytes.set(self.exchange_bytes.get().saturating_add(bytes));
    }

    /// Records that the response of the current request has been written.
    pub(super) fn end_exchange(&self) {
        self.is_body_admitted.set(false);
        self.read_bytes.set(0);
        // Attempts that have not ended keep the account of their request.
        self.account.replace(MemoryAccount::open(&self.budget));
        if self.exchange_bytes.take() > LARGE_EXCHANGE_BYTES {
            self.has_large_buffers.set(true);
        }
    }

    /// Returns whether the HTTP library holds large buffers since the last exchange.
    pub(super) fn has_large_buffers(&self) -> bool {
        self.has_large_buffers.get()
    }
}
