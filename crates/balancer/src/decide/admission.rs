//! Admission: how much is refused on arrival, and of what.

use super::*;

/// Known work is refused if it takes more than this part of the aim on the quickest kind.
const HOPELESS_AT: f64 = 2.5;
/// Congested share of ended attempts at which the refused share holds still.
const CONGESTED_TARGET: f64 = 0.12;
/// Refused share that a second of nothing but congested ends adds.
const ADMIT_GAIN: f64 = 0.4;
/// Memory of the usual refused share, and how much faster it falls above that.
const USUAL_SPAN: Nanos = 15 * SECOND;
const ABOVE_GAIN: f64 = 2.0;
/// Bounds of what one ended attempt moves it by.
const ADMIT_STEP_MIN: f64 = 0.01;
const ADMIT_STEP_MAX: f64 = 0.15;
/// The refused share fades by 1/e in this time.
const ADMIT_FADE: Nanos = 4 * SECOND;
/// Wait at a server, as a part of what the tightest aim leaves, at which a send is refused.
const WAIT_SHARE: f64 = 0.7;
/// Most that is refused of any class in share.
const ADMIT_MAX: f64 = 0.97;
/// Levels up to this refuse nothing: a lone slow answer is no overload.
pub(super) const ADMIT_DEADBAND: f64 = 0.15;
/// Level at which traffic past a quota known from peers begins to be refused
/// (else the dead band), and how much more refuses all of it.
const OVER_FROM: f64 = 0.05;
const OVER_SPAN: f64 = 0.1;
/// A client must wait this power of e longer than usual for each part of refused share.
const HASTE: f64 = 2.0;
/// Memory of the traffic mix, in requests.
const MIX_MEMORY: f64 = 300.0;

impl Balancer {
    /// Moves the refused share by what an ended attempt shows. Danger: overdue work and
    /// repeats keep servers jammed (metastable overload); refusing early lets queues drain.
    pub(super) fn note_congestion(&mut self, now: Nanos, congested: f64) {
        self.fade_level(now);
        self.ended_at = now;
        let rate = self.served_rate(now).max(1e-3);
        let step = (ADMIT_GAIN / rate).clamp(ADMIT_STEP_MIN, ADMIT_STEP_MAX);
        // Danger: a jam leaves the level far above need; answers in time make it fall faster.
        let above = (self.refuse_level - self.usual_level).max(0.0);
        let faster = if congested > 0.0 { 1.0 } else { 1.0 + ABOVE_GAIN * above };
        let moved = self.refuse_level + step * (congested - CONGESTED_TARGET * faster);
        self.refuse_level = moved.clamp(0.0, 1.0);
    }

