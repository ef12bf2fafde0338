//! Outlier ejection: servers that fail leave the order for a while.

use super::Balancer;
use mintshelf_time::{Nanos, SECOND};

/// Failures in succession (weighted) that eject a server.
pub(super) const EJECT_AFTER: f64 = 3.0;
/// Time in which failures lose half their weight.
pub(super) const FAILURE_HALF_LIFE: Nanos = 8 * SECOND;
/// Duration of the first ejection; it doubles with each further one.
pub(super) const EJECTION_BASE: Nanos = 2 * SECOND;
/// Longest ejection.
const EJECTION_MAX: Nanos = 16 * SECOND;
/// Factor by which a success reduces the weight of the failures before it.
const SUCCESS_FACTOR: f64 = 0.6;

impl Balancer {
    pub(super) fn record_failure(&mut self, index: usize, weight: f64) {
        let server = &mut self.servers[index];
        server.failures.add(self.now, FAILURE_HALF_LIFE, weight);
        if server.failures.sum >= EJECT_AFTER && server.ejected_until <= self.now {
            let duration = (EJECTION_BASE << server.ejections.min(8)).min(EJECTION_MAX);
            server.ejected_until = self.now + duration;
            server.ejections += 1;
            // When it returns, one more failure ejects it again.
            server.failures.sum = EJECT_AFTER - 1.0;
            self.servers.suspect(index);
            self.orders.is_stale = true;
        }
    }

    pub(super) fn record_success(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.failures.sum *= SUCCESS_FACTOR;
        server.ejections *= u32::from(server.failures.sum >= 0.5);
    }
}
