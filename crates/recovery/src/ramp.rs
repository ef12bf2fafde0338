//! Detects the start and the end of a cluster's outage, and ramps traffic up afterwards.
//!
//! Each sidecar scales the ramp by its own baseline rate. The total traffic of all sidecars then
//! follows the same ramp, regardless of their number and without communication between them.

use crate::baseline::RateBaseline;
use crate::outage_detector::OutageDetector;
use crate::signal::OutageSignal;
use crate::token_bucket::TokenBucket;
use mintshelf_time::{as_float, from_float, Nanos, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Fraction of the baseline rate that is sent during an outage, to detect its end.
const OUTAGE_RATE_FRACTION: f64 = 0.1;
/// Fraction of the baseline rate at which the ramp begins.
const INITIAL_RATE_FRACTION: f64 = 0.2;
/// Multiple of the baseline rate at which the ramp ends.
const FINAL_RATE_FACTOR: f64 = 1.2;
/// Minimum rate in every phase, since the baseline may be unknown or small.
const MIN_RATE_PER_SECOND: f64 = 10.0;
/// Mean interval between two steps of the ramp.
const STEP_INTERVAL: Nanos = SECOND / 4;
/// Shortest interval between two steps, as a multiple of the mean.
const MIN_STEP_FACTOR: f64 = 0.75;
/// Longest interval between two steps less the shortest, as a multiple of the mean.
const STEP_FACTOR_RANGE: f64 = 0.5;
/// Minimum fraction of attempts answered in time at which a step raises the rate.
const RAISE_IN_TIME_FRACTION: f64 = 0.9;
/// A step lowers the rate if a smaller fraction of attempts is answered in time.
const LOWER_IN_TIME_FRACTION: f64 = 0.7;
/// Factor by which a step lowers the rate.
const LOWER_FACTOR: f64 = 0.7;
/// Minimum number of ended attempts for a step.
const STEP_MIN_ATTEMPTS: u32 = 2;

/// The phase of a cluster with respect to outages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No outage; all requests are admitted.
    Normal,
    /// Most attempts at the cluster fail.
    Outage,
    /// The cluster responds again, and traffic ramps up.
    Recovering,
}

/// Limits the rate at which one sidecar sends to one cluster during and after an outage.
#[derive(Debug)]
pub struct RecoveryRamp {
    phase: Phase,
    /// Minimum time from the start of the ramp to the baseline rate; `None` disables the ramp.
    duration: Option<Nanos>,
    responses: RateBaseline,
    /// Baseline rate at the end of the last [`Phase::Normal`].
    baseline_per_second: f64,
    outage: OutageDetector,
    rate_per_second: f64,
    /// Token bucket that limits requests to `rate_per_second` during and after an outage.
    bucket: TokenBucket,
    step: RampStep,
    rng: Pcg32,
}

/// Attempts that ended since the last step, and when the next step is due.
#[derive(Debug, Default)]
struct RampStep {
    due_at: Nanos,
    attempts: u32,
    /// Attempts answered within the latency objective.
    in_time: u32,
}

impl RampStep {
    fn record(&mut self, signal: OutageSignal) {
        self.attempts += 1;
        if signal == OutageSignal::InTime {
            self.in_time += 1;
        }
    }

    fn is_due(&self, now: Nanos) -> bool {
        now >= self.due_at && self.attempts >= STEP_MIN_ATTEMPTS
    }

    /// Returns the fraction of the attempts answered within the latency objective.
    fn in_time_fraction(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.attempts)
    }
}

impl RecoveryRamp {
    /// Starts in [`Phase::Normal`]. `duration` is the minimum time in which traffic returns to its
    /// baseline; 0 disables the ramp.
    #[must_use]
    pub fn new(seed: u64, duration: Nanos) -> Self {
        RecoveryRamp {
            phase: Phase::Normal,
            duration: (duration > 0).then_some(duration),
            responses: RateBaseline::default(),
            baseline_per_second: 0.0,
            outage: OutageDetector::default(),
            rate_per_second: 0.0,
            bucket: TokenBucket::default(),
            step: RampStep::default(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Returns the current phase of the cluster.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the number of admitted requests per second; `None` if all are admitted.
    #[must_use]
    pub fn rate_per_second(&self) -> Option<f64> {
        (self.phase != Phase::Normal).then_some(self.rate_per_second)
    }

    /// Returns whether a request that arrives at `now` may be sent. An admitted request takes a
    /// token.
    #[must_use = "an admitted request has taken a token"]
    pub fn admit(&mut self, now: Nanos) -> bool {
        self.phase == Phase::Normal || self.bucket.try_take(now, self.rate_per_second)
    }

    /// Records the end of an attempt at `now`.
    pub fn record(&mut self, now: Nanos, signal: OutageSignal) {
        let Some(duration) = self.duration else { return };
        let has_failed = signal == OutageSignal::Failure;
        if !has_failed {
            self.responses.count(now);
        }
        self.outage.record(now, has_failed);
        match self.phase {
            Phase::Normal | Phase::Recovering if self.outage.is_outage() => {
                self.enter_phase(now, Phase::Outage, OUTAGE_RATE_FRACTION);
            }
            Phase::Outage if !has_failed => {
                // Failures during the outage say nothing about the current state of the cluster.
                self.outage = OutageDetector::after_response(now);
                self.enter_phase(now, Phase::Recovering, INITIAL_RATE_FRACTION);
            }
            Phase::Recovering => {
                self.step.record(signal);
                if self.step.is_due(now) {
                    self.take_step(now, duration);
                }
            }
            Phase::Normal | Phase::Outage => {}
        }
    }

    fn baseline_or_min_rate(&self) -> f64 {
        self.baseline_per_second.max(MIN_RATE_PER_SECOND)
    }

    fn enter_phase(&mut self, now: Nanos, phase: Phase, fraction: f64) {
        if self.phase == Phase::Normal {
            self.baseline_per_second = self.responses.per_second();
        }
        self.phase = phase;
        self.rate_per_second = (self.baseline_or_min_rate() * fraction).max(MIN_RATE_PER_SECOND);
        self.bucket = TokenBucket::empty(now);
        self.schedule_step(now);
    }

    /// Schedules the next step with jitter. Sidecars that detected the end of the outage at the
    /// same time would otherwise raise their rates at the same time.
    fn schedule_step(&mut self, now: Nanos) {
        let jitter = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let factor = MIN_STEP_FACTOR + STEP_FACTOR_RANGE * jitter;
        let due_at = now + from_float(as_float(STEP_INTERVAL) * factor);
        self.step = RampStep { due_at, ..RampStep::default() };
    }

    fn take_step(&mut self, now: Nanos, duration: Nanos) {
        let in_time_fraction = self.step.in_time_fraction();
        if in_time_fraction >= RAISE_IN_TIME_FRACTION {
            if self.rate_per_second >= FINAL_RATE_FACTOR * self.baseline_or_min_rate() {
                self.phase = Phase::Normal;
                return;
            }
            self.raise_rate(duration);
        } else if in_time_fraction < LOWER_IN_TIME_FRACTION {
            self.rate_per_second = (self.rate_per_second * LOWER_FACTOR).max(MIN_RATE_PER_SECOND);
        }
        self.schedule_step(now);
    }

    /// Raises the rate by a constant factor per step, chosen so that the rate grows from its
    /// initial fraction to the baseline in `duration`.
    fn raise_rate(&mut self, duration: Nanos) {
        let steps = (as_float(duration) / as_float(STEP_INTERVAL)).max(1.0);
        self.rate_per_second *= INITIAL_RATE_FRACTION.recip().powf(1.0 / steps);
    }
}
