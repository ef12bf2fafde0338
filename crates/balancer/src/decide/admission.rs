//! Admission control: how much is rejected on arrival, and of what.

use super::rates::{RATE_HALF_LIFE, RATE_MEMORY_SECONDS};
use super::Balancer;
use crate::api::Objective;
use crate::decay::DecayingCounter;
use crate::state::Request;
use mintshelf_time::{Nanos, SECOND};

/// Known work is rejected if the fastest kind takes over this multiple of the objective for it.
const FUTILE_MULTIPLE: f64 = 2.5;
/// Samples of a class before its latency justifies a rejection.
const FUTILE_MIN_SAMPLES: f64 = 9.0;
/// Congested share of ended attempts at which the reject level holds still.
const CONGESTED_TARGET: f64 = 0.12;
/// Reject level that a second of nothing but congested attempts adds.
const LEVEL_GAIN: f64 = 0.4;
/// Time constant of the baseline of the reject level.
const BASELINE_MEMORY: Nanos = 15 * SECOND;
/// How much faster the reject level falls above its baseline.
const ABOVE_BASELINE_GAIN: f64 = 2.0;
/// Bounds of the step that one ended attempt moves the level by.
const LEVEL_STEP_MIN: f64 = 0.01;
const LEVEL_STEP_MAX: f64 = 0.15;
/// The reject level decays by 1/e in this time.
const LEVEL_DECAY: Nanos = 4 * SECOND;
/// Longest wait at a server, as a part of the time that the tightest objective leaves.
const WAIT_SHARE: f64 = 0.7;
/// Largest share of any class that is rejected.
const REJECT_MAX: f64 = 0.97;
/// Levels up to this reject nothing: a lone slow response is no overload.
pub(super) const REJECT_DEADBAND: f64 = 0.15;
/// Level from which traffic past a quota is rejected where peers share theirs, else the dead band.
const OVER_QUOTA_FROM: f64 = 0.05;
/// How much more rejects all of it.
const OVER_QUOTA_RAMP: f64 = 0.1;
/// A client must wait this power of e longer than typical for each part of the reject level.
const STRAIN_POWER: f64 = 2.0;
/// Memory of the traffic mix, in requests.
pub(super) const MIX_MEMORY_REQUESTS: f64 = 300.0;

impl Balancer {
    /// Moves the reject level by what an ended attempt shows. Overdue work and repeats keep
    /// servers overloaded (metastable failure); early rejection lets the queues drain.
    pub(super) fn note_congestion(&mut self, congested: f64) {
        self.decay_reject_level();
        self.overload.last_end_at = self.now;
        let rate = self.served_per_second().max(1e-3);
        let step = (LEVEL_GAIN / rate).clamp(LEVEL_STEP_MIN, LEVEL_STEP_MAX);
        // An overload leaves the level far above need; responses in time lower it faster.
        let overload = &mut self.overload;
        let above = (overload.reject_level - overload.baseline_level).max(0.0);
        let speed_up = if congested > 0.0 { 1.0 } else { 1.0 + ABOVE_BASELINE_GAIN * above };
        let level = overload.reject_level + step * (congested - CONGESTED_TARGET * speed_up);
        overload.reject_level = level.clamp(0.0, 1.0);
    }

    /// Lowers the reject level by time too: an instance that rejects most sees few attempts
    /// end, and the level would outlive the overload.
    pub(super) fn decay_reject_level(&mut self) {
        let overload = &mut self.overload;
        let elapsed = self.now.saturating_sub(overload.updated_at) as f64;
        overload.reject_level *= (-elapsed / LEVEL_DECAY as f64).exp();
        let gain = (elapsed / BASELINE_MEMORY as f64).min(1.0);
        overload.baseline_level += (overload.reject_level - overload.baseline_level) * gain;
        overload.updated_at = self.now;
        self.share_rejections();
    }

    /// Longest wait at a server: one bound for all, or long objectives crowd out short ones.
    pub(super) fn max_wait(&self) -> f64 {
        let spare = |class: usize| {
            let objective = self.settings.classes[class].latency_objective as f64;
            (objective - 1.5 * self.typical_latency(class)).max(0.3 * objective)
        };
        let classes = 0..self.settings.classes.len();
        classes.map(spare).fold(f64::INFINITY, f64::min) * WAIT_SHARE
    }

