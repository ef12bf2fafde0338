//! What the allocated memory is used for.

use super::MemoryBudget;
use crate::client::connection::Phase;
use crate::client::registry::Clients;
use std::fmt;

/// A use of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryHolder {
    /// Client connections without a request, among them those that are being closed.
    IdleConnections,
    /// Requests that have not arrived completely, with their connections.
    UnfinishedRequests,
    /// Complete requests, with their connections, their attempts and their responses.
    CompleteRequests,
    /// Endpoint lists and the state of their servers.
    EndpointLists,
    /// What the process held when it started.
    Start,
    /// Everything else, such as idle connections to servers and WebSocket connections.
    Other,
}

impl MemoryHolder {
    /// All uses.
    pub const ALL: [MemoryHolder; 6] = [
        MemoryHolder::IdleConnections,
        MemoryHolder::UnfinishedRequests,
        MemoryHolder::CompleteRequests,
        MemoryHolder::EndpointLists,
        MemoryHolder::Start,
        MemoryHolder::Other,
    ];

    /// Returns the name of the use in metrics and log lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            MemoryHolder::IdleConnections => "idle_connections",
            MemoryHolder::UnfinishedRequests => "unfinished_requests",
            MemoryHolder::CompleteRequests => "complete_requests",
            MemoryHolder::EndpointLists => "endpoint_lists",
            MemoryHolder::Start => "start",
            MemoryHolder::Other => "other",
        }
    }

    /// Returns the use of the memory that a client connection in a phase holds.
    fn of_phase(phase: Phase) -> Self {
        match phase {
            Phase::Idle | Phase::Closing => MemoryHolder::IdleConnections,
            Phase::New | Phase::Discarding | Phase::Receiving => MemoryHolder::UnfinishedRequests,
            Phase::Busy => MemoryHolder::CompleteRequests,
        }
    }
}

/// The allocated bytes by their use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryReport {
    /// Bytes by use, in the order of [`MemoryHolder::ALL`].
    bytes: [usize; MemoryHolder::ALL.len()],
    /// Bytes on the heap.
    pub allocated: usize,
    /// Maximum number of bytes on the heap.
    pub capacity: usize,
    /// Bytes of all accounts.
    claimed: usize,
    /// Bytes that were admitted and are not allocated yet.
    reserved: usize,
    /// Number of admissions above the threshold of their use, since the start of the process.
    pub guaranteed_admissions: u64,
    /// Number of waits for memory, since the start of the process.
    pub waits: u64,
}

impl MemoryReport {
    /// Reads what the memory is used for now. Takes time in proportion to the number of clients.
    #[must_use]
    pub fn read(budget: &MemoryBudget, clients: &Clients) -> Self {
        let mut report = MemoryReport {
            bytes: [0; MemoryHolder::ALL.len()],
            allocated: budget.allocated(),
            capacity: budget.capacity(),
            claimed: budget.claimed(),
            reserved: budget.reserved(),
            guaranteed_admissions: budget.admissions.guaranteed(),
            waits: budget.admissions.waits(),
        };
        for usage in clients.memory_by_phase() {
            *report.bytes_mut(MemoryHolder::of_phase(usage.phase)) += usage.bytes;
        }
        *report.bytes_mut(MemoryHolder::EndpointLists) = budget.endpoint_lists.get();
        *report.bytes_mut(MemoryHolder::Start) = budget.at_start;
        let known: usize = report.bytes.iter().sum();
        *report.bytes_mut(MemoryHolder::Other) = report.allocated.saturating_sub(known);
        report
    }

    /// Returns the bytes of one use.
    #[must_use]
    pub fn bytes(&self, holder: MemoryHolder) -> usize {
        self.bytes[holder as usize]
    }

    fn bytes_mut(&mut self, holder: MemoryHolder) -> &mut usize {
        &mut self.bytes[holder as usize]
    }
}

impl fmt::Display for MemoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, holder) in MemoryHolder::ALL.into_iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(formatter, "{separator}{}={}K", holder.name(), self.bytes(holder) >> 10)?;
        }
        write!(
            formatter,
            " allocated={}K capacity={}K",
            self.allocated >> 10,
            self.capacity >> 10
        )?;
        write!(formatter, " claimed={}K reserved={}K", self.claimed >> 10, self.reserved >> 10)?;
        write!(formatter, " guaranteed={} waits={}", self.guaranteed_admissions, self.waits)
    }
}
