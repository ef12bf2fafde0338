//! One tenant at a fair queue: what it has in flight, what waits, and in which order.

use crate::queue::{QueueEntry, QueueTicket};
use mintshelf_time::Nanos;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The order within a tenant's queue; the smallest is admitted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    is_repeat: bool,
    /// The bits of a number that is not negative, which are ordered as the number is.
    priority_weight: Reverse<u64>,
    pub(crate) deadline: Nanos,
    pub(crate) ticket: QueueTicket,
}

impl Rank {
    pub(crate) fn new(entry: &QueueEntry, ticket: QueueTicket) -> Self {
        Rank {
            is_repeat: entry.is_repeat,
            priority_weight: Reverse(entry.priority_weight.max(0.0).to_bits()),
            deadline: entry.deadline,
            ticket,
        }
    }
}

/// A tenant that is active at the queue.
#[derive(Debug, Default)]
pub(crate) struct Member {
    /// Its requests in flight.
    pub(crate) in_flight: u32,
    /// Its requests that wait, with their expected latencies.
    pub(crate) queue: BTreeMap<Rank, Nanos>,
    /// When it last offered a request.
    pub(crate) last_seen: Nanos,
    /// Its share against the others'.
    pub(crate) share: f64,
    /// The part of the concurrency that is reserved for it.
    pub(crate) reserved: u32,
}

impl Member {
    /// Requests in flight and waiting.
    pub(crate) fn load(&self) -> u32 {
        self.in_flight + self.queue.len() as u32
    }

    /// The part of its reservation that it does not use.
    pub(crate) fn unused_reservation(&self) -> u32 {
        self.reserved.saturating_sub(self.in_flight)
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.queue.is_empty()
    }
}
