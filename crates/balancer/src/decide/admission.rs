//! Admission control: what share of each class is rejected on arrival, and which requests are
//! futile.

use super::congestion::CongestionSignal;
use super::latency_model::LatencyModel;
use crate::api::{ClassId, Objective, Settings};
use crate::state::Request;
use mintshelf_time::{as_float, Nanos, SECOND};

/// A request of known work is futile if its expected latency on the fastest hardware model exceeds
/// this multiple of the latency objective.
const FUTILE_OBJECTIVE_MULTIPLE: f64 = 2.5;
/// Number of latency samples of a class above which the class's latency justifies a rejection.
const FUTILE_MIN_SAMPLES: f64 = 9.0;
/// Exponent, per unit of the reject level, of the factor by which the current latency is scaled
/// before it is compared with the time that a client still waits.
const OVERLOAD_LATENCY_EXPONENT: f64 = 2.0;
/// Congested share of the ended attempts at which the reject level stays constant.
const TARGET_CONGESTED_SHARE: f64 = 0.12;
/// Rise of the reject level, before the target is subtracted, in a second in which all attempts are
/// congested.
const REJECT_LEVEL_GAIN_PER_SECOND: f64 = 0.4;
/// Minimum step of one congestion signal; the reject level changes by the step times the difference
/// between the weight of the signal and [`TARGET_CONGESTED_SHARE`].
const MIN_REJECT_LEVEL_STEP: f64 = 0.01;
/// Maximum step of one congestion signal; the reject level changes as for
/// [`MIN_REJECT_LEVEL_STEP`].
const MAX_REJECT_LEVEL_STEP: f64 = 0.15;
/// By how much a level above the baseline speeds up its own fall: the step is multiplied by 1 plus
/// this factor times the difference.
const ABOVE_BASELINE_GAIN: f64 = 2.0;
/// Time constant of the baseline of the reject level.
const BASELINE_TIME_CONSTANT: Nanos = 15 * SECOND;
/// Time constant with which the reject level decays, whether or not attempts end.
const REJECT_LEVEL_TIME_CONSTANT: Nanos = 4 * SECOND;
/// Maximum share of a class that is rejected.
const MAX_REJECT_SHARE: f64 = 0.97;
/// Reject level up to which no request is rejected, since a single slow response is no overload.
const REJECT_LEVEL_DEADBAND: f64 = 0.15;
/// Reject level above which quotas are enforced if instances exchange their tenants' traffic.
const QUOTA_ENFORCEMENT_MIN_LEVEL: f64 = 0.05;
/// Further rise of the reject level over which quota enforcement grows from none to full.
const QUOTA_ENFORCEMENT_RAMP: f64 = 0.1;
/// Time constant of the class mix, in requests.
const CLASS_MIX_TIME_CONSTANT_REQUESTS: f64 = 300.0;
/// Lower bound of the rate of served requests, in requests per second.
const MIN_SERVED_PER_SECOND: f64 = 1e-3;
/// Lower bound of divisors; avoids a division by zero.
const MIN_DIVISOR: f64 = 1e-9;

/// Admission control of one instance.
#[derive(Debug)]
pub(crate) struct AdmissionControl {
    /// Share of the work to be rejected, from 0 to 1.
    reject_level: f64,
    /// Slow moving average of the reject level.
    baseline_level: f64,
    /// Time at which the reject level last decayed.
    updated_at: Nanos,
    /// Time at which an attempt last gave a congestion signal.
    last_signal_at: Nanos,
    /// Decaying number of requests of each class.
    class_mix: Vec<f64>,
    /// Share of each class to be rejected.
    class_reject_shares: Vec<f64>,
    /// Reject level above which quotas are enforced.
    quota_enforcement_level: f64,
}

impl AdmissionControl {
    /// Creates the admission control of an instance that starts at `now` and admits everything.
    pub(crate) fn new(settings: &Settings, now: Nanos) -> Self {
        let classes = settings.classes.len();
        AdmissionControl {
            reject_level: 0.0,
            baseline_level: 0.0,
            updated_at: now,
            last_signal_at: now,
            class_mix: vec![1.0; classes],
            class_reject_shares: vec![0.0; classes],
            quota_enforcement_level: if settings.has_peers {
                QUOTA_ENFORCEMENT_MIN_LEVEL
            } else {
                REJECT_LEVEL_DEADBAND
            },
        }
    }

