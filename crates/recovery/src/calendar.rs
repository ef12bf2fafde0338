//! When clients that are refused are told to come back: spread, so that they do not come
//! together, and over the longer, the more of them there are.

use crate::usual::Usual;
use crate::SECOND;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::VecDeque;

/// The longest advice, and so the most that is remembered, in seconds.
pub const MOST_SECONDS: u64 = 600;
/// A keyed request is told to come back within this part of the time for which servers drop
/// its repeats. Danger: an earlier try may have run, and one that comes too late runs again.
pub const WINDOW_PART: u64 = 4;
/// Clients that come back may add this part of the usual answers in any second.
const COME_BACK_SHARE: f64 = 0.2;

/// A ledger of who was told to come back in which second.
///
/// RFC 9110 10.2.3 gives `Retry-After` whole seconds. A client that is told `n` comes back
/// `n` seconds after it was told, so those told in one second and given the same number come
/// as they were told: spread over the second by their own arrivals.
#[derive(Debug)]
pub struct Calendar {
    /// Clients told to come in this second, the next one, and so on.
    told: VecDeque<u32>,
    /// The sum of those.
    expected: u64,
    most: u64,
    /// Requests served; `told` begins with its second.
    served: Usual,
    rng: Pcg32,
}

impl Calendar {
    /// An empty calendar; advice is at most `most` nanoseconds, at least one second, and
    /// [`MOST_SECONDS`] at the longest.
    pub fn new(seed: u64, most: u64) -> Self {
        let most = (most / SECOND).clamp(1, MOST_SECONDS);
        let told = VecDeque::from(vec![0; most as usize + 1]);
        let rng = Pcg32::seed_from_u64(seed);
        Calendar { told, expected: 0, most, served: Usual::default(), rng }
    }

    /// Notes that a request was served, at `now` in nanoseconds.
    pub fn served(&mut self, now: u64) {
        self.turn(now);
        self.served.count(now);
    }

    /// How many seconds a client that is refused at `now` is told to wait; noted as one that
    /// will come then. `window`: for how long servers drop the repeats of the request, if it
    /// is keyed, in nanoseconds.
    pub fn advise(&mut self, now: u64, window: Option<u64>) -> u64 {
        self.turn(now);
        // Danger: a sidecar that serves little must not reckon with one a second: they are many.
        let room = match self.usual() {
            usual if usual > 0.0 => usual * COME_BACK_SHARE,
            _ => 1.0,
        };
        let most = match window {
            Some(window) => (window / WINDOW_PART / SECOND).clamp(1, self.most),
            None => self.most,
        };
        let span = ((self.expected + 1) as f64 / room).ceil().min(most as f64) as u64;
        // The emptiest of two drawn and the last: even, and sidecars differ.
        let seconds = [1 + self.below(span), 1 + self.below(span), span];
        let emptiest = seconds.into_iter().min_by_key(|second| self.told[*second as usize]);
        let second = emptiest.unwrap_or(span);
        let told = &mut self.told[second as usize];
        if let Some(more) = told.checked_add(1) {
            *told = more;
            self.expected += 1;
        }
        second
    }

    /// How many were told to come and whose time is still ahead.
    pub fn expected(&self) -> u64 {
        self.expected
    }

    /// Requests usually served in a second.
    pub fn usual(&self) -> f64 {
        self.served.rate()
    }

    /// A uniform number below `bound`, which is not 0.
    fn below(&mut self, bound: u64) -> u64 {
        (u64::from(self.rng.next_u32()) * bound) >> 32
    }

    fn turn(&mut self, now: u64) {
        let passed = self.served.turn(now);
        // What is longer ago than all that is remembered leaves nothing.
        for _ in 0..passed.min(self.most + 1) {
            let gone = self.told.pop_front().unwrap_or(0);
            self.expected -= u64::from(gone);
            self.told.push_back(0);
        }
    }
}
