//! What came of a run.

use crate::SECOND;
use mintshelf_balancer::api::Nanos;
use std::ops::Range;

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
