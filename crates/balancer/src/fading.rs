//! A sum whose parts lose half their weight in a given time.

use crate::api::Nanos;

/// A sum that fades with time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fading {
    /// The sum at the time below.
    pub sum: f64,
    at: Nanos,
}

impl Fading {
    /// What is left of it now.
    pub fn get(&self, now: Nanos, half_life: Nanos) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / half_life as f64).exp2()
    }

    /// Adds a value now.
    pub fn add(&mut self, now: Nanos, half_life: Nanos, value: f64) {
        *self = Fading { sum: self.get(now, half_life) + value, at: now };
    }

    /// Moves towards 1 with the time passed: the weight of what came meanwhile.
    pub fn fill(&mut self, now: Nanos, half_life: Nanos) {
        let missing = Fading { sum: 1.0 - self.sum, at: self.at };
        *self = Fading { sum: 1.0 - missing.get(now, half_life), at: now };
    }
}
