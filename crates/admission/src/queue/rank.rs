//! The order of the waiting requests of one tenant.

use super::request::{QueueEntry, QueueTicket};
use mintshelf_time::Nanos;
use std::cmp::Reverse;

/// The rank of a request among the requests of its tenant; the request with the smallest rank is
/// admitted first. Fields are compared in declaration order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    is_repeat: bool,
    /// The bits of a non-negative float, which sort like the float itself.
    priority_weight: Reverse<u64>,
    pub(super) deadline: Nanos,
    pub(super) ticket: QueueTicket,
}

impl Rank {
    pub(super) fn new(entry: &QueueEntry, ticket: QueueTicket) -> Self {
        Rank {
            is_repeat: entry.is_repeat,
            priority_weight: Reverse(entry.priority_weight.max(0.0).to_bits()),
            deadline: entry.deadline,
            ticket,
        }
    }
}
