//! The memory that the process may allocate, and what it is used for.
//!
//! [`MemoryBudget`] compares the bytes that are allocated at this moment with the limit of the
//! process. Everything that the process holds counts, whichever library has allocated it.

mod account;
mod admission;
mod counts;
mod endpoint_lists;
mod holders;
mod monitor;
mod read_gate;

pub use account::{MemoryAccount, MemoryClaim, MemoryReservation};
pub use admission::{MemoryUse, MemoryWait};
pub(crate) use endpoint_lists::EndpointListMemory;
pub use holders::{MemoryHolder, MemoryReport};
pub use monitor::MemoryMonitor;
pub(crate) use read_gate::ReadGate;

use account::ByteCounter;
use admission::WaitQueues;
use counts::AdmissionCounts;
use std::fmt;

/// Memory that is not allocated on the heap: the code and data of the program, and its stack.
const PROGRAM_BYTES: usize = 6 << 20;
/// Fraction of the remaining memory that may be allocated. The rest is what the allocator keeps
/// between the allocated blocks, and after they have been freed.
const ALLOCATABLE_FRACTION: f64 = 0.75;

/// Minimum memory for the heap, whatever the limit is: with less, nothing could be served.
const MIN_HEAP_BYTES: usize = 8 << 20;

/// The memory that the process may allocate.
pub struct MemoryBudget {
    /// The memory limit of the process, in bytes.
    limit: usize,
    /// Maximum number of bytes on the heap.
    capacity: usize,
    /// Returns the number of bytes that are allocated on the heap.
    allocated: fn() -> usize,
    /// Bytes on the heap before the first client connected.
    at_start: usize,
    /// Bytes of endpoint lists and of the state of their servers.
    endpoint_lists: ByteCounter,
    /// Bytes of all accounts.
    claimed: ByteCounter,
    /// Bytes that were admitted and are not allocated yet.
    reserved: ByteCounter,
    queues: WaitQueues,
    admissions: AdmissionCounts,
}

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("MemoryBudget");
        debug.field("limit", &self.limit).field("allocated", &self.allocated()).finish()
    }
}

impl MemoryBudget {
    /// Creates the budget of a process whose memory is limited to `limit` bytes. `allocated` returns
    /// the number of bytes that are allocated on the heap.
    #[must_use]
    pub fn new(limit: usize, allocated: fn() -> usize) -> Self {
        let heap = limit.saturating_sub(PROGRAM_BYTES).max(MIN_HEAP_BYTES);
        MemoryBudget {
            limit,
            capacity: crate::budget::fraction_of(heap, ALLOCATABLE_FRACTION),
            allocated,
            at_start: allocated(),
            endpoint_lists: ByteCounter::default(),
            claimed: ByteCounter::default(),
            reserved: ByteCounter::default(),
            queues: WaitQueues::default(),
            admissions: AdmissionCounts::default(),
        }
    }

    /// Returns the memory limit of the process, in bytes.
    #[must_use]
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the maximum number of bytes on the heap.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the number of bytes that are allocated on the heap.
    #[must_use]
    pub fn allocated(&self) -> usize {
        (self.allocated)()
    }

    /// Returns the bytes that were admitted and are not allocated yet.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Returns the bytes of all accounts.
    #[must_use]
    pub fn claimed(&self) -> usize {
        self.claimed.get()
    }

    /// Returns the bytes that are held for as long as the process runs: those of the start, and of
    /// endpoint lists.
    #[must_use]
    pub fn resident(&self) -> usize {
        self.at_start.saturating_add(self.endpoint_lists.get())
    }
}
