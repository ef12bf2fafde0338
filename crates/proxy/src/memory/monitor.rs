//! Reports how much memory is used, and warns when most of it is.

use super::{MemoryBudget, MemoryReport};
use crate::budget::fraction_of;
use crate::client::registry::Clients;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{debug, enabled, Level};

/// Interval at which the allocated memory is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks between two reports at level DEBUG.
const CHECKS_PER_REPORT: u32 = 10;
/// Fractions of the capacity at each of which a warning is given, in ascending order.
const WARNING_FRACTIONS: [f64; 3] = [0.7, 0.85, 1.0];
/// Fraction of the capacity below which all warnings may be given again.
const REARM_FRACTION: f64 = 0.5;

/// Checks at intervals how much memory is allocated.
pub struct MemoryMonitor {
    budget: Rc<MemoryBudget>,
    clients: Rc<Clients>,
    /// Number of warnings given since the allocated memory was last below the lowest fraction.
    given_warnings: usize,
}

impl MemoryMonitor {
    /// Creates the monitor of a process with these clients.
    #[must_use]
    pub fn new(budget: Rc<MemoryBudget>, clients: Rc<Clients>) -> Self {
        MemoryMonitor { budget, clients, given_warnings: 0 }
    }

    /// Calls `warn` each time the allocated memory passes a fraction at which a warning is due, and
    /// logs a report each second; never returns.
    pub async fn run(mut self, warn: impl Fn(&MemoryReport)) {
        loop {
            for _ in 0..CHECKS_PER_REPORT {
                sleep(CHECK_INTERVAL).await;
                if self.is_warning_due() {
                    warn(&MemoryReport::read(&self.budget, &self.clients));
                }
            }
            if enabled!(Level::DEBUG) {
                debug!(report = %MemoryReport::read(&self.budget, &self.clients), "memory");
            }
        }
    }

    /// Returns whether the allocated memory has passed a further fraction since the last warning.
    fn is_warning_due(&mut self) -> bool {
        let allocated = self.budget.allocated();
        let bytes_at = |fraction| fraction_of(self.budget.capacity(), fraction);
        if allocated < bytes_at(REARM_FRACTION) {
            self.given_warnings = 0;
        }
        let passed = WARNING_FRACTIONS.iter().filter(|fraction| allocated > bytes_at(**fraction));
        let passed = passed.count();
        let is_due = passed > self.given_warnings;
        self.given_warnings = self.given_warnings.max(passed);
        is_due
    }
}
