//! The results of a run.

use crate::numbers::{index, steps};
use mintshelf_time::{as_float, Nanos, SECOND};
use std::ops::Range;

/// Price of a new connection, as a share of all weight at one for every first request.
const CONNECT_PRICE: f64 = 0.08;
/// Price of an attempt that crosses zones, likewise.
const CROSS_ZONE_PRICE: f64 = 0.02;
/// Price of a call to discovery, likewise.
const DISCOVERY_CALL_PRICE: f64 = 0.05;
/// Price of wasted work, likewise.
const WASTED_WORK_PRICE: f64 = 0.02;

/// Duration of a slice.
pub(crate) const SLICE_DURATION: Nanos = SECOND / 10;
/// Slices of a second.
const SLICES_PER_SECOND: usize = 10;
/// Number of the last slices of a run, in which requests have no time to be served.
const UNFINISHED_SLICES: usize = 30;

/// Counts of one tenth of a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Slice {
    /// Requests of clients, first ones and retries.
    pub requests: u64,
    /// Attempts sent to servers, including those that reached none.
    pub attempts: u64,
    /// Work of those, relative to a mean first request.
    pub work: f64,
    /// Connections opened, including those that failed.
    pub connects: u64,
    /// Requests served in time, by when they were sent.
    pub in_time: u64,
    /// Weight of the first requests.
    pub requested_weight: f64,
    /// Weight earned, by when the first request was sent.
    pub earned_weight: f64,
    /// Requests rejected, including those rejected by the recovery ramp.
    pub rejected: u64,
    /// Requests rejected by the recovery ramp.
    pub rejected_by_ramp: u64,
    /// Requests that ended as failed.
    pub failed: u64,
    /// Clients that were advised to retry at a time within this slice.
    pub advised_retries: u64,
    /// First requests of clients, without retries.
    pub first_requests: u64,
    /// Attempts sent to a server of another zone.
    pub cross_zone: u64,
    /// Calls of sidecars to the discovery service.
    pub discovery_calls: u64,
    /// Work done after the client had left, relative to a mean first request.
    pub wasted_work: f64,
}

/// The results of a run.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    /// Counts by tenths of a second.
    pub slices: Vec<Slice>,
    /// Effects of unsafe requests that happened twice.
    pub repeated_unsafe: u64,
    /// Effects of idempotent requests that happened twice.
    pub repeated_idempotent: u64,
    /// Requests that did not have exactly one final response while their client waited.
    pub lost: u64,
    /// Attempts sent while another of the same request was in flight, or past the limit.
    pub excess_attempts: u64,
    /// Servers that were overloaded while they warmed up.
    pub overloaded_servers: u64,
    /// Sends to a server later than the rule on drains allows.
    pub sends_after_drain: u64,
    /// Requests that were open at a sidecar when it was killed.
    pub interrupted: u64,
    /// Connections opened to each server, by second.
    pub connects_by_server: Vec<Vec<u32>>,
    /// Digest of all events; two runs with the same digest took the same course.
    pub digest: u64,
}

/// The cost of side effects, each as a share of the requested weight.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SideEffectCosts {
    /// Cost of new connections to servers.
    pub connects: f64,
    /// Cost of attempts that were sent to another zone.
    pub cross_zone: f64,
    /// Cost of calls to the discovery service.
    pub discovery_calls: f64,
    /// Cost of work that was done after its client had left.
    pub wasted_work: f64,
}

impl Report {
    /// The slices of some seconds.
    #[must_use]
    pub fn seconds(&self, seconds: Range<u64>) -> &[Slice] {
        let slice_index =
            |second: u64| steps(second * SECOND, SLICE_DURATION).min(self.slices.len());
        &self.slices[slice_index(seconds.start)..slice_index(seconds.end)]
    }

    /// Sum of a quantity over some seconds.
    pub fn sum(&self, seconds: Range<u64>, quantity: impl Fn(&Slice) -> f64) -> f64 {
        self.seconds(seconds).iter().map(quantity).sum()
    }

    /// Earned over requested weight of some seconds.
    #[must_use]
    pub fn served_share(&self, seconds: Range<u64>) -> f64 {
        served_share(self.seconds(seconds))
    }

    /// The cost of the side effects of some seconds.
    #[must_use]
    pub fn costs(&self, seconds: Range<u64>) -> SideEffectCosts {
        let first_requests = self.sum(seconds.clone(), |slice| slice.first_requests as f64);
        let cost = |price: f64, quantity: &dyn Fn(&Slice) -> f64| {
            price * self.sum(seconds.clone(), quantity) / first_requests.max(1e-9)
        };
        SideEffectCosts {
            connects: cost(CONNECT_PRICE, &|slice| slice.connects as f64),
            cross_zone: cost(CROSS_ZONE_PRICE, &|slice| slice.cross_zone as f64),
            discovery_calls: cost(DISCOVERY_CALL_PRICE, &|slice| slice.discovery_calls as f64),
            wasted_work: cost(WASTED_WORK_PRICE, &|slice| slice.wasted_work),
        }
    }

    /// The most connections opened to any one server in any one of some seconds.
    #[must_use]
    pub fn max_connects(&self, seconds: Range<u64>) -> u32 {
        let of_server = |by_second: &Vec<u32>| {
            let end = index(seconds.end).min(by_second.len());
            let part = by_second.get(index(seconds.start)..end);
            part.and_then(|part| part.iter().copied().max()).unwrap_or(0)
        };
        self.connects_by_server.iter().map(of_server).max().unwrap_or(0)
    }

    /// The maximum of a quantity over any second (any ten slices in a row) from `from_second`, as a
    /// multiple of its mean over the baseline seconds.
    pub fn peak(
        &self,
        baseline: Range<u64>,
        from_second: u64,
        quantity: impl Fn(&Slice) -> f64,
    ) -> f64 {
        let seconds = (baseline.end - baseline.start) as f64;
        let mean = self.sum(baseline, &quantity) / seconds;
        let after = self.seconds(from_second..u64::MAX / SECOND).windows(SLICES_PER_SECOND);
        let sums = after.map(|second| second.iter().map(&quantity).sum::<f64>());
        sums.fold(0.0, f64::max) / mean.max(1e-9)
    }

    /// Seconds from `from_second` until the served share stays above 95% of that of the baseline
    /// seconds.
    #[must_use]
    pub fn recovery_seconds(&self, baseline: Range<u64>, from_second: u64) -> f64 {
        let baseline = self.served_share(baseline);
        let after = self.seconds(from_second..u64::MAX / SECOND);
        let after = &after[..after.len().saturating_sub(UNFINISHED_SLICES)];
        let mut seconds = after.windows(SLICES_PER_SECOND);
        let last_bad = seconds.rposition(|second| served_share(second) < 0.95 * baseline);
        last_bad
            .map_or(0.0, |slice| (slice + 1) as f64 * as_float(SLICE_DURATION) / as_float(SECOND))
    }
}

fn served_share(slices: &[Slice]) -> f64 {
    let earned: f64 = slices.iter().map(|slice| slice.earned_weight).sum();
    let requested: f64 = slices.iter().map(|slice| slice.requested_weight).sum();
    earned / requested.max(1e-9)
}
