//! Counts how memory was admitted.

use std::cell::Cell;

/// Counts of admissions since the start of the process.
#[derive(Debug, Default)]
pub(super) struct AdmissionCounts {
    guaranteed: Cell<u64>,
    waits: Cell<u64>,
}

impl AdmissionCounts {
    /// Counts an admission above the threshold of its use, within what client connections are
    /// guaranteed.
    pub(super) fn count_guaranteed(&self) {
        self.guaranteed.set(self.guaranteed.get() + 1);
    }

    /// Counts a wait for memory.
    pub(super) fn count_wait(&self) {
        self.waits.set(self.waits.get() + 1);
    }

    /// Returns the number of admissions above their thresholds.
    pub(super) fn guaranteed(&self) -> u64 {
        self.guaranteed.get()
    }

    /// Returns the number of waits for memory.
    pub(super) fn waits(&self) -> u64 {
        self.waits.get()
    }
}
