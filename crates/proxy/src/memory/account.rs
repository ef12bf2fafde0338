//! Accounts of the memory that requests hold: what is taken is given back by the guard that took it.

use super::{MemoryBudget, MemoryUse};
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// A number of bytes that only the owners of guards change.
#[derive(Debug, Default)]
pub(super) struct ByteCounter(Cell<usize>);

impl ByteCounter {
    pub(super) fn get(&self) -> usize {
        self.0.get()
    }

    pub(super) fn add(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_add(bytes));
    }

    /// Gives back bytes that were added.
    pub(super) fn subtract(&self, bytes: usize) {
        debug_assert!(self.0.get() >= bytes, "more bytes are given back than were taken");
        self.0.set(self.0.get().saturating_sub(bytes));
    }
}

/// The memory of one request, its attempts and its response, or of an idle connection. All of it is
/// given back when the last owner drops the account.
///
/// The bytes are those that the owners know of, not those that the allocator counts: which task
/// allocates a block, and which one frees it, does not matter.
pub struct MemoryAccount {
    budget: Rc<MemoryBudget>,
    bytes: ByteCounter,
}

impl fmt::Debug for MemoryAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("MemoryAccount").field("bytes", &self.bytes()).finish()
    }
}

impl MemoryAccount {
    /// Opens an account without bytes.
    #[must_use]
    pub fn open(budget: &Rc<MemoryBudget>) -> Rc<Self> {
        Rc::new(MemoryAccount { budget: budget.clone(), bytes: ByteCounter::default() })
    }

    /// Returns the bytes of the account, those of its claims included.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Adds bytes that are held until the account is closed.
    pub fn add(&self, bytes: usize) {
        self.bytes.add(bytes);
        self.budget.claimed.add(bytes);
    }

    /// Adds bytes that are held until the claim is dropped, which may be earlier.
    pub fn claim(self: &Rc<Self>, bytes: usize) -> MemoryClaim {
        self.add(bytes);
        MemoryClaim { account: self.clone(), bytes }
    }

    /// Waits until there is room for `bytes` more bytes, and reserves them: nothing else is admitted
    /// into that room before they are allocated.
    pub async fn reserve(
        self: &Rc<Self>,
        memory_use: MemoryUse,
        bytes: usize,
    ) -> MemoryReservation {
        self.budget.admit(memory_use, bytes).await;
        self.reserve_admitted(bytes)
    }

    /// Reserves `bytes` more bytes if they are below the threshold of their use.
    pub fn try_reserve(
        self: &Rc<Self>,
        memory_use: MemoryUse,
        bytes: usize,
    ) -> Option<MemoryReservation> {
        let has_room = self.budget.is_below_threshold(memory_use, bytes);
        has_room.then(|| self.reserve_admitted(bytes))
    }

    fn reserve_admitted(self: &Rc<Self>, bytes: usize) -> MemoryReservation {
        self.budget.reserved.add(bytes);
        MemoryReservation(Some(self.claim(bytes)))
    }

    fn subtract(&self, bytes: usize) {
        self.bytes.subtract(bytes);
        self.budget.claimed.subtract(bytes);
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        self.budget.claimed.subtract(self.bytes());
    }
}

/// Bytes of an account that are given back when this is dropped.
#[derive(Debug)]
#[must_use = "the bytes are held for as long as this lives"]
pub struct MemoryClaim {
    account: Rc<MemoryAccount>,
    bytes: usize,
}

impl MemoryClaim {
    /// Adds bytes to the claim.
    pub fn grow(&mut self, bytes: usize) {
        self.account.add(bytes);
        self.bytes += bytes;
    }
}

impl Drop for MemoryClaim {
    fn drop(&mut self) {
        self.account.subtract(self.bytes);
    }
}

/// Bytes that were admitted and are not allocated yet; given back when this is dropped.
#[derive(Debug)]
#[must_use = "the bytes are reserved for as long as this lives"]
pub struct MemoryReservation(Option<MemoryClaim>);

impl MemoryReservation {
    /// Ends the reservation when the bytes are about to be allocated, without a wait in between;
    /// returns the claim on them.
    #[must_use]
    pub fn allocate(mut self) -> Option<MemoryClaim> {
        let claim = self.0.take()?;
        claim.account.budget.reserved.subtract(claim.bytes);
        Some(claim)
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        if let Some(claim) = &self.0 {
            claim.account.budget.reserved.subtract(claim.bytes);
        }
    }
}
