//! The last load report of a server, and whether load reports follow the load.

use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Age up to which a report is fresh, and minimum interval between probes of a server.
const MAX_REPORT_AGE: Nanos = 6 * MILLISECOND;
/// Age of a report from which comparing it with the next one does not show whether reports follow
/// the load.
const MAX_COMPARED_AGE: Nanos = SECOND;
/// Excess of repeated over changed reports up to which reports count as following the load.
const MAX_REPEATED_REPORTS: u32 = 3;

/// The last load report of a server.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerReport {
    /// Values of the report, in the order of the settings' report fields.
    values: Vec<f64>,
    /// Queue length in the report, plus the number of requests sent since the report arrived.
    queue: f64,
    /// Time at which the report arrived; 0 before the first report.
    reported_at: Nanos,
    /// Time of the last probe of the server; 0 before the first probe.
    probed_at: Nanos,
}

impl ServerReport {
    /// Adds a request that is sent to the server to the server's queue length.
    pub(crate) fn count_send(&mut self) {
        self.queue += 1.0;
    }

    /// Begins a probe. Returns false if the server was probed recently.
    #[must_use]
    pub(crate) fn begin_probe(&mut self, now: Nanos) -> bool {
        let is_due = now.saturating_sub(self.probed_at) > MAX_REPORT_AGE;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }

    /// Records a report and the queue length stated in the report.
    pub(crate) fn record(&mut self, now: Nanos, values: &[f64], queue: f64) {
        self.values = values.to_vec();
        self.queue = queue;
        self.reported_at = now;
    }

    /// Returns the queue length in the last report, plus the requests sent since.
    pub(crate) fn queue(&self) -> f64 {
        self.queue
    }

    /// Returns whether the report is recent enough to represent the current queue.
    pub(crate) fn is_fresh(&self, now: Nanos) -> bool {
        self.reported_at > 0 && now.saturating_sub(self.reported_at) <= MAX_REPORT_AGE
    }
}

/// Tells whether load reports follow the load, by counting reports that repeat the previous values
/// and reports that differ from them.
#[derive(Debug, Default)]
pub(crate) struct ReportFreshness {
    repeated: u32,
    changed: u32,
}

impl ReportFreshness {
    /// Counts a report. A repeated report of an empty queue is not counted, nor is one that follows
    /// the last so soon that both may well be the same.
    pub(crate) fn count(&mut self, now: Nanos, last: &ServerReport, values: &[f64], queue: f64) {
        let age = now.saturating_sub(last.reported_at);
        if !(MAX_REPORT_AGE..MAX_COMPARED_AGE).contains(&age) {
            return;
        }
        if last.values != values {
            self.changed += 1;
        } else if queue > 0.0 {
            self.repeated += 1;
        }
    }

    /// Returns whether enough reports differed from their predecessors.
    pub(crate) fn follows_load(&self) -> bool {
        self.repeated <= self.changed + MAX_REPEATED_REPORTS
    }
}
