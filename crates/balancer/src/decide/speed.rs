//! How fast servers are, learned from the latencies of their responses.

use super::{health, Balancer};
use crate::api::SizeKind;
use crate::state::{Gains, LatencySample, Request, ServerState, SpeedMemory};
use mintshelf_time::{Nanos, MILLISECOND, SECOND};

/// Weight of one new sample in a class's typical latency.
const TYPICAL_GAIN: f64 = 0.05;
/// Typical latency as a part of the latency objective, until one was observed.
const UNKNOWN_TYPICAL: f64 = 0.3;
/// Power of the latency ratio in a server's speed: above 1, load leaves an overloaded server.
const SPEED_POWER: f64 = 1.5;
/// The same for its kind where no sizes are listed: waiting elsewhere hides speed.
const KIND_POWER: f64 = 2.5;
/// Memory of a server's samples where each instance has only its own.
const OWN_MEMORY: SpeedMemory = SpeedMemory { prior_samples: 3.0, half_life: 12 * SECOND };
/// The same where peers share theirs.
const SHARED_MEMORY: SpeedMemory = SpeedMemory { prior_samples: 0.5, half_life: 6 * SECOND };
/// Half-life of the recent latency ratio over all servers.
const RECENT_RATIO_HALF_LIFE: Nanos = 700 * MILLISECOND;
/// Bound of one sample (log of a latency ratio): work is heavy-tailed.
const SAMPLE_CLIP: f64 = 2.5;
/// Bounds of the learned factor on a server's listed size.
const FACTOR_MIN: f64 = 0.03;
const FACTOR_MAX: f64 = 1.5;
/// Price of crossing zones (weight per request) at which a server of another zone counts half.
const CROSS_ZONE_HALF: f64 = 0.01;

impl Balancer {
    /// Divisor of the speed of a server in a zone: 1 in the own one.
    pub(super) fn zone_penalty(&self, zone: u32) -> f64 {
        let is_other = f64::from(u8::from(zone != self.settings.zone));
        1.0 + is_other * self.settings.prices.cross_zone / CROSS_ZONE_HALF
    }

    pub(super) fn speed(&self, server: &ServerState) -> f64 {
        let failures = server.failures.get(self.now, health::FAILURE_HALF_LIFE);
        let penalty = self.zone_penalty(server.listed.zone);
        let slowness = SPEED_POWER * self.slowness(server);
        let factor = (-slowness).exp().clamp(FACTOR_MIN, FACTOR_MAX);
        let size = server.listed.size.max(1e-6);
        size * self.warmth(server) * factor / penalty / (1.0 + failures)
    }

    /// Speed for a class: how its kind suits this class, against how it suits all.
    pub(super) fn speed_for(&self, class: usize, index: usize) -> f64 {
        let kind = self.kind_of(index);
        let offsets = &self.latency.kind_offset;
        let sum: f64 = offsets.iter().map(|by_kind| by_kind[kind]).sum();
        let fit = match self.settings.size_kind {
            // Slow kinds would get as much as fast ones, since no size tells them apart.
            SizeKind::Absent => -KIND_POWER * offsets[class][kind],
            _ => sum / offsets.len() as f64 - offsets[class][kind],
        };
        self.speed(&self.servers[index]) * fit.exp()
    }

    /// Learns from an attempt's latency. A served one shows what is typical and a timed-out
    /// one is a lower bound; an error is no sample, since a quick one would look like speed.
    pub(super) fn learn(&mut self, index: usize, sample: LatencySample) {
        let kind = self.kind_of(index);
        // The first samples are averaged: a single first one would dominate for long.
        let average = 1.0 / (self.latency.samples[sample.class] + 1.0);
        let gain = if sample.is_served { TYPICAL_GAIN.max(average) } else { 0.0 };
        let gains = Gains { gain, kind_gain: gain.min(2.0 * TYPICAL_GAIN), clip: SAMPLE_CLIP };
        self.latency.samples[sample.class] += f64::from(u8::from(sample.is_served));
        let ratio = self.latency.update(sample, kind, gains);
        if sample.is_served || ratio >= 0.0 {
            self.latency.recent_ratio.add(self.now, RECENT_RATIO_HALF_LIFE, ratio, 1.0);
            self.add_latency_samples(index, ratio, 1.0);
        }
    }

    /// Expected latency of a request of known work at a server; 0 if unknown.
    pub(super) fn expected_latency(&self, index: usize, request: &Request) -> f64 {
        let slowness = self.slowness(&self.servers[index]);
        self.latency.for_work(request, self.kind_of(index)) * slowness.exp()
    }

    /// Mean log latency ratio of a server's samples, drawn to 0 by the prior.
    fn slowness(&self, server: &ServerState) -> f64 {
        let SpeedMemory { prior_samples, half_life } = self.speed_memory();
        server.log_latency_ratio.get(self.now, half_life, prior_samples)
    }

    pub(super) fn speed_memory(&self) -> SpeedMemory {
        match self.settings.has_peers {
            true => SHARED_MEMORY,
            false => OWN_MEMORY,
        }
    }

    pub(super) fn add_latency_samples(&mut self, index: usize, sum: f64, count: f64) {
        let half_life = self.speed_memory().half_life;
        self.servers[index].log_latency_ratio.add(self.now, half_life, sum, count);
    }

    /// Present median latency of a class: its typical one times the recent ratio of all.
    pub(super) fn present_latency(&self, class: usize) -> f64 {
        let prior = OWN_MEMORY.prior_samples;
        let ratio = self.latency.recent_ratio.get(self.now, RECENT_RATIO_HALF_LIFE, prior);
        self.typical_latency(class) * ratio.exp()
    }

    /// Typical latency of a class; a part of its objective until one was observed.
    pub(super) fn typical_latency(&self, class: usize) -> f64 {
        let unknown = self.settings.classes[class].latency_objective as f64 * UNKNOWN_TYPICAL;
        self.latency.typical[class].map_or(unknown, f64::exp)
    }
}
