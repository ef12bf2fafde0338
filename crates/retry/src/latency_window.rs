//! Quantiles of recent latencies over a sliding window.

use hdrhistogram::Histogram;
use mintshelf_time::{Nanos, MICROSECOND, MILLISECOND, SECOND};

/// Length of each of the two histograms of the window, so that latencies are kept for 10 to 20 s.
const HALF_WINDOW: Nanos = 10 * SECOND;
/// Age from which quantiles are recomputed.
const MAX_QUANTILE_AGE: Nanos = 250 * MILLISECOND;
/// Number of new samples from which quantiles are recomputed, whatever their age.
const MAX_PENDING_SAMPLES: u32 = 256;
/// Minimum number of samples in the window for quantiles to be available.
const MIN_SAMPLES: u64 = 20;
/// Maximum recorded latency in microseconds, an hour; a longer latency is recorded as the maximum.
pub const MAX_LATENCY_MICROS: u64 = 3600 * SECOND / MICROSECOND;
/// Precision of the histogram in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A sliding window of latencies with a resolution of one microsecond. It takes about 30 KiB,
/// independent of the number of samples.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Nanos,
    /// Last computed quantiles; `None` while there were too few samples.
    quantiles: Option<Quantiles>,
    computed_at: Nanos,
    /// Samples recorded since the quantiles were computed.
    pending_samples: u32,
}

/// Quantiles of the latencies in a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quantiles {
    /// Median latency: half of the samples are at most this long.
    pub p50: Nanos,
    /// 95th percentile of the latencies.
    pub p95: Nanos,
    /// 99th percentile of the latencies.
    pub p99: Nanos,
}

#[allow(clippy::expect_used, reason = "the bounds are constants that the library accepts")]
fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

impl LatencyWindow {
    /// Creates an empty window.
    #[must_use]
    pub fn new(now: Nanos) -> Self {
        LatencyWindow {
            current: empty_histogram(),
            previous: empty_histogram(),
            rotated_at: now,
            quantiles: None,
            computed_at: now,
            pending_samples: 0,
        }
    }

    /// Records a latency, or a lower bound of it if the attempt was cancelled.
    pub fn record(&mut self, now: Nanos, latency: Nanos) {
        self.rotate(now);
        self.current.saturating_record((latency / MICROSECOND).max(1));
        self.pending_samples = self.pending_samples.saturating_add(1);
    }

    /// Drops the histograms that are out of the window.
    fn rotate(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.rotated_at);
        if elapsed < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if elapsed >= 2 * HALF_WINDOW {
            self.previous.reset();
        }
        self.rotated_at = now;
    }

    /// Quantiles of the window, at most 250 ms or 256 samples out of date; `None` while the window
    /// has fewer than 20 samples.
    pub fn quantiles(&mut self, now: Nanos) -> Option<Quantiles> {
        self.rotate(now);
        let is_stale = now.saturating_sub(self.computed_at) >= MAX_QUANTILE_AGE
            || self.pending_samples >= MAX_PENDING_SAMPLES;
        if is_stale || self.quantiles.is_none() && self.pending_samples > 0 {
            self.computed_at = now;
            self.pending_samples = 0;
            self.quantiles = self.compute_quantiles();
        }
        self.quantiles
    }

    fn compute_quantiles(&self) -> Option<Quantiles> {
        let mut window = self.current.clone();
        window.add(&self.previous).ok()?;
        let quantile = |fraction| window.value_at_quantile(fraction).saturating_mul(MICROSECOND);
        (window.len() >= MIN_SAMPLES).then(|| Quantiles {
            p50: quantile(0.5),
            p95: quantile(0.95),
            p99: quantile(0.99),
        })
    }
}