    /// Danger: who refuses most sees few ends; the level falls by time too, or outlives the jam.
    pub(super) fn fade_level(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.level_at) as f64;
        self.refuse_level *= (-passed / ADMIT_FADE as f64).exp();
        let share = (passed / USUAL_SPAN as f64).min(1.0);
        self.usual_level += (self.refuse_level - self.usual_level) * share;
        self.level_at = now;
        self.share_refusals();
    }

    /// Longest wait at a server: one bound, or long aims crowd out short ones.
    pub(super) fn wait_limit(&self) -> f64 {
        let spare = |c: usize| {
            let latency_objective = self.set.classes[c].latency_objective as f64;
            (latency_objective - 1.5 * self.typical_of(c)).max(0.3 * latency_objective)
        };
        (0..self.set.classes.len()).map(spare).fold(f64::INFINITY, f64::min) * WAIT_SHARE
    }

    /// Lays the refused share on the classes: least worth per unit of work
    /// first where the goal gains by it, else on all alike.
    fn share_refusals(&mut self) {
        let n = self.set.classes.len();
        let parts = |of: &dyn Fn(usize) -> f64| -> Vec<f64> {
            let all: f64 = (0..n).map(of).sum();
            (0..n).map(|c| of(c) / all.max(1e-9)).collect()
        };
        let work = parts(&|c| self.mix[c] * self.typical_of(c));
        let by = |c: usize| if self.set.is_weighted_by_work { work[c] } else { self.mix[c] };
        let priority_weight = parts(&|c| self.set.classes[c].priority_weight * by(c));
        let density = |c: usize| priority_weight[c] / work[c].max(1e-9);
        let mut by_density: Vec<usize> = (0..n).collect();
        by_density.sort_by(|a, b| density(*a).total_cmp(&density(*b)));
        let (low, high) = (by_density[0], by_density[n - 1]);
        let goal = &self.set.objective;
        let gain = (goal.overall + goal.worst_window) * work[low] * (density(high) - density(low));
        let level = (self.refuse_level - ADMIT_DEADBAND).max(0.0) / (1.0 - ADMIT_DEADBAND);
        let mut left = level;
        for c in by_density {
            let share = if gain > goal.worst_class { left / work[c].max(1e-9) } else { level };
            let share = share.min(ADMIT_MAX);
            self.refuse[c] = share;
            left = (left - share * work[c]).max(0.0);
        }
    }

    /// Chance that a request is refused on arrival. What is past a quota goes first.
    pub(super) fn refuse_chance(&self, now: Nanos, class: usize, tenant: usize) -> f64 {
        let from = if self.set.has_peers { OVER_FROM } else { ADMIT_DEADBAND };
        let ramp = ((self.refuse_level - from) / OVER_SPAN).clamp(0.0, 1.0);
        let over = if ramp > 0.0 { self.over_quota(now, tenant) } else { 0.0 };
        1.0 - (1.0 - self.refuse[class]) * (1.0 - ramp * over.clamp(0.0, ADMIT_MAX))
    }

    /// Known work too long for any kind, or a client that will not even wait for the aim and
    /// leaves sooner than answers come now. Danger: it would hold places in vain.
    pub(super) fn hopeless(&self, now: Nanos, request: &Request) -> bool {
        let class = &self.set.classes[request.class];
        let left = request.deadline.saturating_sub(now);
        let taught = self.taught[request.class] > 9.0;
        let needs = || self.typical_now(now, request.class) * (HASTE * self.refuse_level).exp();
        if taught && left < class.latency_objective && (left as f64) < needs() {
            return true;
        }
        let best = self.kind_offset[request.class].iter().copied().fold(f64::INFINITY, f64::min);
        let sure = class.late_weight <= 0.0 && taught;
        let known = request.cost.zip(self.pace[request.class]).filter(|_| sure);
        known.is_some_and(|(cost, pace)| {
            (cost + pace + best).exp() > HOPELESS_AT * class.latency_objective as f64
        })
    }

    /// Part of a tenant's traffic past its quota. Danger: without peers a busy
    /// instance takes its own rate for the fleet's; there only the mix counts.
    fn over_quota(&self, now: Nanos, tenant: usize) -> f64 {
        let Some(set) = self.set.tenants.get(tenant) else { return 0.0 };
        let weight = self.tenant_weight.get(now, RATE_HALF_LIFE).max(1e-3);
        let scale = f64::from(self.set.instances) / RATE_SPAN / weight;
        let fleet = |seen: &DecayingCounter| seen.get(now, RATE_HALF_LIFE) * scale;
        let mut rate = fleet(&self.tenant_seen[tenant]);
        if !self.set.has_peers {
            let quotas: f64 = self.set.tenants.iter().map(|t| t.quota_per_second).sum();
            let all: f64 = self.tenant_seen.iter().map(fleet).sum();
            rate *= (quotas / all.max(1e-9)).min(1.0);
        }
        1.0 - set.quota_per_second / rate.max(1e-9)
    }

    pub(super) fn count_mix(&mut self, now: Nanos, class: usize, tenant: usize) {
        self.mix.iter_mut().for_each(|m| *m *= 1.0 - 1.0 / MIX_MEMORY);
        self.mix[class] += 1.0;
        // Danger: with messages lost, a weight that only halves would blow up the own traffic.
        self.tenant_weight.fill(now, RATE_HALF_LIFE);
        if let Some(seen) = self.tenant_seen.get_mut(tenant) {
            seen.add(now, RATE_HALF_LIFE, 1.0);
        }
    }
}