    /// Divides the reject level among the classes: the least weight per unit of work first
    /// where the objective gains by it, else all alike.
    fn share_rejections(&mut self) {
        let work =
            self.class_shares(|class| self.traffic.class_mix[class] * self.typical_latency(class));
        let mix = &self.traffic.class_mix;
        let weighted_by = if self.settings.is_weighted_by_work { &work } else { mix };
        let weight = self.class_shares(|class| {
            self.settings.classes[class].priority_weight * weighted_by[class]
        });
        let density = |class: usize| weight[class] / work[class].max(1e-9);
        let mut by_density: Vec<usize> = (0..work.len()).collect();
        by_density.sort_by(|one, other| density(*one).total_cmp(&density(*other)));
        let low = by_density[0];
        let high = by_density[work.len() - 1];
        let Objective { overall, worst_window, worst_class, .. } = self.settings.objective;
        let gain = (overall + worst_window) * work[low] * (density(high) - density(low));
        let above_deadband = (self.overload.reject_level - REJECT_DEADBAND).max(0.0);
        let level = above_deadband / (1.0 - REJECT_DEADBAND);
        let mut remaining = level;
        for class in by_density {
            let is_first = gain > worst_class;
            let share = if is_first { remaining / work[class].max(1e-9) } else { level };
            let share = share.min(REJECT_MAX);
            self.overload.class_reject_share[class] = share;
            remaining = (remaining - share * work[class]).max(0.0);
        }
    }

    /// Shares of the classes in the sum of a quantity.
    fn class_shares(&self, quantity: impl Fn(usize) -> f64) -> Vec<f64> {
        let classes = self.settings.classes.len();
        let sum: f64 = (0..classes).map(&quantity).sum();
        (0..classes).map(|class| quantity(class) / sum.max(1e-9)).collect()
    }

    /// Probability that a request is rejected on arrival. What is past a quota goes first.
    pub(super) fn reject_probability(&self, class: usize, tenant: usize) -> f64 {
        let from = if self.settings.has_peers { OVER_QUOTA_FROM } else { REJECT_DEADBAND };
        let ramp = ((self.overload.reject_level - from) / OVER_QUOTA_RAMP).clamp(0.0, 1.0);
        let over_quota = if ramp > 0.0 { self.over_quota_share(tenant) } else { 0.0 };
        let admitted = 1.0 - self.overload.class_reject_share[class];
        1.0 - admitted * (1.0 - ramp * over_quota.clamp(0.0, REJECT_MAX))
    }

    /// Whether a request would occupy a server in vain: its known work is too long for any
    /// kind, or its client waits less than the objective and leaves before a response comes.
    pub(super) fn is_futile(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let is_known = self.latency.samples[request.class] > FUTILE_MIN_SAMPLES;
        let remaining = request.deadline.saturating_sub(self.now);
        let needed = || {
            let strain = (STRAIN_POWER * self.overload.reject_level).exp();
            self.present_latency(request.class) * strain
        };
        if is_known && remaining < class.latency_objective && (remaining as f64) < needed() {
            return true;
        }
        let offsets = self.latency.kind_offset[request.class].iter().copied();
        let fastest = offsets.fold(f64::INFINITY, f64::min);
        let earns_nothing_late = class.late_weight <= 0.0 && is_known;
        let known = request.log_work.zip(self.latency.typical_per_work[request.class]);
        known.filter(|_| earns_nothing_late).is_some_and(|(log_work, per_work)| {
            let latency = (log_work + per_work + fastest).exp();
            latency > FUTILE_MULTIPLE * class.latency_objective as f64
        })
    }

    /// Share of a tenant's traffic that is past its quota. Without peers a busy instance would
    /// take its own rate for that of all; there only the mix of tenants counts.
    fn over_quota_share(&self, tenant: usize) -> f64 {
        let Some(settings) = self.settings.tenants.get(tenant) else { return 0.0 };
        let weight = self.traffic.tenant_weight.get(self.now, RATE_HALF_LIFE).max(1e-3);
        let scale = f64::from(self.settings.instances) / RATE_MEMORY_SECONDS / weight;
        let fleet_rate = |counter: &DecayingCounter| counter.get(self.now, RATE_HALF_LIFE) * scale;
        let mut rate = fleet_rate(&self.traffic.by_tenant[tenant]);
        if !self.settings.has_peers {
            let quota: f64 = self.settings.tenants.iter().map(|other| other.quota_per_second).sum();
            let total: f64 = self.traffic.by_tenant.iter().map(fleet_rate).sum();
            rate *= (quota / total.max(1e-9)).min(1.0);
        }
        1.0 - settings.quota_per_second / rate.max(1e-9)
    }
}
