//! How long answers take, as lately seen: quantiles over a sliding window.

use hdrhistogram::Histogram;
use mintshelf_balancer::api::Nanos;

/// The window slides by half: what is older than twice this is forgotten.
const HALF: Nanos = 10_000_000_000;
/// Quantiles are reckoned anew after so long, or so many answers.
const STALE: Nanos = 250_000_000;
const STALE_ANSWERS: u32 = 256;
/// Answers without which nothing is said.
const LEAST: u64 = 20;
/// Times are kept from a microsecond to an hour, to two digits.
const MICRO: Nanos = 1_000;
const LONGEST: u64 = 3_600_000_000;

/// What was seen: some 30 KiB however many the answers are.
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    halves: [Histogram<u32>; 2],
    turned_at: Nanos,
    /// Half, 95 and 99 of a hundred took no longer than this; absent while too few were seen.
    known: Option<Quantiles>,
    known_at: Nanos,
    since: u32,
}

/// Times that a part of the answers keeps within.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quantiles {
    /// Half of them.
    pub p50: Nanos,
    /// 95 of a hundred.
    pub p95: Nanos,
    /// 99 of a hundred.
    pub p99: Nanos,
}

fn histogram() -> Histogram<u32> {
    // Constants, and within what the library allows.
    Histogram::new_with_bounds(1, LONGEST, 2).expect("a range and two digits")
}

impl LatencyWindow {
    /// None seen yet.
    pub fn new(now: Nanos) -> Self {
        LatencyWindow {
            halves: [histogram(), histogram()],
            turned_at: now,
            known: None,
            known_at: now,
            since: 0,
        }
    }

    /// An answer took so long; or at least so long, where it was not waited for.
    pub fn note(&mut self, now: Nanos, took: Nanos) {
        self.turn(now);
        self.halves[0].saturating_record((took / MICRO).max(1));
        self.since = self.since.saturating_add(1);
    }

    fn turn(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.turned_at);
        if passed < HALF {
            return;
        }
        self.halves.swap(0, 1);
        self.halves[0].reset();
        if passed >= 2 * HALF {
            self.halves[1].reset();
        }
        self.turned_at = now;
    }

    /// What is known; nothing while there were too few.
    pub fn quantiles(&mut self, now: Nanos) -> Option<Quantiles> {
        self.turn(now);
        let stale = now.saturating_sub(self.known_at) >= STALE || self.since >= STALE_ANSWERS;
        if stale || self.known.is_none() && self.since > 0 {
            (self.known_at, self.since) = (now, 0);
            self.known = self.reckon();
        }
        self.known
    }

    fn reckon(&self) -> Option<Quantiles> {
        let mut all = self.halves[0].clone();
        all.add(&self.halves[1]).ok()?;
        let of = |part| all.value_at_quantile(part).saturating_mul(MICRO);
        (all.len() >= LEAST).then(|| Quantiles { p50: of(0.5), p95: of(0.95), p99: of(0.99) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Nanos = 1_000_000;

    #[test]
    fn quantiles_follow_what_was_seen_and_forget() {
        let mut answers = LatencyWindow::new(0);
        assert_eq!(answers.quantiles(0), None);
        for n in 1..=1000 {
            answers.note(n * MS, n * MS / 10);
        }
        let known = answers.quantiles(2000 * MS).unwrap();
        let near = |a: Nanos, b: Nanos| a.abs_diff(b) * 50 < b;
        assert!(near(known.p50, 50 * MS) && near(known.p95, 95 * MS), "{known:?}");
        assert!(near(known.p99, 99 * MS), "{known:?}");
        // Long after, nothing of it counts.
        assert_eq!(answers.quantiles(60_000 * MS), None);
    }

    #[test]
    fn no_time_is_too_long_to_be_noted() {
        let mut answers = LatencyWindow::new(0);
        for _ in 0..100 {
            answers.note(0, u64::MAX);
        }
        assert!(answers.quantiles(MS).unwrap().p50 >= LONGEST);
    }
}
