//! How fast servers are: what their answers teach, and what peers say.

use super::*;

/// Weight of one new sample in a class's typical latency.
const TYPICAL_GAIN: f64 = 0.05;
/// Samples that a server's own latency needs to outweigh the prior.
const SPEED_PRIOR: f64 = 3.0;
/// Power of the latency ratio in a server's weight: above 1, load leaves a jam.
const SPEED_POWER: f64 = 1.5;
/// The same for its kind, with no sizes listed: waiting elsewhere hides speed.
const KIND_POWER: f64 = 2.5;
/// A server's samples lose half their weight in this time.
const SPEED_HALF_LIFE: Nanos = 12 * SECOND;
/// The same two where peers pool what they see.
const POOLED_PRIOR: f64 = 0.5;
const POOLED_HALF_LIFE: Nanos = 6 * SECOND;
/// An instance gives half its evidence to one peer this often, if it has traffic.
const TELL_EVERY: Nanos = SECOND;
/// Memory of how late all servers' answers are.
const LAG_HALF_LIFE: Nanos = 700 * MS;
/// One sample says at most this much (log of a latency ratio): work is heavy-tailed.
const SAMPLE_CLIP: f64 = 2.5;
/// Bounds of the learned factor on a server's listed size.
const FACTOR_MIN: f64 = 0.03;
const FACTOR_MAX: f64 = 1.5;
/// Price of crossing zones (points per request) at which an away server counts half.
const CROSS_HALF: f64 = 0.01;

impl Balancer {
    pub(super) fn away(&self, zone: u32) -> f64 {
        1.0 + f64::from(u8::from(zone != self.set.zone)) * self.set.prices.cross_zone / CROSS_HALF
    }

    pub(super) fn speed(&self, server: &Server, now: Nanos) -> f64 {
        let fails = server.fails.get(now, health::FAIL_HALF_LIFE);
        let away = self.away(server.listed.zone);
        let slow = SPEED_POWER * self.slowness(server, now);
        let factor = (-slow).exp().clamp(FACTOR_MIN, FACTOR_MAX);
        server.listed.size.max(1e-6) * self.warmth(server, now) * factor / away / (1.0 + fails)
    }

    /// Speed for a class: how its kind suits it, against how it suits all.
    pub(super) fn speed_for(&self, class: usize, s: usize, now: Nanos) -> f64 {
        let kind = self.kind_of(s);
        let all: f64 = self.kind_offset.iter().map(|by_kind| by_kind[kind]).sum();
        let fit = match self.set.size_kind {
            // Danger: with no sizes listed, slow kinds would get as much as quick ones.
            SizeKind::Absent => -KIND_POWER * self.kind_offset[class][kind],
            _ => all / self.kind_offset.len() as f64 - self.kind_offset[class][kind],
        };
        self.speed(&self.servers[s], now) * fit.exp()
    }

    /// Learns from an attempt's time: answers teach what is typical, a time-out says "at
    /// least this slow", an error nothing, since a quick one must never look like speed.
    pub(super) fn learn(&mut self, now: Nanos, s: usize, sample: Sample, ok: bool) {
        let (class, cost, took) = sample;
        let log = (took.max(1) as f64).ln();
        let kind = self.kind_of(s);
        let clip = |gap: f64| gap.clamp(-SAMPLE_CLIP, SAMPLE_CLIP);
        // Danger: a first sample would stand for long; the first ones are averaged.
        let gain = if ok { TYPICAL_GAIN.max(1.0 / (self.taught[class] + 1.0)) } else { 0.0 };
        self.taught[class] += f64::from(u8::from(ok));
        let typical = self.typical[class].get_or_insert(log);
        let mut gap = clip(log - *typical - self.kind_offset[class][kind]);
        *typical += gain * gap;
        if let Some(cost) = cost {
            // With the work known, the rest of the time is the server's doing.
            let pace = self.pace[class].get_or_insert(log - cost);
            gap = clip(log - cost - *pace - self.kind_offset[class][kind]);
            *pace += gain * gap;
        }
        self.kind_offset[class][kind] += gain.min(2.0 * TYPICAL_GAIN) * gap;
        if !ok && gap < 0.0 {
            return;
        }
        self.lag.add(now, LAG_HALF_LIFE, gap, 1.0);
        self.add_evidence(now, s, gap, 1.0);
    }