    /// Returns whether servers are overloaded and requests are rejected on arrival.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.reject_level > REJECT_LEVEL_DEADBAND
    }

    /// Returns the time at which an attempt last gave a congestion signal, congested or
    /// uncongested.
    pub(crate) fn last_signal_at(&self) -> Nanos {
        self.last_signal_at
    }

    /// Counts a request in the class mix, which decays with each request.
    pub(crate) fn count_request(&mut self, class: ClassId) {
        for count in &mut self.class_mix {
            *count *= 1.0 - 1.0 / CLASS_MIX_TIME_CONSTANT_REQUESTS;
        }
        self.class_mix[class.index()] += 1.0;
    }

    /// Adjusts the reject level by a congestion signal. Without early rejection, overdue work and
    /// retries would keep servers overloaded (metastable failure); rejection lets queues drain.
    pub(crate) fn record(
        &mut self,
        now: Nanos,
        signal: CongestionSignal,
        served_per_second: f64,
        settings: &Settings,
        latency: &LatencyModel,
    ) {
        self.decay(now, settings, latency);
        self.last_signal_at = now;
        let gain = REJECT_LEVEL_GAIN_PER_SECOND / served_per_second.max(MIN_SERVED_PER_SECOND);
        let step = gain.clamp(MIN_REJECT_LEVEL_STEP, MAX_REJECT_LEVEL_STEP);
        let excess = match signal {
            CongestionSignal::Congested(weight) => weight - TARGET_CONGESTED_SHARE,
            // After an overload the level is far higher than needed, so responses in time lower it
            // faster.
            CongestionSignal::Uncongested => {
                let above = (self.reject_level - self.baseline_level).max(0.0);
                0.0 - TARGET_CONGESTED_SHARE * (1.0 + ABOVE_BASELINE_GAIN * above)
            }
        };
        self.reject_level = (self.reject_level + step * excess).clamp(0.0, 1.0);
    }

    /// Lowers the reject level by the elapsed time. Few attempts end at an instance that rejects
    /// most requests, so signals alone would keep the level up after the overload has ended.
    pub(crate) fn decay(&mut self, now: Nanos, settings: &Settings, latency: &LatencyModel) {
        let elapsed = as_float(now.saturating_sub(self.updated_at));
        self.reject_level *= (-elapsed / as_float(REJECT_LEVEL_TIME_CONSTANT)).exp();
        let gain = (elapsed / as_float(BASELINE_TIME_CONSTANT)).min(1.0);
        self.baseline_level += (self.reject_level - self.baseline_level) * gain;
        self.updated_at = now;
        self.allocate_reject_level(settings, latency);
    }

    /// Returns the probability with which a request is rejected on arrival. Traffic over a quota is
    /// rejected first: `over_quota_share` returns that share of the tenant's traffic.
    pub(crate) fn reject_probability(
        &self,
        class: ClassId,
        over_quota_share: impl FnOnce() -> f64,
    ) -> f64 {
        let above_min = self.reject_level - self.quota_enforcement_level;
        let enforcement = (above_min / QUOTA_ENFORCEMENT_RAMP).clamp(0.0, 1.0);
        let over_quota = if enforcement > 0.0 { over_quota_share() } else { 0.0 };
        let admitted = 1.0 - self.class_reject_shares[class.index()];
        1.0 - admitted * (1.0 - enforcement * over_quota.clamp(0.0, MAX_REJECT_SHARE))
    }

    /// Returns whether a request would only waste a server's work: its known work takes too long on
    /// any hardware model, or its client waits for less than the latency objective and is expected
    /// to disconnect before the response.
    pub(crate) fn is_futile(
        &self,
        now: Nanos,
        request: &Request,
        settings: &Settings,
        latency: &LatencyModel,
    ) -> bool {
        let class = settings.class(request.class);
        if latency.sample_count(request.class) <= FUTILE_MIN_SAMPLES {
            return false;
        }
        let remaining = request.deadline.saturating_sub(now);
        if remaining < class.latency_objective {
            let factor = (OVERLOAD_LATENCY_EXPONENT * self.reject_level).exp();
            if as_float(remaining) < latency.current_latency(now, request.class) * factor {
                return true;
            }
        }
        let max_latency = FUTILE_OBJECTIVE_MULTIPLE * as_float(class.latency_objective);
        let has_no_late_value = class.late_weight <= 0.0;
        let expected = latency.latency_for_work_on_fastest(request.class, request.log_work);
        has_no_late_value && expected.is_some_and(|expected| expected > max_latency)
    }

    /// Allocates the reject level to the classes: the class with the least weight per unit of work
    /// is rejected first if the deployment's objective gains by that, otherwise all classes are
    /// rejected equally.
    fn allocate_reject_level(&mut self, settings: &Settings, latency: &LatencyModel) {
        let mix = &self.class_mix;
        let work =
            class_shares(settings, |class| mix[class.index()] * latency.typical_latency(class));
        let weighted_by = if settings.is_weighted_by_work { &work } else { mix };
        let weight = class_shares(settings, |class| {
            settings.class(class).priority_weight * weighted_by[class.index()]
        });
        let density = |class: usize| weight[class] / work[class].max(MIN_DIVISOR);
        let mut by_density: Vec<usize> = (0..mix.len()).collect();
        by_density.sort_by(|one, other| density(*one).total_cmp(&density(*other)));
        let lowest = by_density[0];
        let highest = by_density[mix.len() - 1];
        let Objective { overall, worst_window, worst_class, .. } = settings.objective;
        let gain = (overall + worst_window) * work[lowest] * (density(highest) - density(lowest));
        let rejects_lowest_density_first = gain > worst_class;
        let above_deadband = (self.reject_level - REJECT_LEVEL_DEADBAND).max(0.0);
        let level = above_deadband / (1.0 - REJECT_LEVEL_DEADBAND);
        let mut remaining = level;
        for class in by_density {
            let share = if rejects_lowest_density_first {
                remaining / work[class].max(MIN_DIVISOR)
            } else {
                level
            };
            let share = share.min(MAX_REJECT_SHARE);
            self.class_reject_shares[class] = share;
            remaining = (remaining - share * work[class]).max(0.0);
        }
    }
}

/// Returns the share of each class in the sum of a quantity over all classes.
fn class_shares(settings: &Settings, quantity: impl Fn(ClassId) -> f64) -> Vec<f64> {
    let sum: f64 = settings.class_ids().map(&quantity).sum();
    settings.class_ids().map(|class| quantity(class) / sum.max(MIN_DIVISOR)).collect()
}
