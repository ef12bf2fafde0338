//! Slow start: how much a server may be sent while it warms up.

use super::Balancer;
use crate::state::ServerState;
use mintshelf_time::SECOND;

/// Part of the load that overloads a warming server which all instances may spend together.
const WARM_UP_SAFETY: f64 = 0.6;
/// Fraction of its capacity that a server is presumed to have at least.
const WARMTH_MIN: f64 = 0.01;

impl Balancer {
    /// Fraction of its capacity that a server has at least: the slowest warm-up allowed.
    pub(super) fn warmth(&self, server: &ServerState) -> f64 {
        match server.started_at {
            Some(started_at) if self.settings.warm_up > 0 => {
                let elapsed = self.now.saturating_sub(started_at) as f64;
                let progress = elapsed / self.settings.warm_up as f64;
                self.warming_capacity(1.0, progress).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Capacity of servers of a total size that are warming up; `progress`: that size, weighted by
    /// the part of the warm-up that is over.
    pub(super) fn warming_capacity(&self, size: f64, progress: f64) -> f64 {
        let initial = self.settings.initial_capacity.clamp(WARMTH_MIN, 1.0);
        initial * size + (1.0 - initial) * progress
    }

    /// Whether a request may be sent to a server: it is in service and, while it warms up, has
    /// credit left. Every send asks here.
    pub(super) fn may_send(&mut self, index: usize) -> bool {
        self.servers[index].is_live() && self.warm_up_credit(index) >= 1.0
    }

    /// Sends that this instance may still direct to a server. All instances together may
    /// overload a warming one, so each keeps to a part of the multiple of what it would send
    /// if the server were warm; the random initial credit spreads their first sends.
    fn warm_up_credit(&mut self, index: usize) -> f64 {
        let warmth = self.warmth(&self.servers[index]);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let warm_rate = self.served_per_capacity() * self.servers[index].listed.size;
        let rate = warm_rate * warmth * self.settings.overload_multiple * WARM_UP_SAFETY;
        let overload_duration = self.settings.overload_duration as f64;
        let max_credit = (rate * overload_duration / SECOND as f64 * 0.5).max(1.0);
        let server = &mut self.servers[index];
        let elapsed = self.now.saturating_sub(server.credit_updated_at);
        let credit = server.warm_up_credit + rate * (elapsed as f64 / SECOND as f64);
        server.credit_updated_at = self.now;
        server.warm_up_credit = credit.clamp(-1.0, max_credit);
        server.warm_up_credit
    }
}
