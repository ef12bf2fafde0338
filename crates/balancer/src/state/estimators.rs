//! Estimates that a balancer keeps of latency, traffic and overload.

use super::request::{LatencySample, Request};
use crate::api::Settings;
use crate::decay::{DecayingCounter, DecayingMean};
use crate::gossip::GossipMessage;
use mintshelf_time::Nanos;

/// Estimates of latency by class and kind of machine, as natural logs of nanoseconds.
#[derive(Debug, Default)]
pub(crate) struct LatencyModel {
    /// Typical log latency of each class, once observed.
    pub(crate) typical: Vec<Option<f64>>,
    /// Typical log of latency over expected work of each class, once observed.
    pub(crate) typical_per_work: Vec<Option<f64>>,
    /// Served attempts from which each class has learned.
    pub(crate) samples: Vec<f64>,
    /// What a kind of machine adds to each class's log latency, by class and kind.
    pub(crate) kind_offset: Vec<Vec<f64>>,
    /// Recent log ratios of latencies to the typical ones, over all servers.
    pub(crate) recent_ratio: DecayingMean,
}

impl LatencyModel {
    pub(crate) fn new(settings: &Settings) -> Self {
        let classes = settings.classes.len();
        LatencyModel {
            typical: vec![None; classes],
            typical_per_work: vec![None; classes],
            samples: vec![0.0; classes],
            kind_offset: vec![vec![0.0; settings.hardware_models.max(1) as usize]; classes],
            recent_ratio: DecayingMean::default(),
        }
    }

    /// Moves the typical latencies towards a sample by `gain`, and the offset of the kind by
    /// `kind_gain`; returns the sample's log ratio to the typical latency, limited to `clip`.
    /// With the work known, that ratio is of the latency over work: the rest of the time is
    /// due to the server.
    pub(crate) fn update(&mut self, sample: LatencySample, kind: usize, gains: Gains) -> f64 {
        let Gains { gain, kind_gain, clip } = gains;
        let log_latency = (sample.elapsed.max(1) as f64).ln();
        let offset = self.kind_offset[sample.class][kind];
        let typical = self.typical[sample.class].get_or_insert(log_latency);
        let mut ratio = (log_latency - *typical - offset).clamp(-clip, clip);
        *typical += gain * ratio;
        if let Some(log_work) = sample.log_work {
            let per_work = &mut self.typical_per_work[sample.class];
            let typical = per_work.get_or_insert(log_latency - log_work);
            ratio = (log_latency - log_work - *typical - offset).clamp(-clip, clip);
            *typical += gain * ratio;
        }
        self.kind_offset[sample.class][kind] += kind_gain * ratio;
        ratio
    }

    /// Typical latency in nanoseconds of a request of known work on a kind of machine; 0 if
    /// that is unknown.
    pub(crate) fn for_work(&self, request: &Request, kind: usize) -> f64 {
        let known = request.log_work.zip(self.typical_per_work[request.class]);
        let offset = self.kind_offset[request.class][kind];
        known.map_or(0.0, |(log_work, per_work)| (log_work + per_work + offset).exp())
    }
}

/// Weights with which a sample moves the latency model.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Gains {
    /// Weight in the typical latencies.
    pub(crate) gain: f64,
    /// Weight in the offset of a kind.
    pub(crate) kind_gain: f64,
    /// Bound of the sample's log ratio.
    pub(crate) clip: f64,
}

/// How a server's latency samples are remembered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SpeedMemory {
    /// Samples that it takes to outweigh the prior of an ordinary server.
    pub(crate) prior_samples: f64,
    /// Time in which samples lose half their weight.
    pub(crate) half_life: Nanos,
}

/// Estimates of arrivals and served requests.
#[derive(Debug, Default)]
pub(crate) struct TrafficEstimates {
    /// Requests that are no repeats.
    pub(crate) arrivals: DecayingCounter,
    pub(crate) served: DecayingCounter,
    /// Served requests, each divided by the total capacity at its time.
    pub(crate) served_per_capacity: DecayingCounter,
    /// Requests of each tenant, own and received from peers.
    pub(crate) by_tenant: Vec<DecayingCounter>,
    /// How many instances' traffic `by_tenant` is of.
    pub(crate) tenant_weight: DecayingCounter,
    /// Recent requests of each class.
    pub(crate) class_mix: Vec<f64>,
}

impl TrafficEstimates {
    pub(crate) fn new(settings: &Settings) -> Self {
        TrafficEstimates {
            by_tenant: vec![DecayingCounter::default(); settings.tenants.len()],
            class_mix: vec![1.0; settings.classes.len()],
            ..TrafficEstimates::default()
        }
    }

    /// Takes half of the tenants' traffic into a message.
    pub(crate) fn halve_tenants(&mut self, now: Nanos, half_life: Nanos) -> GossipMessage {
        let halve = |counter: &mut DecayingCounter| {
            counter.sum /= 2.0;
            counter.get(now, half_life)
        };
        let weight = halve(&mut self.tenant_weight);
        let tenants = self.by_tenant.iter_mut().map(halve).collect();
        GossipMessage { weight, tenants, servers: Vec::new() }
    }

    /// Adds the tenants' traffic of a message.
    pub(crate) fn add_tenants(&mut self, now: Nanos, half_life: Nanos, message: &GossipMessage) {
        self.tenant_weight.fill(now, half_life);
        self.tenant_weight.add(now, half_life, message.weight);
        for (counter, sum) in self.by_tenant.iter_mut().zip(&message.tenants) {
            counter.add(now, half_life, *sum);
        }
    }

    /// Counts a request of a tenant, if there are tenants. The weight moves to that of one
    /// instance: one that only halved, while messages were lost, would inflate the traffic.
    pub(crate) fn count_tenant(&mut self, now: Nanos, half_life: Nanos, tenant: usize) {
        self.tenant_weight.fill(now, half_life);
        if let Some(counter) = self.by_tenant.get_mut(tenant) {
            counter.add(now, half_life, 1.0);
        }
    }

    /// Counts a request in the mix of classes, of which each request forgets a part.
    pub(crate) fn count_class(&mut self, memory_requests: f64, class: usize) {
        for count in &mut self.class_mix {
            *count *= 1.0 - 1.0 / memory_requests;
        }
        self.class_mix[class] += 1.0;
    }
}

/// State of admission control.
#[derive(Debug, Default)]
pub(crate) struct OverloadState {
    /// Share of the work to be rejected, from 0 to 1.
    pub(crate) reject_level: f64,
    /// Slow average of the reject level.
    pub(crate) baseline_level: f64,
    pub(crate) updated_at: Nanos,
    /// When an attempt last ended or became overdue.
    pub(crate) last_end_at: Nanos,
    /// Share of the requests of each class to be rejected.
    pub(crate) class_reject_share: Vec<f64>,
}

impl OverloadState {
    pub(crate) fn new(settings: &Settings, now: Nanos) -> Self {
        OverloadState {
            updated_at: now,
            last_end_at: now,
            class_reject_share: vec![0.0; settings.classes.len()],
            ..OverloadState::default()
        }
    }
}

/// Whether load reports follow the load: how many repeated the last values, and how many
/// differed.
#[derive(Debug, Default)]
pub(crate) struct ReportFreshness {
    pub(crate) repeated: u32,
    pub(crate) changed: u32,
}

impl ReportFreshness {
    /// Counts a report; one that repeats an empty queue shows nothing.
    pub(crate) fn count(&mut self, is_changed: bool, queue: f64) {
        if is_changed {
            self.changed += 1;
        } else if queue > 0.0 {
            self.repeated += 1;
        }
    }
}
