//! A counter that is shared by tasks of one thread.

use std::cell::Cell;

/// A count that can be changed through shared references.
#[derive(Clone, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Returns the sum of all additions less the subtractions.
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    /// Adds `amount` to the count.
    pub fn add(&self, amount: u64) {
        self.0.set(self.0.get() + amount);
    }

    /// Subtracts one from the count, which must not be 0.
    pub fn decrement(&self) {
        self.0.set(self.0.get() - 1);
    }
}
