//! Cold starts: how much a server may be sent while it warms.

use super::*;

/// Part of the fall budget that instances may spend together.
const COLD_SAFETY: f64 = 0.6;

impl Balancer {
    /// Fraction of its capacity that a server surely has: the slowest warming allowed.
    pub(super) fn warmth(&self, server: &Server, now: Nanos) -> f64 {
        match server.started {
            Some(at) if self.set.warm_up > 0 => {
                let age = now.saturating_sub(at) as f64 / self.set.warm_up as f64;
                (self.set.initial_capacity + (1.0 - self.set.initial_capacity) * age)
                    .clamp(0.01, 1.0)
            }
            _ => 1.0,
        }
    }

    /// What all servers can do, in units of listed size.
    pub(super) fn capacity(&self, now: Nanos) -> f64 {
        let of = |o: &Server| o.listed.size * self.warmth(o, now);
        self.servers.iter().filter(|o| !o.leaving()).map(of).sum::<f64>().max(0.1)
    }

    /// The one gate for sends: known, not leaving, cold budget left.
    pub(super) fn may_send(&mut self, now: Nanos, s: usize) -> bool {
        !self.servers[s].leaving() && self.cold_credit(now, s) >= 1.0
    }

    /// Sends still open to a server. Danger: all together may push a cold one over. Each keeps
    /// to part of the multiple it would send it warm; a random start keeps first sends apart.
    fn cold_credit(&mut self, now: Nanos, s: usize) -> f64 {
        let warmth = self.warmth(&self.servers[s], now);
        if warmth >= 1.0 {
            return f64::INFINITY;
        }
        let warm = self.unit_rate(now) * self.servers[s].listed.size;
        let rate = warm * warmth * self.set.overload_multiple * COLD_SAFETY;
        let depth = (rate * self.set.overload_duration as f64 / SECOND as f64 * 0.5).max(1.0);
        let server = &mut self.servers[s];
        let passed = now.saturating_sub(server.credit_at) as f64 / SECOND as f64;
        server.credit_at = now;
        server.cold_credit = (server.cold_credit + rate * passed).clamp(-1.0, depth);
        server.cold_credit
    }

    /// Arrivals a second, over the part of the memory that this instance has lived.
    pub(super) fn arrival_rate(&self, now: Nanos) -> f64 {
        let age = now.saturating_sub(self.born) as f64 / SECOND as f64;
        let lived = 1.0 - (-age.max(1.0) / RATE_SPAN).exp();
        self.arrivals.get(now, RATE_HALF_LIFE) / RATE_SPAN / lived
    }

    /// Answers a second (arrivals may exceed what servers can do), and a little for none yet.
    pub(super) fn served_rate(&self, now: Nanos) -> f64 {
        self.served.get(now, RATE_HALF_LIFE) / RATE_SPAN + 0.05 * self.arrival_rate(now)
    }

    /// The same by unit of capacity. Danger: all servers' rate is no measure once some have left.
    pub(super) fn unit_rate(&self, now: Nanos) -> f64 {
        let few = 0.05 * self.arrival_rate(now) / self.capacity(now);
        self.served_by_unit.get(now, RATE_HALF_LIFE) / RATE_SPAN + few
    }
}
