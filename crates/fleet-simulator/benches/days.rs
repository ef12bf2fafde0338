//! The standard scenarios on virtual time: `cargo bench -p mintshelf-fleet-simulator --bench days`.
//! Seeds are printed; the same seed gives the same row.

use mintshelf_fleet_simulator::{simulate, standard_scenario, Report, Slice, StandardScenario};
use std::ops::Range;
use std::time::Instant;

const SIDECARS: usize = 300;
const SEEDS: [u64; 3] = [1, 2, 3];
/// Seconds that are counted: the first ones, in which the fleet starts, are not.
const COUNTED: Range<u64> = 2..28;

fn print_header() {
    println!("{SIDECARS} sidecars, {} servers, seeds {SEEDS:?}, seconds {COUNTED:?}", SIDECARS / 2);
    println!(
        "served: weight earned in time over weight requested; min: the same in the worst 5 s;"
    );
    println!(
        "conn, cross, calls, waste: cost of connections, zone crossings, discovery calls and\n\
         wasted work; rejected: of all requests; reqs: requests of a client; rules: effects\n\
         repeated, and \
         responses lost; drain: sends after a drain; over: warming servers overloaded\n"
    );
    println!(
        "{:<6} {:>4} {:>7} {:>6} {:>7} {:>7} {:>7} {:>7} {:>8} {:>6} {:>5} {:>5} {:>5} {:>6}",
        "kind",
        "seed",
        "served",
        "min",
        "conn",
        "cross",
        "calls",
        "waste",
        "rejected",
        "reqs",
        "rules",
        "drain",
        "over",
        "real s"
    );
}

/// Sum of a quantity as a share of all requests.
fn share(report: &Report, quantity: fn(&Slice) -> u64) -> f64 {
    let sum = report.sum(COUNTED, |slice| quantity(slice) as f64);
    sum / report.sum(COUNTED, |slice| slice.requests as f64)
}

fn print_row(kind: StandardScenario, seed: u64) {
    let started = Instant::now();
    let report = simulate(&standard_scenario(kind, seed, SIDECARS));
    let requests_per_first = 1.0 / share(&report, |slice| slice.first_requests);
    let windows = COUNTED.start..COUNTED.end - 4;
    let worst = windows.map(|second| report.served_share(second..second + 5));
    let costs = report.costs(COUNTED);
    println!(
        "{:<6} {seed:>4} {:>7.3} {:>6.3} {:>7.4} {:>7.4} {:>7.4} {:>7.4} {:>8.3} \
         {requests_per_first:>6.2} {:>5} {:>5} {:>5} {:>6.1}",
        kind.name(),
        report.served_share(COUNTED),
        worst.fold(f64::INFINITY, f64::min),
        costs.connects,
        costs.cross_zone,
        costs.discovery_calls,
        costs.wasted_work,
        share(&report, |slice| slice.rejected),
        report.repeated_unsafe + report.repeated_idempotent + report.lost,
        report.sends_after_drain,
        report.overloaded_servers,
        started.elapsed().as_secs_f64(),
    );
}

fn main() {
    print_header();
    for kind in StandardScenario::ALL {
        for seed in SEEDS {
            print_row(kind, seed);
        }
    }
}
