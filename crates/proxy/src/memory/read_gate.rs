//! Admits the reads of a connection.

use super::{MemoryBudget, MemoryUse, MemoryWait};
use crate::tcp::{pending, Pending, SharedStream};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Memory that a read may take, in bytes: the buffer of the HTTP library, and what the library makes
/// of a head.
const READ_BYTES: usize = 32 << 10;
/// Maximum number of bytes of a read while memory is low: below the size at which the HTTP library
/// makes its buffer larger.
const SHORT_READ_BYTES: usize = (8 << 10) - 1;

/// Admits the reads of one connection, one after another.
pub(crate) struct ReadGate {
    budget: Rc<MemoryBudget>,
    wait: Option<MemoryWait>,
}

impl ReadGate {
    pub(crate) fn new(budget: Rc<MemoryBudget>) -> Self {
        ReadGate { budget, wait: None }
    }

    /// Admits the next read. A connection without unread bytes does not wait: the read only asks to
    /// be told when bytes arrive.
    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        memory_use: MemoryUse,
        stream: &SharedStream,
    ) -> Poll<()> {
        if self.wait.is_none() && self.budget.try_admit(memory_use, READ_BYTES) {
            return Poll::Ready(());
        }
        if pending(stream) != Pending::Bytes {
            self.wait = None;
            return Poll::Ready(());
        }
        let wait = self.wait.get_or_insert_with(|| self.budget.admit(memory_use, READ_BYTES));
        let admitted = Pin::new(wait).poll(cx);
        if admitted.is_ready() {
            self.wait = None;
        }
        admitted
    }

    /// Returns the maximum length of the next read, in bytes; `None` if it has no limit.
    pub(crate) fn max_read_bytes(&self) -> Option<usize> {
        self.budget.is_low().then_some(SHORT_READ_BYTES)
    }
}
