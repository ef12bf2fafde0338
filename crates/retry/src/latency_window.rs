//! Quantiles of recent latencies, over a sliding window.

use hdrhistogram::Histogram;
use mintshelf_time::{Nanos, MICROSECOND, MILLISECOND, SECOND};

/// The window slides by half: latencies older than twice this are dropped.
const HALF_WINDOW: Nanos = 10 * SECOND;
/// Quantiles older than this are computed again.
const MAX_QUANTILE_AGE: Nanos = 250 * MILLISECOND;
/// Quantiles are computed again after this many latencies, too.
const MAX_PENDING_SAMPLES: u32 = 256;
/// With fewer latencies in the window there are no quantiles.
const MIN_SAMPLES: u64 = 20;
/// Longest latency of the histogram, in microseconds: an hour. A longer one counts as this.
pub const MAX_LATENCY_MICROS: u64 = 3600 * SECOND / MICROSECOND;
/// Precision of the histogram, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A sliding window of latencies with a resolution of a microsecond: some 30 KiB, however many
/// latencies it has.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Nanos,
    /// As last computed; `None` while too few latencies were seen.
    quantiles: Option<Quantiles>,
    computed_at: Nanos,
    /// Latencies recorded since the quantiles were computed.
    pending_samples: u32,
}

/// Quantiles of the latencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quantiles {
    /// The median.
    pub p50: Nanos,
    /// The 95th percentile.
    pub p95: Nanos,
    /// The 99th percentile.
    pub p99: Nanos,
}

#[allow(clippy::expect_used, reason = "the bounds are constants that the library accepts")]
fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("constant bounds are valid")
}

impl LatencyWindow {
    /// Starts empty.
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

    /// Records a latency, or a lower bound of one if the attempt was cancelled.
    pub fn record(&mut self, now: Nanos, latency: Nanos) {
        self.rotate(now);
        self.current.saturating_record((latency / MICROSECOND).max(1));
        self.pending_samples = self.pending_samples.saturating_add(1);
    }

    /// Drops the half of the window that has become too old.
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

    /// The quantiles of the window, at most 250 ms or 256 latencies old; `None` while fewer than
    /// 20 latencies are in it.
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
