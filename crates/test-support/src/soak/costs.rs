//! The cost of a run in a large fleet compared with the same run in a small one: the platform's table
//! of costs.

use super::report::SoakReport;
use std::fmt;

const KB: f64 = 1024.0;
const MB: f64 = 1024.0 * KB;
const THOUSAND: f64 = 1_000.0;

/// One row of the table.
#[derive(Debug, Clone, PartialEq)]
pub struct CostRow {
    /// Name of the cost, with its unit.
    pub what: &'static str,
    /// The cost in the small fleet.
    pub baseline: f64,
    /// The cost in the large one.
    pub large: f64,
    /// The bound of the latter: an upper one, or for the served share a lower one.
    pub bound: f64,
    /// Whether the cost in the large fleet is within the bound.
    pub is_within_bound: bool,
}

impl fmt::Display for CostRow {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let CostRow { what, baseline, large, bound, is_within_bound } = self;
        let verdict = if *is_within_bound { "within" } else { "BROKEN" };
        write!(formatter, "{what:<24} {baseline:>10.2} {large:>10.2} bound {bound:>10.2} {verdict}")
    }
}

/// A bound that grows with the cost in the small fleet and with the servers.
struct Bound {
    times: f64,
    plus: f64,
    per_thousand: f64,
}

/// Compares a run in a fleet of `servers` with the same run in a small one.
#[must_use]
pub fn compare(baseline: &SoakReport, large: &SoakReport, servers: usize) -> Vec<CostRow> {
    let thousands = servers as f64 / THOUSAND;
    let bounded_above = |what, cost: fn(&SoakReport) -> f64, bound: Bound| {
        let bound = cost(baseline) * bound.times + bound.plus + bound.per_thousand * thousands;
        let large = cost(large);
        CostRow { what, baseline: cost(baseline), large, bound, is_within_bound: large <= bound }
    };
    let bound = |times, plus, per_thousand| Bound { times, plus, per_thousand };
    let share = |report: &SoakReport| report.served as f64 / report.requests.max(1) as f64;
    let min_share = 0.85 * share(baseline);
    vec![
        bounded_above("CPU, s", |report| report.cpu.as_secs_f64(), bound(1.4, 0.02, 0.03)),
        bounded_above(
            "peak memory, MB",
            |report| report.peak_memory as f64 / MB,
            bound(1.5, 8.0, 4.0),
        ),
        bounded_above("descriptors", |report| report.descriptors as f64, bound(2.0, 40.0, 0.0)),
        bounded_above(
            "connections to servers",
            |report| report.connections as f64,
            bound(2.5, 40.0, 0.0),
        ),
        bounded_above("lists, KB", |report| report.list_bytes as f64 / KB, bound(2.0, 64.0, 500.0)),
        CostRow {
            what: "share served",
            baseline: share(baseline),
            large: share(large),
            bound: min_share,
            is_within_bound: share(large) >= min_share,
        },
    ]
}
