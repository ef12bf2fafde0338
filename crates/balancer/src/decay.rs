//! Exponentially decaying sums and means: a sample loses half its weight per half-life.

use mintshelf_time::{as_float, Nanos};

/// A sum that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingCounter {
    /// The sum as of the last update.
    pub sum: f64,
    updated_at: Nanos,
}

impl DecayingCounter {
    /// Returns the decayed sum at `now`.
    #[must_use]
    pub fn get(&self, now: Nanos, half_life: Nanos) -> f64 {
        let elapsed = as_float(now.saturating_sub(self.updated_at));
        self.sum * (-elapsed / as_float(half_life)).exp2()
    }

    /// Adds `value` at `now`.
    pub fn add(&mut self, now: Nanos, half_life: Nanos, value: f64) {
        *self = DecayingCounter { sum: self.get(now, half_life) + value, updated_at: now };
    }

    /// Brings the sum up to `now` as if values had been added at the constant rate that holds
    /// it at 1: the difference from 1 decays with the half-life.
    pub fn approach_one(&mut self, now: Nanos, half_life: Nanos) {
        let missing = DecayingCounter { sum: 1.0 - self.sum, updated_at: self.updated_at };
        *self = DecayingCounter { sum: 1.0 - missing.get(now, half_life), updated_at: now };
    }
}

/// A mean of samples with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingMean {
    /// Decaying sum of the samples.
    pub sum: DecayingCounter,
    /// Decaying number of samples.
    pub count: DecayingCounter,
}

impl DecayingMean {
    /// Adds samples, given by their sum and count, at `now`; a negative sum and count remove
    /// samples.
    pub fn add(&mut self, now: Nanos, half_life: Nanos, sum: f64, count: f64) {
        self.sum.add(now, half_life, sum);
        self.count.add(now, half_life, count);
    }

    /// Returns the mean at `now`, shrunk towards 0 as if `prior_samples` samples of value 0 had
    /// been added.
    #[must_use]
    pub fn get(&self, now: Nanos, half_life: Nanos, prior_samples: f64) -> f64 {
        self.sum.get(now, half_life) / (self.count.get(now, half_life) + prior_samples)
    }
}
