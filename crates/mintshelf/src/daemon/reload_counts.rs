//! Counts reloads by result.

use std::cell::Cell;

/// The numbers of applied and rejected reloads since the start.
#[derive(Default)]
pub(super) struct ReloadCounts {
    applied: Cell<u64>,
    rejected: Cell<u64>,
}

impl ReloadCounts {
    pub(super) fn count_applied(&self) {
        self.applied.set(self.applied.get() + 1);
    }

    pub(super) fn count_rejected(&self) {
        self.rejected.set(self.rejected.get() + 1);
    }

    /// Returns the metric label of each result, and its count.
    pub(super) fn by_label(&self) -> [(&'static str, u64); 2] {
        [("taken", self.applied.get()), ("refused", self.rejected.get())]
    }
}
