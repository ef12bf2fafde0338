//! Counts of reloads by their result.

use std::cell::Cell;

/// Reloads since the start, by their result.
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

    /// Each result as the metric's label, and its count.
    pub(super) fn by_label(&self) -> [(&'static str, u64); 2] {
        [("taken", self.applied.get()), ("refused", self.rejected.get())]
    }
}
