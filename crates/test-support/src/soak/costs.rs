//! What a run may cost in a large fleet, against the same run in a usual one: the platform's table
//! of costs.

use super::report::SoakReport;
use std::fmt;

const KB: f64 = 1024.0;
const MB: f64 = 1024.0 * KB;
const THOUSAND: f64 = 1_000.0;

/// One row of the table.
#[derive(Debug, Clone, PartialEq)]
pub struct CostRow {
    /// What it costs, with the unit.
    pub what: &'static str,
    /// The cost in the usual fleet.
    pub baseline: f64,
    /// The cost in the large one.
    pub large: f64,
    /// The bound of the latter: at most that, or for the share served at least that.
    pub bound: f64,
    /// Whether it is kept.
    pub is_within_bound: bool,
}

impl fmt::Display for CostRow {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let CostRow { what, baseline, large, bound, is_within_bound } = self;
        let verdict = if *is_within_bound { "within" } else { "BROKEN" };
        write!(formatter, "{what:<24} {baseline:>10.2} {large:>10.2} bound {bound:>10.2} {verdict}")
    }
}

/// A bound that grows with the cost in the usual fleet and with the servers.
struct Bound {
    times: f64,
    plus: f64,
    per_thousand: f64,
}

/// Compares a run in a fleet of `servers` with the same in a usual one.
pub fn compare(baseline: &SoakReport, large: &SoakReport, servers: usize) -> Vec<CostRow> {
    let thousands = servers as f64 / THOUSAND;
    let at_most = |what, cost: fn(&SoakReport) -> f64, bound: Bound| {
        let bound = cost(baseline) * bound.times + bound.plus + bound.per_thousand * thousands;
        let large = cost(large);
        CostRow { what, baseline: cost(baseline), large, bound, is_within_bound: large <= bound }
    };
    let bound = |times, plus, per_thousand| Bound { times, plus, per_thousand };
    let share = |report: &SoakReport| report.served as f64 / report.requests.max(1) as f64;
    let least_share = 0.85 * share(baseline);
    vec![
        at_most("CPU, s", |report| report.cpu.as_secs_f64(), bound(1.4, 0.02, 0.03)),
        at_most("peak memory, MB", |report| report.peak_memory as f64 / MB, bound(1.5, 8.0, 4.0)),
        at_most("descriptors", |report| report.descriptors as f64, bound(2.0, 40.0, 0.0)),
        at_most(
            "connections to servers",
            |report| report.connections as f64,
            bound(2.5, 40.0, 0.0),
        ),
        at_most("lists, KB", |report| report.list_bytes as f64 / KB, bound(2.0, 64.0, 500.0)),
        CostRow {
            what: "share served",
            baseline: share(baseline),
            large: share(large),
            bound: least_share,
            is_within_bound: share(large) >= least_share,
        },
    ]
}
