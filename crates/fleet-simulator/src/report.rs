//! What came of a run.

use crate::SECOND;
use mintshelf_balancer::api::Nanos;
use std::ops::Range;

/// Prices of the fleet's site, each for one at every first try.
const CONNECT_PRICE: f64 = 0.08;
const CROSS_PRICE: f64 = 0.02;
const CALL_PRICE: f64 = 0.05;
const WASTE_PRICE: f64 = 0.02;

/// What is counted together.
pub const SLICE: Nanos = SECOND / 10;

/// Counts of one tenth of a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Span {
    /// Tries of clients, first ones and others.
    pub tries: u64,
    /// Attempts that set out for servers, also those that found nobody.
    pub attempts: u64,
    /// Work of those, against a usual first try's.
    pub work: f64,
    /// Connections opened, or tried to.
    pub connects: u64,
    /// Tries answered in time, by when they were made.
    pub in_time: u64,
    /// Worth asked for by first tries, and earned, by when those were made.
    pub asked: f64,
    /// See `asked`.
    pub earned: f64,
    /// Tries refused, those by the pace among them.
    pub refused: u64,
    /// See `refused`.
    pub paced: u64,
    /// Tries failed.
    pub failed: u64,
    /// Clients told to come back in this slice.
    pub told: u64,
    /// First tries.
    pub first: u64,
    /// Attempts to a server of another zone.
    pub crossed: u64,
    /// Calls for lists.
    pub calls: u64,
    /// Work that was done for nobody, against a usual first try's.
    pub wasted: f64,
}

/// All that is known of a run.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    /// By tenths of a second.
    pub spans: Vec<Span>,
    /// Effects that happened twice: unsafe ones, and keyed ones.
    pub twice: [u64; 2],
    /// Requests that had more or less than one final answer while their client waited.
    pub lost: u64,
    /// Attempts sent while another of the same request was out, or past the limit.
    pub unruly: u64,
    /// Servers that were pushed over while they were cold.
    pub fallen: u64,
    /// Sends to a server later than the rule on drains allows.
    pub undrained: u64,
    /// Requests that were open at a sidecar when it was killed.
    pub cut: u64,
    /// Connections opened to each server, by whole seconds.
    pub connects: Vec<Vec<u32>>,
    /// Two runs with the same digest went the same way.
    pub digest: u64,
}

impl Report {
    /// The slices of some seconds.
    pub fn seconds(&self, seconds: Range<u64>) -> &[Span] {
        let at = |second: u64| ((second * SECOND / SLICE) as usize).min(self.spans.len());
        &self.spans[at(seconds.start)..at(seconds.end)]
    }

    /// A sum over some seconds.
    pub fn sum(&self, seconds: Range<u64>, of: impl Fn(&Span) -> f64) -> f64 {
        self.seconds(seconds).iter().map(of).sum()
    }

    /// Worth earned over worth asked for, from a second on to another.
    pub fn share(&self, seconds: Range<u64>) -> f64 {
        self.sum(seconds.clone(), |s| s.earned) / self.sum(seconds, |s| s.asked).max(1e-9)
    }

    /// What the side effects of some seconds cost, as the fleet's page counts it: a share of
    /// the worth asked for.
    pub fn price(&self, seconds: Range<u64>) -> [f64; 4] {
        let first = self.sum(seconds.clone(), |s| s.first as f64).max(1e-9);
        let per_try =
            |price: f64, of: &dyn Fn(&Span) -> f64| price * self.sum(seconds.clone(), of) / first;
        [
            per_try(CONNECT_PRICE, &|s| s.connects as f64),
            per_try(CROSS_PRICE, &|s| s.crossed as f64),
            per_try(CALL_PRICE, &|s| s.calls as f64),
            per_try(WASTE_PRICE, &|s| s.wasted),
        ]
    }

    /// The most connections opened to any one server in any one of some seconds.
    pub fn most_connects(&self, seconds: Range<u64>) -> u32 {
        let of = |server: &Vec<u32>| {
            let seconds = seconds.start as usize..seconds.end as usize;
            server
                .get(seconds.start..seconds.end.min(server.len()))
                .map_or(0, |part| part.iter().copied().max().unwrap_or(0))
        };
        self.connects.iter().map(of).max().unwrap_or(0)
    }

    /// The most of any second (any ten slices in a row) from one on, as a multiple of the
    /// mean of the calm seconds `calm`.
    pub fn peak(&self, calm: Range<u64>, from: u64, of: impl Fn(&Span) -> f64) -> f64 {
        let usual = self.sum(calm.clone(), &of) / (calm.end - calm.start) as f64;
        let after = self.seconds(from..u64::MAX / SECOND);
        let most = after.windows(10).map(|ten| ten.iter().map(&of).sum::<f64>());
        most.fold(0.0, f64::max) / usual.max(1e-9)
    }

    /// Seconds from one on until, for good, 95% of the worth of the calm seconds is earned.
    pub fn calm_after(&self, calm: Range<u64>, from: u64) -> f64 {
        let share = |spans: &[Span]| {
            let sum = |of: fn(&Span) -> f64| spans.iter().map(of).sum::<f64>();
            sum(|s| s.earned) / sum(|s| s.asked).max(1e-9)
        };
        let usual = share(self.seconds(calm));
        let after = self.seconds(from..u64::MAX / SECOND);
        // What is asked for at the end has no time to be answered.
        let after = &after[..after.len().saturating_sub(30)];
        let bad = after.windows(10).rposition(|ten| share(ten) < 0.95 * usual);
        bad.map_or(0.0, |at| (at + 1) as f64 * SLICE as f64 / SECOND as f64)
    }
}
