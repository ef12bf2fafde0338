//! Detects the outage of a cluster and its end, and ramps traffic up again.
//!
//! Each sidecar measures its ramp by its own baseline rate. The sum over all sidecars then
//! follows the same ramp, however many there are and without any exchange between them.

use crate::baseline::RateBaseline;
use crate::signal::OutageSignal;
use mintshelf_balancer::decay::DecayingCounter;
use mintshelf_time::SECOND;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Half-life of the counts of attempts, in nanoseconds.
const ATTEMPTS_HALF_LIFE_NS: u64 = SECOND / 2;
/// Attempts that must have ended of late before an outage is detected.
const OUTAGE_MIN_ATTEMPTS: f64 = 16.0;
/// Fraction of them that must have failed.
const OUTAGE_FAILURE_SHARE: f64 = 0.8;
/// Fraction of the baseline rate sent during an outage, to detect its end.
const OUTAGE_SHARE: f64 = 0.1;
/// Fraction of the baseline rate at which the ramp begins.
const INITIAL_SHARE: f64 = 0.2;
/// Multiple of the baseline rate at which the ramp ends.
const FINAL_SHARE: f64 = 1.2;
/// Minimum rate at any time, since the baseline may be unknown or small.
const MIN_RATE_PER_SECOND: f64 = 10.0;
/// Interval between two steps of the ramp in nanoseconds, give or take a quarter.
const STEP_NS: f64 = 0.25 * SECOND as f64;
/// Fraction of answers in time from which a step raises the rate.
const RAISE_SHARE: f64 = 0.9;
/// Fraction of answers in time below which a step lowers the rate.
const LOWER_SHARE: f64 = 0.7;
/// Factor by which a step lowers the rate.
const LOWER_FACTOR: f64 = 0.7;
/// Minimum number of attempts by which a step can judge.
const STEP_MIN_ATTEMPTS: u32 = 2;
/// Seconds of the current rate that may be sent in one burst.
const BURST_SECONDS: f64 = 0.1;

/// Phase of a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// In service; every request is admitted.
    Normal,
    /// Nearly all attempts fail.
    Outage,
    /// It responds again, and traffic ramps up.
    Recovering,
}

/// Limits the rate at which one sidecar sends to one cluster during and after an outage.
#[derive(Debug)]
pub struct RecoveryRamp {
    phase: Phase,
    /// Shortest time in which the ramp gets from its start to the baseline; 0 disables it.
    ramp_ns: u64,
    answered: RateBaseline,
    /// Baseline rate when the phase was last [`Phase::Normal`].
    baseline_per_second: f64,
    attempts: DecayingCounter,
    failures: DecayingCounter,
    rate_per_second: f64,
    /// Requests that may be sent at once; the token bucket of `rate_per_second`.
    credit: f64,
    credit_updated_at: u64,
    step: RampStep,
    rng: Pcg32,
}

/// Attempts that ended since the last step, and when the next one is due.
#[derive(Debug, Default)]
struct RampStep {
    due_at: u64,
    in_time: u32,
    attempts: u32,
}

