//! A sum whose parts lose half their weight in a given time.

use crate::api::Nanos;

/// A sum that fades with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingCounter {
    /// The sum at the time below.
    pub sum: f64,
    at: Nanos,
}

impl DecayingCounter {
    /// What is left of it now.
    pub fn get(&self, now: Nanos, half_life: Nanos) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / half_life as f64).exp2()
    }

    /// Adds a value now.
    pub fn add(&mut self, now: Nanos, half_life: Nanos, value: f64) {
        *self = DecayingCounter { sum: self.get(now, half_life) + value, at: now };
    }

    /// Moves towards 1 with the time passed: the weight of what came meanwhile.
    pub fn fill(&mut self, now: Nanos, half_life: Nanos) {
        let missing = DecayingCounter { sum: 1.0 - self.sum, at: self.at };
        *self = DecayingCounter { sum: 1.0 - missing.get(now, half_life), at: now };
    }
}

/// A mean whose parts lose half their weight in a given time.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingMean {
    /// The sum of the samples.
    pub sum: DecayingCounter,
    /// How many there were.
    pub count: DecayingCounter,
}

impl DecayingMean {
    /// Adds samples now, by their sum and count; less than none takes some away.
    pub fn add(&mut self, now: Nanos, half_life: Nanos, sum: f64, count: f64) {
        self.sum.add(now, half_life, sum);
        self.count.add(now, half_life, count);
    }

    /// The mean now, drawn to 0 by so many samples of that.
    pub fn get(&self, now: Nanos, half_life: Nanos, prior: f64) -> f64 {
        self.sum.get(now, half_life) / (self.count.get(now, half_life) + prior)
    }
}
