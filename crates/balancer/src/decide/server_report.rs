//! The last load report of each server, and whether reports follow the load.

use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Age up to which a report stands for a queue; older ones are probed for again.
const MAX_REPORT_AGE: Nanos = 6 * MILLISECOND;
/// Age of a report from which the next one shows nothing of whether reports follow the load.
const MAX_COMPARED_AGE: Nanos = SECOND;
/// Reports that may repeat the last values before they count as stale.
const MAX_REPEATED_REPORTS: u32 = 3;

/// The last load report of one server.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServerReport {
    /// Its values, in the order of the settings.
    values: Vec<f64>,
    /// The queue that it states, plus the requests sent since.
    queue: f64,
    /// When it came; 0 before the first.
    reported_at: Nanos,
    /// When the server was last probed; 0 before the first probe.
    probed_at: Nanos,
}

impl ServerReport {
    /// Counts a request that is sent to the server.
    pub(crate) fn count_send(&mut self) {
        self.queue += 1.0;
    }

    /// Notes that the server is probed; returns false if a recent probe makes that needless.
    #[must_use]
    pub(crate) fn begin_probe(&mut self, now: Nanos) -> bool {
        let is_due = now.saturating_sub(self.probed_at) > MAX_REPORT_AGE;
        if is_due {
            self.probed_at = now;
        }
        is_due
    }

    /// Records a report and the queue that it states.
    pub(crate) fn record(&mut self, now: Nanos, values: &[f64], queue: f64) {
        self.values = values.to_vec();
        self.queue = queue;
        self.reported_at = now;
    }

    /// The queue that the last report states, plus the requests sent since.
    pub(crate) fn queue(&self) -> f64 {
        self.queue
    }

    /// Whether it stands for the present queue.
    pub(crate) fn is_fresh(&self, now: Nanos) -> bool {
        self.reported_at > 0 && now.saturating_sub(self.reported_at) <= MAX_REPORT_AGE
    }
}

/// Whether load reports follow the load: how many repeated the last values, and how many
/// differed.
#[derive(Debug, Default)]
pub(crate) struct ReportFreshness {
    repeated: u32,
    changed: u32,
}

impl ReportFreshness {
    /// Counts a report; one that repeats an empty queue shows nothing, and one that comes at once
    /// may well be the same.
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

    /// Whether enough reports differed from the last ones.
    pub(crate) fn follows_load(&self) -> bool {
        self.repeated <= self.changed + MAX_REPEATED_REPORTS
    }
}
