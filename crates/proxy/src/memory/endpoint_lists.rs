//! The memory of endpoint lists and of the state of their servers.

use super::MemoryBudget;
use std::cell::Cell;
use std::fmt;
use std::rc::Rc;

/// Memory of a listed server, in bytes: its entry, its name and the state of the decision module.
const SERVER_BYTES: usize = 512;

/// Counts the memory of one cluster's endpoint list, by the number of its servers, until dropped.
pub(crate) struct EndpointListMemory {
    budget: Rc<MemoryBudget>,
    bytes: Cell<usize>,
}

impl fmt::Debug for EndpointListMemory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EndpointListMemory").field("bytes", &self.bytes.get()).finish()
    }
}

impl EndpointListMemory {
    /// Counts an empty list.
    pub(crate) fn new(budget: &Rc<MemoryBudget>) -> Self {
        EndpointListMemory { budget: budget.clone(), bytes: Cell::new(0) }
    }

    /// Counts a list of this many servers instead of the previous one.
    pub(crate) fn set_servers(&self, servers: usize) {
        let bytes = servers * SERVER_BYTES;
        self.budget.endpoint_lists.subtract(self.bytes.replace(bytes));
        self.budget.endpoint_lists.add(bytes);
    }
}

impl Drop for EndpointListMemory {
    fn drop(&mut self) {
        self.budget.endpoint_lists.subtract(self.bytes.get());
    }
}