    pub(super) fn kind_of(&self, s: usize) -> usize {
        (self.servers[s].listed.kind).min(self.set.kinds.max(1) - 1) as usize
    }

    /// Usual time of a hinted request on a server's kind; 0 if nothing is known.
    pub(super) fn usual(&self, s: usize, request: &Request) -> f64 {
        let known = request.cost.zip(self.pace[request.class]);
        let offset = self.kind_offset[request.class][self.kind_of(s)];
        known.map_or(0.0, |(cost, pace)| (cost + pace + offset).exp())
    }

    /// Expected time of a hinted request at a server; 0 if nothing is known.
    pub(super) fn expected(&self, now: Nanos, s: usize, request: &Request) -> f64 {
        self.usual(s, request) * self.slowness(&self.servers[s], now).exp()
    }

    /// Mean log latency ratio of a server's samples, drawn to 0 by the prior.
    fn slowness(&self, server: &Server, now: Nanos) -> f64 {
        let (prior, half_life) = self.speed_memory();
        server.slow.get(now, half_life, prior)
    }

    fn speed_memory(&self) -> (f64, Nanos) {
        let pooled = self.set.has_peers;
        [(SPEED_PRIOR, SPEED_HALF_LIFE), (POOLED_PRIOR, POOLED_HALF_LIFE)][usize::from(pooled)]
    }

    fn add_evidence(&mut self, now: Nanos, s: usize, sum: f64, count: f64) {
        let half_life = self.speed_memory().1;
        self.servers[s].slow.add(now, half_life, sum, count);
    }

    /// Gives half of what this instance knows to a random peer. Danger: a trickle shows no
    /// instance which server is slow; by halves nothing counts twice and all hold the mean.
    pub(super) fn tell_peer(&mut self, now: Nanos, out: Out<'_>) {
        let others = self.set.instances.saturating_sub(1);
        if !self.set.has_peers || others == 0 || now.saturating_sub(self.told_at) < TELL_EVERY {
            return;
        }
        self.told_at = now;
        let half_life = self.speed_memory().1;
        let n = self.order.len();
        let from = (self.rng.draw() * n as f64) as usize;
        let halve = |seen: &mut DecayingCounter| {
            seen.sum /= 2.0;
            seen.get(now, RATE_HALF_LIFE)
        };
        let weight = halve(&mut self.tenant_weight);
        let tenants: Vec<f64> = self.tenant_seen.iter_mut().map(halve).collect();
        let room = GossipMessage::room(tenants.len());
        let mut told = GossipMessage { weight, tenants, servers: Vec::new() };
        for i in 0..n {
            let at = self.order[(from + i) % n];
            let server = &self.servers[at];
            let halves = [server.slow.sum, server.slow.count].map(|f| f.get(now, half_life) / 2.0);
            let ([sum, count], id, leaving) = (halves, server.listed.id, server.leaving());
            if count > 0.05 && !leaving && told.servers.len() < room {
                told.servers.push((id, sum, count));
                self.add_evidence(now, at, -sum, -count);
            }
        }
        let peer = (self.rng.draw() * f64::from(others)) as u32;
        let peer = Some(peer + u32::from(peer >= self.set.self_index));
        out.push(Action::SendGossip { peer, payload: told.encode() });
    }

    pub(super) fn on_peer(&mut self, now: Nanos, payload: &[u8]) {
        let Some(told) = GossipMessage::decode(payload) else { return };
        self.tenant_weight.fill(now, RATE_HALF_LIFE);
        self.tenant_weight.add(now, RATE_HALF_LIFE, told.weight);
        for (seen, sum) in self.tenant_seen.iter_mut().zip(told.tenants) {
            seen.add(now, RATE_HALF_LIFE, sum);
        }
        for (id, sum, count) in told.servers {
            if let Some(&s) = self.index.get(&id) {
                self.add_evidence(now, s, sum, count);
            }
        }
    }

    /// What half of a class's answers take now: its typical latency by how late all are.
    pub(super) fn typical_now(&self, now: Nanos, class: usize) -> f64 {
        self.typical_of(class) * self.lag.get(now, LAG_HALF_LIFE, SPEED_PRIOR).exp()
    }

    /// Typical latency of a class; a part of its aim until one was seen.
    pub(super) fn typical_of(&self, class: usize) -> f64 {
        self.typical[class].map_or(self.set.classes[class].latency_objective as f64 * 0.3, f64::exp)
    }
}