impl RecoveryRamp {
    /// Starts with a cluster that is presumed to be up. `ramp_ns` is the shortest time in
    /// which traffic returns to its baseline; 0 disables the ramp.
    #[must_use]
    pub fn new(seed: u64, ramp_ns: u64) -> Self {
        RecoveryRamp {
            phase: Phase::Normal,
            ramp_ns,
            answered: RateBaseline::default(),
            baseline_per_second: 0.0,
            attempts: DecayingCounter::default(),
            failures: DecayingCounter::default(),
            rate_per_second: 0.0,
            credit: 0.0,
            credit_updated_at: 0,
            step: RampStep::default(),
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Requests a second that are admitted; `None` if all are.
    #[must_use]
    pub fn rate_per_second(&self) -> Option<f64> {
        (self.phase != Phase::Normal).then_some(self.rate_per_second)
    }

    /// Whether a request that arrives at `now` may be sent; uses up its credit if so.
    #[must_use = "an admitted request has used up its credit"]
    pub fn admit(&mut self, now: u64) -> bool {
        if self.phase == Phase::Normal {
            return true;
        }
        let elapsed_seconds = now.saturating_sub(self.credit_updated_at) as f64 / SECOND as f64;
        self.credit_updated_at = now.max(self.credit_updated_at);
        let max_credit = (self.rate_per_second * BURST_SECONDS).max(1.0);
        self.credit = (self.credit + elapsed_seconds * self.rate_per_second).min(max_credit);
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }

    /// Records how an attempt ended at `now`.
    pub fn record(&mut self, now: u64, signal: OutageSignal) {
        if self.ramp_ns == 0 {
            return;
        }
        let failed = signal == OutageSignal::Failure;
        if !failed {
            self.answered.count(now);
        }
        self.attempts.add(now, ATTEMPTS_HALF_LIFE_NS, 1.0);
        self.failures.add(now, ATTEMPTS_HALF_LIFE_NS, f64::from(u8::from(failed)));
        match self.phase {
            Phase::Normal | Phase::Recovering if self.is_outage() => {
                self.enter(now, Phase::Outage, OUTAGE_SHARE);
            }
            Phase::Outage if !failed => self.begin_recovery(now),
            Phase::Recovering => self.record_in_step(now, signal),
            Phase::Normal | Phase::Outage => {}
        }
    }

    fn is_outage(&self) -> bool {
        let attempts = self.attempts.sum;
        let failures = self.failures.sum;
        attempts >= OUTAGE_MIN_ATTEMPTS && failures >= OUTAGE_FAILURE_SHARE * attempts
    }

    fn begin_recovery(&mut self, now: u64) {
        // Failures of the outage are no evidence of the present.
        self.attempts = DecayingCounter::default();
        self.failures = DecayingCounter::default();
        self.attempts.add(now, ATTEMPTS_HALF_LIFE_NS, 1.0);
        self.enter(now, Phase::Recovering, INITIAL_SHARE);
    }

    fn target_rate(&self) -> f64 {
        self.baseline_per_second.max(MIN_RATE_PER_SECOND)
    }

    fn enter(&mut self, now: u64, phase: Phase, share: f64) {
        if self.phase == Phase::Normal {
            self.baseline_per_second = self.answered.per_second();
        }
        self.phase = phase;
        self.rate_per_second = (self.target_rate() * share).max(MIN_RATE_PER_SECOND);
        self.credit = 0.0;
        self.credit_updated_at = now;
        self.schedule_step(now);
    }

    /// Schedules the next step with jitter: sidecars that saw the end of the outage together
    /// would otherwise raise their rates together.
    fn schedule_step(&mut self, now: u64) {
        let jitter = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let due_at = now + (STEP_NS * (0.75 + 0.5 * jitter)) as u64;
        self.step = RampStep { due_at, ..RampStep::default() };
    }

    fn record_in_step(&mut self, now: u64, signal: OutageSignal) {
        self.step.in_time += u32::from(signal == OutageSignal::InTime);
        self.step.attempts += 1;
        if now >= self.step.due_at && self.step.attempts >= STEP_MIN_ATTEMPTS {
            self.take_step(now);
        }
    }

    fn take_step(&mut self, now: u64) {
        let in_time_share = f64::from(self.step.in_time) / f64::from(self.step.attempts);
        if in_time_share >= RAISE_SHARE {
            if self.rate_per_second >= FINAL_SHARE * self.target_rate() {
                self.phase = Phase::Normal;
                return;
            }
            let steps = (self.ramp_ns as f64 / STEP_NS).max(1.0);
            self.rate_per_second *= INITIAL_SHARE.recip().powf(1.0 / steps);
        } else if in_time_share < LOWER_SHARE {
            self.rate_per_second = (self.rate_per_second * LOWER_FACTOR).max(MIN_RATE_PER_SECOND);
        }
        self.schedule_step(now);
    }
}
