//! Notices that a whole cluster is out and that it is back, and lets traffic return to it
//! by a ramp.
//!
//! Each sidecar measures its ramp by what is usual for itself, so that the sum of all of them
//! follows the same ramp of the sum, however many they are and unheard by each other.

use crate::usual::Usual;
use crate::SECOND;
use mintshelf_balancer::api::Outcome;
use mintshelf_balancer::decay::DecayingCounter;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Ends of attempts are forgotten by half in this time.
const HALF_LIFE: u64 = SECOND / 2;
/// A cluster is out when so many of the latest ends, and this share of them, are breaks.
const OUT_ENDS: f64 = 16.0;
const OUT_SHARE: f64 = 0.8;
/// What is let through while it is out, to find that it is back, and at first when it is:
/// parts of the usual rate.
const OUT_PART: f64 = 0.1;
const FIRST_PART: f64 = 0.2;
/// The least rate at any time: what is usual may not be known, or be small.
const LEAST_RATE: f64 = 10.0;
/// The ramp is looked at this often, give or take a quarter.
const STEP: f64 = 0.25 * SECOND as f64;
/// Shares of answers in time from which the ramp goes up, and under which it goes down,
/// and by how much.
const GOOD: f64 = 0.9;
const BAD: f64 = 0.7;
const DOWN: f64 = 0.7;
/// Ends in a step without which it says nothing.
const STEP_ENDS: u32 = 2;
/// The ramp is over at this multiple of the usual rate.
const FULL: f64 = 1.2;
/// So much of a second's rate may go at once.
const BURST: f64 = 0.1;

/// How an attempt ended, as far as an outage shows in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered within its class's aim.
    InTime,
    /// Answered later.
    Late,
    /// No connection, a broken one, or no answer in time. What a server says itself, also
    /// that it has failed, is an answer.
    Break,
}

impl End {
    /// What an attempt's outcome says; nothing, if this side ended it. `in_time`: it took no
    /// longer than its class's aim.
    pub fn of(outcome: Outcome, in_time: bool) -> Option<End> {
        match outcome {
            Outcome::Ok | Outcome::Rejected | Outcome::Full | Outcome::Error => {
                Some(if in_time { End::InTime } else { End::Late })
            }
            Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => Some(End::Break),
            Outcome::Cancelled | Outcome::Unused => None,
        }
    }
}

/// What a cluster is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// All as usual; nothing is held back.
    Calm,
    /// Nearly all attempts break.
    Out,
    /// It answers again, and traffic returns by the ramp.
    Return,
}

/// Paces what one sidecar sends to one cluster.
#[derive(Debug)]
pub struct Pace {
    phase: Phase,
    /// Shortest time in which the ramp gets from its start to the usual rate; 0 for no pacing.
    ramp: u64,
    /// Answers, and what was usual when the cluster was last as usual.
    answered: Usual,
    before: f64,
    /// Counts of all ends and of breaks.
    ends: DecayingCounter,
    breaks: DecayingCounter,
    /// Requests a second let through now, and those that may go at once.
    rate: f64,
    credit: f64,
    credit_at: u64,
    /// When the ramp is looked at next, and what ended since it was: in time, and all.
    step_at: u64,
    step: [u32; 2],
    rng: Pcg32,
}

impl Pace {
    /// For a cluster that is taken to be up. `ramp` in nanoseconds; 0 holds nothing back.
    pub fn new(seed: u64, ramp: u64) -> Self {
        Pace {
            phase: Phase::Calm,
            ramp,
            answered: Usual::default(),
            before: 0.0,
            ends: DecayingCounter::default(),
            breaks: DecayingCounter::default(),
            rate: 0.0,
            credit: 0.0,
            credit_at: 0,
            step_at: 0,
            step: [0; 2],
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// What the cluster is in.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Requests a second that are let through; `None` while nothing is held back.
    pub fn rate(&self) -> Option<f64> {
        (self.phase != Phase::Calm).then_some(self.rate)
    }

    /// Whether a request that comes at `now` may be sent on.
    pub fn admit(&mut self, now: u64) -> bool {
        if self.phase == Phase::Calm {
            return true;
        }
        let passed = now.saturating_sub(self.credit_at) as f64 / SECOND as f64;
        self.credit_at = now.max(self.credit_at);
        let most = (self.rate * BURST).max(1.0);
        self.credit = (self.credit + passed * self.rate).min(most);
        let open = self.credit >= 1.0;
        if open {
            self.credit -= 1.0;
        }
        open
    }

    /// Takes note of how an attempt ended at `now`.
    pub fn ended(&mut self, now: u64, end: End) {
        if self.ramp == 0 {
            return;
        }
        let broke = end == End::Break;
        if !broke {
            self.answered.count(now);
        }
        self.ends.add(now, HALF_LIFE, 1.0);
        self.breaks.add(now, HALF_LIFE, f64::from(u8::from(broke)));
        let (ends, breaks) = (self.ends.sum, self.breaks.sum);
        let out = ends >= OUT_ENDS && breaks >= OUT_SHARE * ends;
        match self.phase {
            Phase::Calm | Phase::Return if out => self.enter(now, Phase::Out, OUT_PART),
            Phase::Out if !broke => {
                // Breaks of before say nothing of now.
                (self.ends, self.breaks) = Default::default();
                self.ends.add(now, HALF_LIFE, 1.0);
                self.enter(now, Phase::Return, FIRST_PART);
            }
            Phase::Return => self.climb(now, end),
            Phase::Calm | Phase::Out => {}
        }
    }

    fn usual(&self) -> f64 {
        self.before.max(LEAST_RATE)
    }

    fn enter(&mut self, now: u64, phase: Phase, part: f64) {
        if self.phase == Phase::Calm {
            self.before = self.answered.rate();
        }
        self.phase = phase;
        self.rate = (self.usual() * part).max(LEAST_RATE);
        (self.credit, self.credit_at) = (0.0, now);
        self.next_step(now);
    }

    /// Danger: sidecars that saw the return together would climb together.
    fn next_step(&mut self, now: u64) {
        let jitter = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        self.step_at = now + (STEP * (0.75 + 0.5 * jitter)) as u64;
        self.step = [0; 2];
    }

    fn climb(&mut self, now: u64, end: End) {
        self.step[0] += u32::from(end == End::InTime);
        self.step[1] += 1;
        if now < self.step_at || self.step[1] < STEP_ENDS {
            return;
        }
        let good = f64::from(self.step[0]) / f64::from(self.step[1]);
        if good >= GOOD {
            if self.rate >= FULL * self.usual() {
                self.phase = Phase::Calm;
                return;
            }
            let steps = (self.ramp as f64 / STEP).max(1.0);
            self.rate *= FIRST_PART.recip().powf(1.0 / steps);
        } else if good < BAD {
            self.rate = (self.rate * DOWN).max(LEAST_RATE);
        }
        self.next_step(now);
    }
}
